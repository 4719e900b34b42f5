package launch

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Loopback networks 127.firstNetwork.0.0 to 127.lastNetwork.0.0 are used, one per run.
const (
	firstNetwork = 10
	lastNetwork  = 249
	lockPort     = 7099
)

// Addresses hands out loopback addresses of one network that no other run on this machine uses.
type Addresses struct {
	network int
	lock    net.Listener
}

// ReserveAddresses takes a free network; it is held until Release.
func ReserveAddresses() (*Addresses, error) {
	count := lastNetwork - firstNetwork + 1
	start := rand.IntN(count)
	var lastErr error
	for i := range count {
		network := firstNetwork + (start+i)%count
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, lockPort))
		if err == nil {
			return &Addresses{network: network, lock: lock}, nil
		}
		lastErr = err
	}
	return nil, &ProcessError{"loopback network", "reserve", lastErr}
}

// IP returns the address of one member of a group; groups are numbered from 1.
func (a *Addresses) IP(group, member int) string {
	return fmt.Sprintf("127.%d.%d.%d", a.network, group, member)
}

// Release gives the network back.
func (a *Addresses) Release() { _ = a.lock.Close() }
