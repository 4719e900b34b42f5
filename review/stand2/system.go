package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabishunt/wasabishunt/internal/launch"
)

// Ports of every node; each has an address of its own.
const (
	portFront    = 8749
	portReady    = 8741
	portControl  = 8745
	portMetrics  = 9464
	portInternal = 7580
)

// Groups of loopback addresses.
const (
	groupNode = iota + 1
	groupEngine
	groupPlatform
)

const (
	nodes        = 3
	serviceModel = "huvo11a"
	host         = "pule25.example"
	// program is built by the command of the deploy file.
	program = "target/wasabishunt-node"
	// readyLimit is the time within which all nodes must be ready.
	readyLimit = 20 * time.Second
	// contactWindow is the bound contact-window-ms of the small deployments.
	contactWindow = 3 * time.Second
)

// deployment holds contracts and further bounds of a deployment.
type deployment struct{ contracts, bounds string }

var (
	kilnSlots = deployment{contracts: `"base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants"`}
	// kapiRandevu is demands/kapi-randevu-grown.
	kapiRandevu = deployment{
		contracts: kilnSlots.contracts + `,"health","pool","places","pressure"`, bounds: "evacuate-ms = 5000\ncold-overshoot = 1.5\ncold-slack = 5\n",
	}
)

var (
	errNotReady        = errors.New("the nodes did not become ready")
	errNotAcknowledged = errors.New("a call of the operator was not acknowledged")
)

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	engine string
}

// system is all that one play starts.
type system struct {
	record    *record
	addresses *launch.Addresses
	folder    string
	processes []*launch.Process
	engines   []*engine
	list      *http.Server
	client    *http.Client
	sent      atomic.Int64
	// deployment holds the settings that differ between deployments.
	deployment deployment

	mu sync.Mutex
	// odd are entries of the instance list by another writer.
	odd      []any
	deadly   string
	crashes  []time.Time
	arrivals map[string][]arrival
	runs     map[string]int
}

func newSystem(r *record) *system {
	return &system{
		record: r, deployment: kilnSlots, arrivals: map[string][]arrival{}, runs: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}},
	}
}

func (s *system) at(group, member, port int) string {
	return net.JoinHostPort(s.addresses.IP(group, member), fmt.Sprint(port))
}

func zone(i int) string { return fmt.Sprintf("zone-%d", 1+i%nodes) }

