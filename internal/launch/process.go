// Package launch starts the system's programs on loopback addresses for the demo and the scenarios, and
// injects faults from outside: signals to processes and relays that cut or slow their links.
package launch

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ProcessError reports a process that could not be started, signaled or stopped.
type ProcessError struct {
	Name  string
	Op    string
	Cause error
}

func (e *ProcessError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

// errTimeout is the cause when a process did not exit in time.
var errTimeout = errors.New("did not exit in time")

// Command describes one process.
type Command struct {
	// Name identifies the process in logs and scenarios.
	Name string
	Path string
	Args []string
	// Env is added to the environment of the launching process.
	Env []string
	// LogPath is the file that standard output and standard error are appended to.
	LogPath string
}

// Process is one running or exited program.
type Process struct {
	command Command
	cmd     *exec.Cmd
	exited  chan struct{}

	mu  sync.Mutex
	err error
}

// Start runs the command.
func Start(command Command) (*Process, error) {
	log, err := os.OpenFile(command.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &ProcessError{command.Name, "open log of", err}
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(command.Path, command.Args...)
	cmd.Env = append(os.Environ(), command.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when the launcher dies, so that an aborted run leaves no processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, &ProcessError{command.Name, "start", err}
	}
	p := &Process{command: command, cmd: cmd, exited: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.exited)
}

// Command returns the command that the process was started with.
func (p *Process) Command() Command { return p.command }

// Exited is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code after Exited is closed; -1 if a signal ended the process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() error {
	if err := p.signal("kill", syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Freeze stops the process with SIGSTOP and waits until all its threads are stopped; its connections stay open.
func (p *Process) Freeze() error {
	if err := p.signal("freeze", syscall.SIGSTOP); err != nil {
		return err
	}
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	timer := time.NewTimer(freezeTimeout)
	defer timer.Stop()
	for !p.allThreadsStopped() {
		select {
		case <-p.exited:
			return nil
		case <-ticker.C:
		case <-timer.C:
			return &ProcessError{p.command.Name, "freeze", errTimeout}
		}
	}
	return nil
}

// freezeTimeout limits the wait for the threads to stop, which takes longer on a busy machine.
const freezeTimeout = 5 * time.Second

// allThreadsStopped reports whether /proc shows every thread as stopped.
func (p *Process) allThreadsStopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		// The state follows the name in parentheses.
		if _, state, found := strings.Cut(string(content), ") "); err != nil || !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Thaw continues a frozen process.
func (p *Process) Thaw() error { return p.signal("thaw", syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() error { return p.signal("terminate", syscall.SIGTERM) }

// Hangup sends SIGHUP.
func (p *Process) Hangup() error { return p.signal("hang up", syscall.SIGHUP) }

// Stop sends SIGTERM and waits for the exit.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return nil
	case <-timer.C:
		return &ProcessError{p.command.Name, "stop", errTimeout}
	}
}

// DumpStacks makes a Go program that does not exit write the stacks of its goroutines to its log. It then exits.
func (p *Process) DumpStacks() error {
	if err := p.signal("dump", syscall.SIGQUIT); err != nil {
		return err
	}
	timer := time.NewTimer(dumpTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return nil
	case <-timer.C:
		return &ProcessError{p.command.Name, "dump", errTimeout}
	}
}

// dumpTimeout limits the wait for the stacks, which take longer on a busy machine.
const dumpTimeout = 5 * time.Second

func (p *Process) signal(op string, signal syscall.Signal) error {
	select {
	case <-p.exited:
		return nil
	default:
	}
	if err := p.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return &ProcessError{p.command.Name, op, err}
	}
	return nil
}
