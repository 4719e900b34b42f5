package main

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is one running or ended process of the system.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// command is how a process is started.
type command struct {
	path, logPath string
	env           []string
}

func (c command) start() (*process, error) {
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &process{cmd: exec.Command(c.path), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), c.env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process when the stand-in dies, so that an aborted run leaves none.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal, unless the process has ended.
func (p *process) signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// node is one node of the system.
type node struct {
	name, ip string
	command  command

	mu      sync.Mutex
	process *process
}

func (n *node) running() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// start starts the process of the node.
func (n *node) start() error {
	p, err := n.command.start()
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = p
	return nil
}
