// Package fleet describes a complete system on loopback addresses, with stand-ins for the platform, and starts its
// processes for the demo and the scenarios. Faults are injected through package launch.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/internal/launch"
)

// Ports of the processes; each process has an IP address of its own.
const (
	rpcPort     = 7100
	httpPort    = 7200
	metricsPort = 7300
)

// Groups of IP addresses, by kind of process. A relay has the group of its target plus relayGroups.
const (
	controlGroup = iota + 1
	entryGroup
	storeGroup
	engineGroup
	agentGroup
	serviceGroup
	serviceAgentGroup
	platformGroup
	relayGroups = 100
)

// Credentials of the fleet's operators.
const (
	// Operator and OtherOperator are the two names in the operators file.
	Operator      = "operator-1"
	OtherOperator = "operator-2"
	// OperatorIP is the address that operators' commands connect from.
	OperatorIP    = "127.0.0.1"
	operatorToken = "example-operator-token"
	group         = "fleet"
	pieceKey      = "example piece key with 32 bytes."
)

// UpstreamShape describes one engine with its agent.
type UpstreamShape struct {
	// IgnoresFencing makes the engine accept orders with any fencing token.
	IgnoresFencing bool
	// PrefillRate is the engine's speed in prompt tokens per second; default 20,000.
	PrefillRate float64
	// DecodeRate is the engine's speed in generated tokens per second and run; default 200.
	DecodeRate float64
	// CacheTokens is the capacity of the engine's prefix cache; default 20,000.
	CacheTokens int64
}

// Shape is the number and kind of processes.
type Shape struct {
	Controls int
	// SpareControls are control members that are neither bootstrapped nor started by StartAll; they join later.
	SpareControls int
	Entries       int
	Stores        int
	Upstreams     []UpstreamShape
	// Services is the number of instances of the plain service "orders".
	Services int
	// Accounts is the number of client accounts; default 4.
	Accounts int
	// Relays puts a relay in front of each process except entries, so that links can be cut and slowed.
	Relays bool
	// VMListLag is the age of the platform's VM list that control reads; default 2 s.
	VMListLag time.Duration
	// DrainNotice is the drain notice of entries; default 200 ms.
	DrainNotice time.Duration
	// StoreLinkRate is the link limit of a store in bytes per second; default 50,000,000.
	StoreLinkRate int64
}

func (s *Shape) setDefaults() {
	defaults.Set(&s.Accounts, 4)
	defaults.Set(&s.VMListLag, 2*time.Second)
	defaults.Set(&s.DrainNotice, 200*time.Millisecond)
	defaults.Set(&s.StoreLinkRate, 50_000_000)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.PrefillRate == 0 {
			u.PrefillRate = 20_000
		}
		if u.DecodeRate == 0 {
			u.DecodeRate = 200
		}
		if u.CacheTokens == 0 {
			u.CacheTokens = 20_000
		}
	}
}

// Fleet is one system. mu guards processes and relays; it is not held while a process starts or stops.
type Fleet struct {
	Shape     Shape
	binaries  string
	directory string
	addresses *launch.Addresses

	mu        sync.Mutex
	processes map[string]*launch.Process
	relays    map[string]*launch.Relay
}

// UnknownProcessError reports a name that the fleet does not have.
type UnknownProcessError struct{ Name string }

func (e *UnknownProcessError) Error() string { return "fleet has no process " + e.Name }

