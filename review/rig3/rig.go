package main

import (
	"bytes"
	"context"
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

// Ports of every node. Each node has its own address.
const (
	portFront    = 8000
	portReady    = 8001
	portControl  = 8002
	portMetrics  = 9464
	portInternal = 7100
)

// Groups of loopback addresses.
const (
	groupNode = iota + 1
	groupEngine
	groupPlatform
)

const (
	host         = "users.example"
	serviceModel = "advice"
	servicePlain = "desk"
	apiKey       = "key-of-alpha"
	coreNodes    = 3
	seedCount    = 3
	// listLag is the age of what the list of engines says; a crashed engine stays on it for crashedListed.
	listLag       = 800 * time.Millisecond
	crashedListed = 2 * time.Second
)

// rig holds all that a case starts.
type rig struct {
	addresses *launch.Addresses
	directory string
	binary    string
	record    *os.File
	recordMu  sync.Mutex
	started   time.Time

	nodes   []*node
	engines []*engine
	// firstSeed is the index of the first of the seeds.
	firstSeed int
	// otherWriter returns the entry of another writer of the list for an engine; nil if there is none.
	otherWriter func(entry map[string]any) map[string]any
	// onRequest replaces an engine's answer if it returns true.
	onRequest func(e *engine, w http.ResponseWriter, q *http.Request) bool

	mu      sync.Mutex
	history []snapshot
	lastUp  map[string]time.Time
}

type snapshot struct {
	at   time.Time
	body []byte
}

// node is one process of the system.
type node struct {
	name, ip, zone, settings string
	core                     bool
	command                  launch.Command
	process                  *launch.Process
	startedAt                time.Time
}

func (r *rig) at(group, member, port int) string {
	return net.JoinHostPort(r.addresses.IP(group, member), fmt.Sprint(port))
}

// log writes a line to the record.
func (r *rig) log(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", 1+i%coreNodes) }

// newRig starts the platform's stand-ins and the nodes.
func newRig(record *os.File, models, plain, nodes int) (*rig, error) {
	r, err := newPlatform(record, models, plain, nodes)
	if err != nil {
		return r, err
	}
	for _, n := range r.nodes {
		if err := r.startNode(n, true); err != nil {
			return r, err
		}
	}
	return r, nil
}

// newPlatform starts the platform's stand-ins and prepares the nodes.
func newPlatform(record *os.File, models, plain, nodes int) (*rig, error) {
	addresses, err := launch.ReserveAddresses()
	if err != nil {
		return nil, err
	}
	r := &rig{addresses: addresses, record: record, started: time.Now(), binary: "target/wasabishunt-node", lastUp: map[string]time.Time{}}
	if r.directory, err = os.MkdirTemp("", "review-3-"); err != nil {
		return r, err
	}
	for i := range models + plain {
		service := serviceModel
		if i >= models {
			service = servicePlain
		}
		e, err := newEngine(r, service, zoneOf(i), r.at(groupEngine, i+1, 9000), i < models)
		if err != nil {
			return r, err
		}
		r.engines = append(r.engines, e)
	}
	listener, err := net.Listen("tcp", r.at(groupPlatform, 1, 9000))
	if err != nil {
		return r, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(r.list)) }()
	go r.recordList()
	for i := range nodes {
		n := &node{name: fmt.Sprintf("node-%d", i+1), ip: addresses.IP(groupNode, i+1), zone: zoneOf(i), core: i < coreNodes}
		n.settings = filepath.Join(r.directory, n.name+".toml")
		n.command = launch.Command{
			Name: n.name, Path: r.binary, LogPath: filepath.Join(r.directory, n.name+".log"),
			Env: []string{"WASABISHUNT_SETTINGS=" + n.settings, "WASABISHUNT_NODE_METRICS=" + r.at(groupNode, i+1, portMetrics)},
		}
		r.nodes = append(r.nodes, n)
	}
	return r, nil
}

// startNode starts the process of a node.
func (r *rig) startNode(n *node, first bool) error {
	if err := r.writeSettings(n, first); err != nil {
		return err
	}
	var err error
	n.startedAt = time.Now()
	n.process, err = launch.Start(n.command)
	return err
}

func (r *rig) writeSettings(n *node, first bool) error {
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, fmt.Sprintf("%q", r.at(groupNode, r.firstSeed+i+1, portControl)))
	}
	data := ""
	if n.core {
		data = fmt.Sprintf("data-dir = %q", filepath.Join(r.directory, n.name))
	}
	text := fmt.Sprintf(`node-name = %q
role = "node"
machine-class = "front"
serves = ["front", "control"]
ip = %q
zone = %q
region = "region-1"
port-range = [%d, %d]
seeds = [%s]
bootstrap = %t
counts-as-loss = %t
%s
discovery = "cloud"
entry = "vip"
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants"]
config-mode = "highest"
[zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.72
cores = 1
memory-mb = 134
max-fds = 4100
link-mbps = 1000.0
disk-mb = 64
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 3000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
max-stretch-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 62
recovery-s = 12
transit-ms = 120
retry-after-s = 20
fencing-enforced = true
lease-ms = 3000
thaw-slack-ms = 300
version-ms = 10000
version-all-ms = 14000
[cloud]
address = %q
rate-per-s = 40.0
duties = []
lag-ms = 800
`, n.name, n.ip, n.zone, portInternal, portInternal+15, strings.Join(seeds, ","), first, n.core, data,
		n.ip, portFront, n.ip, portReady, n.ip, portControl, r.at(groupPlatform, 1, 9000))
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// recordList keeps the states of the list of engines.
func (r *rig) recordList() {
	for {
		entries := []any{}
		now := time.Now()
		r.mu.Lock()
		for _, e := range r.engines {
			entry, up := e.entry()
			if up {
				r.lastUp[e.address] = now
			}
			if up || now.Sub(r.lastUp[e.address]) < crashedListed {
				entries = append(entries, entry)
				if r.otherWriter != nil {
					entries = append(entries, r.otherWriter(entry))
				}
			}
		}
		body, _ := json.Marshal(map[string]any{"instances": entries, "next": nil})
		r.history = append(r.history, snapshot{now, body})
		for len(r.history) > 1 && now.Sub(r.history[1].at) > listLag {
			r.history = r.history[1:]
		}
		r.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// list serves the list of engines.
func (r *rig) list(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if q.URL.Path != "/instances" || len(r.history) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(r.history[0].body)
}

// document returns a desired state.
func document(version int) []byte {
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path-prefix": prefix, "kind": kind, "timeout-ms": 4000, "target-latency-ms": 1000, "priority": 1,
			"service": service, "attempts": attempts, "public": false, "sticky": service == serviceModel, "resumable": resumable, "target-gap-ms": 400,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r1", "/order/", "unsafe", servicePlain, 1, false), route("r2", "/look/", "safe", servicePlain, 2, false),
			route("r3", "/digest/", "stream", serviceModel, 1, false), route("r4", "/advice/", "stream", serviceModel, 2, true),
		},
		"services": []any{
			map[string]any{"name": serviceModel, "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kv-capacity": 46549, "kv-token-bytes": 18432, "link-mbps": 280000.0, "managed": true, "max-inflight": 12,
				"models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": servicePlain, "health-path": "/healthz", "max-conns": 130, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "alpha", "api-keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

var operator = &http.Client{Timeout: 3 * time.Second}

// publish sends a desired state until it is acknowledged.
func (r *rig) publish(version int, within time.Duration) error {
	var last error
	outcomes := map[string]int{}
	defer func() { r.log("operator: answers to version %d: %v", version, outcomes) }()
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(200 * time.Millisecond) {
		for _, n := range r.nodes {
			response, err := operator.Post("http://"+net.JoinHostPort(n.ip, fmt.Sprint(portControl))+"/Config.Put", "application/json", bytes.NewReader(document(version)))
			if err != nil {
				last = err
				outcomes["no answer"]++
				continue
			}
			outcomes[response.Status]++
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.log("operator: version %d is acknowledged by %s", version, n.name)
				return nil
			}
			last = fmt.Errorf("status %d", response.StatusCode)
		}
	}
	return fmt.Errorf("version %d is not acknowledged: %w", version, last)
}

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady(within time.Duration) error {
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.nodes {
			if response, err := operator.Get("http://" + net.JoinHostPort(n.ip, fmt.Sprint(portReady)) + "/readyz"); err == nil {
				if response.StatusCode == http.StatusOK {
					ready++
				}
				_ = response.Body.Close()
			}
		}
		if ready == len(r.nodes) {
			return nil
		}
	}
	return errors.New("not all nodes are ready in time")
}

// killAll kills all processes of the system at the same moment and starts them again after a delay.
func (r *rig) killAll(delay time.Duration) error {
	var killed sync.WaitGroup
	for _, n := range r.nodes {
		killed.Go(func() { _ = n.process.Kill() })
	}
	killed.Wait()
	r.log("trouble: all processes of the system are killed")
	time.Sleep(delay)
	for _, n := range r.nodes {
		if err := r.startNode(n, false); err != nil {
			return err
		}
	}
	r.log("trouble: they are started again")
	return nil
}

// checkRunning returns an error if the process of a node has ended by itself; gone is the node that is meant to have ended, or nil.
func (r *rig) checkRunning(gone *node) error {
	for _, n := range r.nodes {
		if n == gone || n.process == nil {
			continue
		}
		select {
		case <-n.process.Exited():
			return fmt.Errorf("%s has ended by itself with exit code %d", n.name, n.process.ExitCode())
		default:
		}
	}
	return nil
}

// stop ends all that the rig started.
func (r *rig) stop() {
	for _, n := range r.nodes {
		if n.process != nil {
			_ = n.process.Thaw()
			_ = n.process.Kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.directory)
	} else {
		fmt.Println(r.directory)
	}
	r.addresses.Release()
}

// answer is what a client got.
type answer struct {
	status     int
	body       string
	retryAfter string
	err        error
	took       time.Duration
}

// send sends a request to a node on a new channel.
func (r *rig) send(ctx context.Context, n *node, method, path, id string, body string, header map[string]string) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(n.ip, fmt.Sprint(portFront))+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "4000", "X-Api-Key": apiKey} {
		q.Header.Set(name, value)
	}
	for name, value := range header {
		q.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(q)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(content), retryAfter: response.Header.Get("Retry-After"), err: err, took: time.Since(began)}
}