// start starts engines, the instance list and the nodes, publishes a set and waits until the nodes are ready.
func (s *system) start(engines int) error {
	var err error
	if s.addresses, err = launch.ReserveAddresses(); err != nil {
		return err
	}
	if s.folder, err = os.MkdirTemp("", "wasabishunt-review-"); err != nil {
		return err
	}
	for i := range engines {
		e := &engine{system: s, name: fmt.Sprint(i + 1), zone: zone(i), address: s.at(groupEngine, i+1, 8080), version: 1}
		if err := e.start(); err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	listener, err := net.Listen("tcp", s.at(groupPlatform, 1, 8744))
	if err != nil {
		return err
	}
	s.list = &http.Server{Handler: http.HandlerFunc(s.serveList)}
	go func() { _ = s.list.Serve(listener) }()
	for i := range nodes {
		if err := s.startNode(i); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *system) startNode(i int) error {
	name := fmt.Sprintf("front-%d", i+1)
	settings := filepath.Join(s.folder, name+".toml")
	if err := os.WriteFile(settings, []byte(s.settings(i, name)), 0o600); err != nil {
		return err
	}
	p, err := launch.Start(launch.Command{
		Name: name, Path: program, LogPath: filepath.Join(s.folder, name+".log"),
		Env: []string{"WASABISHUNT_SETTINGS=" + settings, "WASABISHUNT_NODE_METRICS=" + s.at(groupNode, i+1, portMetrics)},
	})
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return err
}

func (s *system) settings(i int, name string) string {
	var seeds []string
	for k := range nodes {
		seeds = append(seeds, fmt.Sprintf("%q", s.at(groupNode, k+1, portControl)))
	}
	return fmt.Sprintf(`node-name = %q
role = "node"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "saurashtra"
port-range = [%d,%d]
seeds = [%s]
bootstrap = true
counts-as-loss = true
data-dir = %q
discovery = "cloud"
entry = "vip"
contracts = [%s]
config-mode = "highest"
[zones]
zone-1 = "saurashtra"
zone-2 = "saurashtra"
zone-3 = "saurashtra"
[listen]
front = %q
ready = %q
control = %q
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
contact-window-ms = 3000
drain-ms = 3000
grace-s = 8
config-apply-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 62
recovery-s = 12
fencing-enforced = true
lease-ms = 3000
version-ms = 10000
%s[cloud]
address = %q
rate-per-s = 44.0
duties = []
lag-ms = 800
`, name, s.addresses.IP(groupNode, i+1), zone(i), portInternal, portInternal+15, strings.Join(seeds, ","), filepath.Join(s.folder, name), s.deployment.contracts,
		s.at(groupNode, i+1, portFront), s.at(groupNode, i+1, portReady), s.at(groupNode, i+1, portControl), s.deployment.bounds, s.at(groupPlatform, 1, 8744))
}

// serveList serves the instance list.
func (s *system) serveList(w http.ResponseWriter, _ *http.Request) {
	entries := []any{}
	for _, e := range s.engines {
		if entry := e.listed(time.Now()); entry != nil {
			entries = append(entries, entry)
		}
	}
	s.mu.Lock()
	entries = append(entries, s.odd...)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// addOdd adds an entry of another writer to the instance list.
func (s *system) addOdd(entry map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.odd = append(s.odd, entry)
	s.record.note("another writer adds the entry %v to the instance list", entry)
}

// Tenants and their keys.
var tenants = map[string]string{"jeye930": "nu6wsjnbanfqasnmgkcu", "mola114": "yj8pjbvk9m68k7b2ex5w"}

func document() []byte {
	tenant := func(name string) map[string]any {
		return map[string]any{"name": name, "api-keys": []string{tenants[name]}, "priority": 1}
	}
	body, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-5k6pjs2", "hostname": host, "path-prefix": "/puxa400/", "kind": "stream", "timeout-ms": 4000, "target-latency-ms": 1000, "priority": 2,
			"service": serviceModel, "attempts": 1, "public": false, "sticky": true, "resumable": false, "target-gap-ms": 400,
		}},
		"services": []any{map[string]any{
			"name": serviceModel, "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false,
			"cold-start-s": 0, "cold-per-s": 0,
			"engine": map[string]any{
				"slots": 64, "kv-capacity": 46549, "kv-token-bytes": 18432, "link-mbps": 280000.0, "moves": true, "backups": true, "managed": true, "stride": 6,
				"max-inflight": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": modelName}},
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{tenant("jeye930"), tenant("mola114")},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// awaitReady publishes the set and waits until all nodes are ready.
func (s *system) awaitReady() error {
	published := false
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if !published {
			published = s.status(http.MethodPost, "http://"+s.at(groupNode, 1, portControl)+"/Config.Put", document()) == http.StatusOK
			continue
		}
		ready := 0
		for i := range nodes {
			if s.status(http.MethodGet, "http://"+s.at(groupNode, i+1, portReady)+"/readyz", nil) == http.StatusOK {
				ready++
			}
		}
		if ready == nodes {
			// All nodes have been in touch for the contact window before the play begins.
			time.Sleep(contactWindow)
			s.record.note("all nodes are ready and in touch")
			return nil
		}
	}
	return errNotReady
}

// status makes a call and returns the status of its answer, 0 without one.
func (s *system) status(method, url string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := s.client.Do(call)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// operate makes a call of the operator until it is acknowledged.
func (s *system) operate(path string) error {
	for i := range 50 {
		if status := s.status(http.MethodPost, "http://"+s.at(groupNode, 1+i%nodes, portControl)+path, nil); status == http.StatusOK {
			s.record.note("operator call %s is acknowledged", path)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotAcknowledged
}

// stop ends all that was started.
func (s *system) stop() {
	for _, p := range s.processes {
		_ = p.Kill()
	}
	for _, e := range s.engines {
		e.stop()
	}
	if s.list != nil {
		_ = s.list.Close()
	}
	if s.addresses != nil {
		s.addresses.Release()
	}
	if s.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// setDeadly names the part that crashes engines.
func (s *system) setDeadly(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly = part
}

func (s *system) isDeadly(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadly != "" && hasPart(prefix, s.deadly)
}

func (s *system) recordCrash(id string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	n := len(s.crashes)
	s.mu.Unlock()
	s.record.note("engine %s crashes, crash %d", id, n)
}

// crashTimes returns the times of the crashes so far.
func (s *system) crashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}

func (s *system) recordArrival(request, id string) {
	s.mu.Lock()
	s.arrivals[request] = append(s.arrivals[request], arrival{time.Now(), id})
	s.mu.Unlock()
	s.record.note("request %s reaches engine %s", request, id)
}

func (s *system) recordRun(request, id string) {
	s.mu.Lock()
	s.runs[request]++
	s.mu.Unlock()
	s.record.note("engine %s runs request %s", id, request)
}

// hasRun reports whether an engine has begun to work on a request.
func (s *system) hasRun(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request] > 0
}

// arrivalsOf returns when a request reached which engines.
func (s *system) arrivalsOf(request string) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals[request]...)
}