// New reserves addresses and writes the files that the processes read. The programs are in binaries; logs and data go
// below directory.
func New(shape Shape, binaries, directory string) (*Fleet, error) {
	shape.setDefaults()
	addresses, err := launch.ReserveAddresses()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Shape: shape, binaries: binaries, directory: directory, addresses: addresses,
		processes: map[string]*launch.Process{}, relays: map[string]*launch.Relay{},
	}
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) prepare() error {
	files := map[string]string{
		"piece.key":      pieceKey,
		"operators":      fmt.Sprintf("%s %s\n%s %s\n", Operator, sha256Hex(operatorToken), OtherOperator, sha256Hex(operatorToken)),
		"operator.token": operatorToken,
	}
	for name, content := range files {
		if err := os.WriteFile(f.file(name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	if !f.Shape.Relays {
		return nil
	}
	for _, node := range f.nodes() {
		if node.relayAddress == "" {
			continue
		}
		relay, err := launch.NewRelay(node.relayAddress, node.listen)
		if err != nil {
			return err
		}
		f.relays[node.name] = relay
	}
	return nil
}

// Close kills all processes and stops the relays.
func (f *Fleet) Close() {
	f.mu.Lock()
	processes, relays := f.processes, f.relays
	f.processes, f.relays = map[string]*launch.Process{}, map[string]*launch.Relay{}
	f.mu.Unlock()
	for _, process := range processes {
		_ = process.Kill()
	}
	for _, relay := range relays {
		relay.Close()
	}
	f.addresses.Release()
}

// Start starts one process by name; an earlier one of that name must have exited.
func (f *Fleet) Start(name string, extraArgs ...string) error {
	node, err := f.node(name)
	if err != nil {
		return err
	}
	process, err := launch.Start(launch.Command{
		Name: name, Path: filepath.Join(f.binaries, node.program), Args: append(node.args, extraArgs...),
		LogPath: f.file(name + ".log"),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = process
	return nil
}

// StartAll starts all processes except the spare control members.
func (f *Fleet) StartAll() error {
	for _, node := range f.nodes() {
		if node.spare {
			continue
		}
		if err := f.Start(node.name); err != nil {
			return err
		}
	}
	return nil
}

// Process returns the last started process of a name.
func (f *Fleet) Process(name string) (*launch.Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if process, ok := f.processes[name]; ok {
		return process, nil
	}
	return nil, &UnknownProcessError{name}
}

// Relay returns the relay in front of a process.
func (f *Fleet) Relay(name string) (*launch.Relay, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if relay, ok := f.relays[name]; ok {
		return relay, nil
	}
	return nil, &UnknownProcessError{name}
}

// Isolate cuts all links of a process in both directions; connections stay open.
func (f *Fleet) Isolate(name string) error {
	node, err := f.node(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for target, relay := range f.relays {
		if target == name {
			relay.Cut("*")
		} else {
			relay.Cut(node.ip)
		}
	}
	return nil
}

// Partition cuts all links between the named processes and all others; connections stay open.
func (f *Fleet) Partition(names ...string) error {
	for _, name := range names {
		if _, err := f.node(name); err != nil {
			return err
		}
	}
	nodes := f.nodes()
	f.mu.Lock()
	defer f.mu.Unlock()
	for target, relay := range f.relays {
		for _, n := range nodes {
			if n.ip != "" && slices.Contains(names, n.name) != slices.Contains(names, target) {
				relay.Cut(n.ip)
			}
		}
	}
	return nil
}

// CutLink cuts the connections that one process opened to another; they stay open.
func (f *Fleet) CutLink(from, to string) error {
	node, err := f.node(from)
	if err != nil {
		return err
	}
	relay, err := f.Relay(to)
	if err != nil {
		return err
	}
	relay.Cut(node.ip)
	return nil
}

// HealAll ends all cuts and rate limits.
func (f *Fleet) HealAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, relay := range f.relays {
		relay.Heal()
		relay.SetRate(0)
	}
}

// Names returns the names of all processes, spare ones included, in start order.
func (f *Fleet) Names() []string {
	var names []string
	for _, node := range f.nodes() {
		names = append(names, node.name)
	}
	return names
}

// Watchers returns the names of the processes that watch control and register with it.
func (f *Fleet) Watchers() []string {
	var names []string
	for _, node := range f.nodes() {
		if slices.Contains(node.args, processIDFlag) {
			names = append(names, node.name)
		}
	}
	return names
}

// DataDir returns the data directory of a process.
func (f *Fleet) DataDir(name string) string { return f.file(name + ".data") }

// LogPath returns the log file of a process.
func (f *Fleet) LogPath(name string) string { return f.file(name + ".log") }

// TokenFile returns the file with the operators' token.
func (f *Fleet) TokenFile() string { return f.file("operator.token") }

// OperatorToken returns the token of both operators.
func (f *Fleet) OperatorToken() string { return operatorToken }

func (f *Fleet) file(name string) string { return filepath.Join(f.directory, name) }

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// IP returns the source address of a process's connections.
func (f *Fleet) IP(name string) (string, error) {
	node, err := f.node(name)
	return node.ip, err
}

// AdvertisedAddress returns the address under which other processes reach a process.
func (f *Fleet) AdvertisedAddress(name string) (string, error) {
	node, err := f.node(name)
	if err != nil {
		return "", err
	}
	if node.relayAddress != "" {
		return node.relayAddress, nil
	}
	return node.listen, nil
}
