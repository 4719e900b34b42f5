package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/internal/launch"
)

// Ports of every node, and of the stand-ins. Each has an address of its own.
const (
	portFront    = 8000
	portReady    = 8001
	portControl  = 8002
	portMetrics  = 8003
	portInternal = 7100
	portServer   = 9000
)

// Groups of loopback addresses.
const (
	groupNode = iota + 1
	groupEngine
	groupPlatform
)

const (
	coreNodes = 3
	// memoryMB, configApply and grace are those of kiln-slots.
	memoryMB     = 134
	configApply  = 2 * time.Second
	graceSeconds = 8
	startTimeout = 20 * time.Second
	callTimeout  = 2 * time.Second
)

// record writes what was sent, answered and run, and whether the rule was broken.
type record struct {
	started time.Time

	mu     sync.Mutex
	file   *os.File
	broken int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{started: time.Now(), file: file}, err
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that the rule was broken.
func (r *record) breakRule(format string, args ...any) {
	r.write("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

func (r *record) breaks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// system is three nodes with a state disk, and the platform around them.
type system struct {
	record    *record
	addresses *launch.Addresses
	directory string
	nodes     []*node
	engines   []*engine
	platform  *platformList
	servers   []*http.Server
}

// startSystem starts the engines and the nodes.
func startSystem(r *record, binary string, engines ...*engine) (*system, error) {
	addresses, err := launch.ReserveAddresses()
	if err != nil {
		return nil, err
	}
	s := &system{record: r, addresses: addresses, engines: engines, platform: &platformList{engines: engines}}
	if s.directory, err = os.MkdirTemp("", "wasabishunt-review-"); err != nil {
		return s, err
	}
	for i, e := range engines {
		e.record, e.id, e.born = r, fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli()
		e.address = s.at(groupEngine, i+1, portServer)
		if err := s.serve(e.address, e); err != nil {
			return s, err
		}
	}
	if err := s.serve(s.at(groupPlatform, 1, portServer), s.platform); err != nil {
		return s, err
	}
	for i := range coreNodes {
		if err := s.startNode(binary, i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) at(group, member, port int) string {
	return net.JoinHostPort(s.addresses.IP(group, member), fmt.Sprint(port))
}

func (s *system) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func zone(i int) string { return fmt.Sprintf("zone-%d", 1+i%coreNodes) }

func (s *system) startNode(binary string, i int) error {
	n := &node{name: fmt.Sprintf("node-%d", i+1), ip: s.addresses.IP(groupNode, i+1)}
	n.command = command{
		path: binary, logPath: filepath.Join(s.directory, n.name+".log"),
		env: []string{"WASABISHUNT_SETTINGS=" + s.settingsPath(n), "WASABISHUNT_NODE_METRICS=" + s.at(groupNode, i+1, portMetrics)},
	}
	s.nodes = append(s.nodes, n)
	if err := os.WriteFile(s.settingsPath(n), []byte(s.settings(n, i, true)), 0o600); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	return nil
}

func (s *system) settingsPath(n *node) string { return filepath.Join(s.directory, n.name+".toml") }

func (s *system) settings(n *node, i int, bootstrap bool) string {
	var seeds []string
	for k := range coreNodes {
		seeds = append(seeds, fmt.Sprintf("%q", s.at(groupNode, k+1, portControl)))
	}
	return fmt.Sprintf(`node-name = %q
role = "node"
machine-class = "front"
serves = ["front", "control"]
ip = %q
zone = %q
region = "region"
port-range = [%d, %d]
seeds = [%s]
bootstrap = %t
counts-as-loss = true
data-dir = %q
contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"]
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.72
cores = 1
memory-mb = %d
max-fds = 4100
link-mbps = 1000.0
disk-mb = 64
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
drain-ms = 3000
grace-s = %d
config-apply-ms = %d
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 62
fencing-enforced = true
lease-ms = 3000
version-ms = 10000
version-all-ms = 14000
[cloud]
address = %q
rate-per-s = 40.0
lag-ms = 800
`, n.name, n.ip, zone(i), portInternal, portInternal+15, strings.Join(seeds, ", "), bootstrap, filepath.Join(s.directory, n.name),
		n.ip, portFront, n.ip, portReady, n.ip, portControl, memoryMB, graceSeconds, configApply.Milliseconds(), s.at(groupPlatform, 1, portServer))
}

// stop ends all processes that were started, and removes their files.
func (s *system) stop() {
	for _, n := range s.nodes {
		if p := n.running(); p != nil {
			p.kill()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(s.directory)
	s.addresses.Release()
}

// call sends a call to the control address of a node, and follows two redirections.
func (s *system) call(n *node, path string, document any) (int, error) {
	body, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Post(fmt.Sprintf("http://%s:%d%s", n.ip, portControl, path), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// publish sends a desired state to one node after the other until it is acknowledged.
func (s *system) publish(version int, document any) error {
	deadline := time.Now().Add(startTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		n := s.nodes[i%len(s.nodes)]
		status, err := s.call(n, "/Config.Put", document)
		if err == nil && status == http.StatusOK {
			s.record.write("desired state %d acknowledged by %s", version, n.name)
			return nil
		}
		s.record.write("desired state %d not acknowledged by %s: status %d, %v", version, n.name, status, err)
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("a desired state was not acknowledged")
}

// awaitReady waits until all nodes say that they are ready.
func (s *system) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	client := &http.Client{Timeout: callTimeout}
	for _, n := range s.nodes {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, portReady))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.write("all nodes are ready")
	// The settings of a later start have bootstrap off.
	for i, n := range s.nodes {
		if err := os.WriteFile(s.settingsPath(n), []byte(s.settings(n, i, false)), 0o600); err != nil {
			return err
		}
	}
	return nil
}
