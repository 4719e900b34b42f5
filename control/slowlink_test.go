package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/internal/launch"
)

// Guards against a set that never reaches a process behind a slow link, because the session is ended while the set is on its way and the
// next one begins anew.
func TestLargeSetReachesAProcessBehindASlowLink(t *testing.T) {
	for name, accounts := range map[string]int{"as a delta": 4500, "as a whole": 12000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			group, _, addresses := startGroup(t, 1, Options{})
			relay, err := launch.NewRelay("127.0.0.1:0", addresses[0])
			require.NoError(t, err)
			t.Cleanup(relay.Close)
			group.mu.Lock()
			group.members[0].address = relay.Address()
			group.mu.Unlock()
			client := newClient(t, addresses)
			_, err = publish(t, client, "op1", 0, setWithAccounts(t, "a"))
			require.NoError(t, err)
			logged, events := observer.New(zap.WarnLevel)
			w, _ := runWatcher(t, controlclient.WatcherOptions{Addresses: []string{relay.Address()}, ProcessID: "p", Log: zap.New(logged)})
			eventually(t, func() bool { return w.Current().Fresh(time.Now()) }, "the watcher is confirmed")
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprintf("account-%05d", i)
			}
			const bytesPerSecond = 200_000
			relay.SetRate(bytesPerSecond)
			response, err := publish(t, client, "op2", 1, setWithAccounts(t, names...))
			require.NoError(t, err)
			require.EqualValues(t, 2, response.Version, response.Failure)
			require.Eventually(t, func() bool { return w.Current().Version == 2 }, 20*time.Second, 20*time.Millisecond)
			require.Zero(t, events.FilterMessage("control session ended").Len(), "the set has arrived in one session")
		})
	}
}

// Guards against a set that never arrives, because processes whose links are slow ask one member after the other and begin the transfer anew
// at each of them.
func TestLargeSetArrivesOverSlowLinksToAllMembers(t *testing.T) {
	t.Parallel()
	group, servers, addresses := startGroup(t, 3, Options{})
	client := newClient(t, addresses[:1])
	_, err := publish(t, client, "op1", 0, setWithAccounts(t, "a"))
	require.NoError(t, err)
	relays := make([]*launch.Relay, len(addresses))
	links := make([]string, len(addresses))
	for i, address := range addresses {
		relays[i], err = launch.NewRelay("127.0.0.1:0", address)
		require.NoError(t, err)
		t.Cleanup(relays[i].Close)
		links[i] = relays[i].Address()
	}
	group.mu.Lock()
	for i, m := range group.members {
		m.address = links[i]
	}
	group.mu.Unlock()
	w, _ := startWatcher(t, "p", links)
	eventually(t, func() bool { return w.Current().Fresh(time.Now()) }, "the watcher is confirmed")
	names := make([]string, 2500)
	for i := range names {
		names[i] = fmt.Sprintf("account-%05d", i)
	}
	// A relay forwards 16 KiB at a time, so that bytes arrive 0.3 s apart.
	const bytesPerSecond = 50_000
	for _, relay := range relays {
		relay.SetRate(bytesPerSecond)
	}
	group.mu.Lock()
	group.log = append(group.log, publishCommand("op2", 1, "dana", setWithAccounts(t, names...)))
	for _, m := range group.members {
		group.catchUp(m)
	}
	group.mu.Unlock()
	most := 0
	require.Eventually(t, func() bool {
		open := 0
		for _, server := range servers {
			open += len(server.watchers)
		}
		most = max(most, open)
		return w.Current().Version == 2
	}, 20*time.Second, 5*time.Millisecond)
	require.LessOrEqual(t, most, 3, "at most one stream to each member")
}
