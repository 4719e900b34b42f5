package operators

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/failure"
)

func line(name, token string) string {
	sum := sha256.Sum256([]byte(token))
	return name + " " + hex.EncodeToString(sum[:]) + "\n"
}

// Guards against token changes that need a restart, an invalid or partly written file that locks out operators, and a
// log line for each check.
func TestFileIsFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operators")
	write := func(content string) { require.NoError(t, os.WriteFile(path, []byte(content), 0o600)) }
	list := &List{}
	require.Empty(t, list.Load(strings.NewReader(line("dana", "old"))))
	core, logs := observer.New(zapcore.InfoLevel)
	file := NewFile(path, list, zap.New(core))
	requireEvent := func(event string) {
		t.Helper()
		file.check()
		file.check()
		entries := logs.TakeAll()
		if event == "" {
			require.Empty(t, entries)
			return
		}
		require.Len(t, entries, 1)
		require.Equal(t, event, entries[0].Message)
	}
	write(line("dana", "old"))
	requireEvent("")
	write(line("dana", "new") + line("eli", "token"))
	requireEvent("operators file taken")
	require.True(t, list.HasToken("new") && list.HasToken("token"))
	require.False(t, list.HasToken("old"), "a removed token")

	for _, broken := range []string{"", line("dana", "x") + "eli abc\n", "# nobody\n", line("a", "x") + line("a", "y"), strings.Repeat("#", maxFileBytes+1)} {
		write(broken)
		requireEvent("operators file not taken")
		require.True(t, list.HasToken("new") && list.HasToken("token"))
		require.False(t, list.HasToken("x"))
	}
	require.NoError(t, os.Remove(path))
	requireEvent("operators file not taken")
	require.True(t, list.HasToken("new"))
	require.True(t, failure.Is(file.reload(), failure.StorageFailed))
	write(line("fay", "third"))
	requireEvent("operators file taken")
	require.True(t, list.HasToken("third"))
	require.False(t, list.HasToken("new"))
	write("fay\n")
	require.True(t, failure.Is(file.reload(), failure.InvalidRequest))
}
