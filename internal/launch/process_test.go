package launch

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitVariable makes the test binary a program that ignores SIGTERM; it names the file that the program then creates.
const waitVariable = "WASABISHUNT_LAUNCH_TEST_WAIT"

func waitWithoutExit(ready string) {
	signal.Ignore(syscall.SIGTERM)
	if err := os.WriteFile(ready, nil, 0o600); err != nil {
		panic(err)
	}
	time.Sleep(time.Minute)
}

// Guards against a process that does not exit in time and leaves no trace of what it waits for.
func TestStacksOfAProcessThatDoesNotExit(t *testing.T) {
	ready, log := filepath.Join(t.TempDir(), "ready"), filepath.Join(t.TempDir(), "log")
	p, err := Start(Command{Name: "waiting", Path: os.Args[0], Env: []string{waitVariable + "=" + ready}, LogPath: log})
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Kill() })
	require.Eventually(t, func() bool { _, err := os.Stat(ready); return err == nil }, 20*time.Second, 5*time.Millisecond)
	require.ErrorIs(t, p.Stop(50*time.Millisecond), errTimeout)
	require.NoError(t, p.DumpStacks())
	text, err := os.ReadFile(log)
	require.NoError(t, err)
	require.Contains(t, string(text), "waitWithoutExit(")
}
