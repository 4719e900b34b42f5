package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
			w, _ := startWatcher(t, "p", []string{relay.Address()})
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
		})
	}
}
