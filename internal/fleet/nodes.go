package fleet

import (
	"fmt"
	"strconv"
)

// node describes one process.
type node struct {
	name    string
	program string
	args    []string
	// ip is the process's address, which is also the source of its connections.
	ip string
	// listen is the address that the process listens on; relayAddress is that of the relay in front of it, if any.
	listen, relayAddress string
	spare                bool
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

func zoneOf(i int) string { return zones[i%len(zones)] }

func (f *Fleet) node(name string) (node, error) {
	for _, n := range f.nodes() {
		if n.name == name {
			return n, nil
		}
	}
	return node{}, &UnknownProcessError{name}
}

// nodes lists all processes in start order: the platform, control, then the data path from stores to entries.
func (f *Fleet) nodes() []node {
	nodes := []node{f.vmlist(), f.weights()}
	for i := range f.Shape.Controls + f.Shape.SpareControls {
		nodes = append(nodes, f.control(i))
	}
	for i := range f.Shape.Stores {
		nodes = append(nodes, f.store(i))
	}
	for i, shape := range f.Shape.Upstreams {
		nodes = append(nodes, f.engine(i, shape), f.agent(i))
	}
	for i := range f.Shape.Services {
		nodes = append(nodes, f.service(i), f.serviceAgent(i))
	}
	for i := range f.Shape.Entries {
		nodes = append(nodes, f.entry(i))
	}
	return nodes
}

func address(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

func (f *Fleet) ip(group, i int) string { return f.addresses.IP(group, i+1) }

// endpoint returns the address that a process listens on and the one that others use; they differ if there are relays.
func (f *Fleet) endpoint(group, i, port int) (listen, advertise string) {
	listen = address(f.ip(group, i), port)
	if !f.Shape.Relays {
		return listen, listen
	}
	return listen, address(f.ip(group+relayGroups, i), port)
}

func (f *Fleet) newNode(program, name string, group, i, port int) node {
	listen, advertise := f.endpoint(group, i, port)
	n := node{name: fmt.Sprintf("%s-%d", name, i+1), program: program, ip: f.ip(group, i), listen: listen}
	if f.Shape.Relays {
		n.relayAddress = advertise
	}
	return n
}

// processIDFlag is the flag that each process that watches control has.
const processIDFlag = "--process-id"

// commonFlags returns the flags that all processes that watch control share.
func (f *Fleet) commonFlags(n node, i int, advertise string) []string {
	args := []string{processIDFlag, n.name, "--listen", n.listen, "--advertise", advertise, "--zone", zoneOf(i), "--source-ip", n.ip, "--control"}
	return append(args, f.ControlAddresses()...)
}

// ControlAddresses returns the addresses of the bootstrapped control members.
func (f *Fleet) ControlAddresses() []string {
	var addresses []string
	for i := range f.Shape.Controls {
		_, advertise := f.endpoint(controlGroup, i, rpcPort)
		addresses = append(addresses, advertise)
	}
	return addresses
}

func (f *Fleet) control(i int) node {
	n := f.newNode("wasabishunt-control", "control", controlGroup, i, rpcPort)
	_, advertise := f.endpoint(controlGroup, i, rpcPort)
	n.args = []string{
		"--member-id", strconv.Itoa(i + 1), "--group", group, "--zone", zoneOf(i),
		"--listen", n.listen, "--advertise", advertise, "--source-ip", n.ip,
		"--status", address(n.ip, httpPort),
		"--data-dir", f.DataDir(n.name), "--operators-file", f.file("operators"),
		"--vm-list-url", "http://" + f.vmlist().listen + "/vms",
	}
	if i >= f.Shape.Controls {
		n.spare = true
		n.args = append(n.args, "--join")
		return n
	}
	for j := range f.Shape.Controls {
		_, peer := f.endpoint(controlGroup, j, rpcPort)
		n.args = append(n.args, "--bootstrap", fmt.Sprintf("%d=%s=%s", j+1, peer, zoneOf(j)))
	}
	return n
}

func (f *Fleet) entry(i int) node {
	n := f.newNode("wasabishunt-entry", "entry", entryGroup, i, httpPort)
	n.args = append(f.commonFlags(n, i, n.listen),
		"--piece-key-file", f.file("piece.key"), "--operators-file", f.file("operators"),
		"--drain-notice", f.Shape.DrainNotice.String(), "--status", address(n.ip, metricsPort))
	n.relayAddress = "" // Callers connect directly.
	return n
}

func (f *Fleet) store(i int) node {
	n := f.newNode("wasabishunt-store", "store", storeGroup, i, rpcPort)
	_, advertise := f.endpoint(storeGroup, i, rpcPort)
	n.args = append(f.commonFlags(n, i, advertise),
		"--store", n.name, "--data-dir", f.DataDir(n.name), "--status", address(n.ip, httpPort))
	return n
}

func (f *Fleet) engine(i int, shape UpstreamShape) node {
	n := f.newNode("wasabishunt-standin", "engine", engineGroup, i, httpPort)
	n.args = []string{
		"--listen", n.listen, "engine", "--name", n.name, "--model", Model, "--weight-version", firstVersion,
		"--prefill-rate", formatRate(shape.PrefillRate), "--decode-rate", formatRate(shape.DecodeRate),
		"--cache-tokens", strconv.FormatInt(shape.CacheTokens, 10), "--weight-store", f.weights().listen,
	}
	if !shape.IgnoresFencing {
		n.args = append(n.args, "--honor-fencing")
	}
	return n
}

func (f *Fleet) agent(i int) node {
	n := f.newNode("wasabishunt-agent", "agent", agentGroup, i, rpcPort)
	_, advertise := f.endpoint(agentGroup, i, rpcPort)
	_, engine := f.endpoint(engineGroup, i, httpPort)
	n.args = append(f.commonFlags(n, i, advertise), "--upstream", UpstreamName(i), "--engine", engine,
		"--piece-key-file", f.file("piece.key"), "--status", address(n.ip, metricsPort))
	return n
}

func (f *Fleet) service(i int) node {
	n := f.newNode("wasabishunt-standin", "service", serviceGroup, i, httpPort)
	n.args = []string{"--listen", n.listen, "service", "--name", n.name}
	return n
}

func (f *Fleet) serviceAgent(i int) node {
	n := f.newNode("wasabishunt-agent", "service-agent", serviceAgentGroup, i, rpcPort)
	_, advertise := f.endpoint(serviceAgentGroup, i, rpcPort)
	_, service := f.endpoint(serviceGroup, i, httpPort)
	n.args = append(f.commonFlags(n, i, advertise), "--service", Service, "--service-address", service,
		"--status", address(n.ip, metricsPort))
	return n
}

func (f *Fleet) vmlist() node {
	listen := address(f.ip(platformGroup, 0), httpPort)
	return node{
		name: "vmlist", program: "wasabishunt-standin", listen: listen,
		args: []string{"--listen", listen, "vmlist", "--lag", f.Shape.VMListLag.String()},
	}
}

func (f *Fleet) weights() node {
	listen := address(f.ip(platformGroup, 1), httpPort)
	return node{
		name: "weights", program: "wasabishunt-standin", listen: listen,
		args: []string{"--listen", listen, "weights"},
	}
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'f', -1, 64) }
