package launch

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Each run uses one of the loopback networks 127.firstNetwork.0.0 to 127.lastNetwork.0.0. A listener on lockPort reserves it.
const (
	firstNetwork = 10
	lastNetwork  = 249
	lockPort     = 7099
)

// Addresses provides loopback addresses of one network that no other run on this machine uses.
type Addresses struct {
	network int
	lock    net.Listener
}

// ReserveAddresses reserves a free network until Release.
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

// Release frees the network.
func (a *Addresses) Release() { _ = a.lock.Close() }
