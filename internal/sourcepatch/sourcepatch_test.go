package sourcepatch

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func writeList(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list.txt")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against a list whose second change of a file drops the first one.
func TestChangesOfOneFileAddUp(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(root, "a.go"), []byte("one\ntwo\n"), 0o600))
	entries, err := ReadList(writeList(t, "# comment\n\na.go\tone\t1\ta.go\ttwo\t2\tlabel\n"))
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, "label", entries[0].Label)
	changed, err := entries[0].Apply(root)
	require.NoError(t, err)
	require.Equal(t, map[string]string{"a.go": "1\n2\n"}, changed)
}

// Guards against entries that no longer match the source and would change nothing, or change another line.
func TestTextMustOccurOnce(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(root, "a.go"), []byte("one\none\n"), 0o600))
	for _, text := range []string{"one", "three"} {
		_, err := Entry{Changes: []Change{{"a.go", text, ""}}}.Apply(root)
		var invalid *InvalidEntryError
		require.ErrorAs(t, err, &invalid)
	}
}

func TestMalformedLineIsRefused(t *testing.T) {
	for _, line := range []string{"a.go\tone\tlabel\n", "a.go\tone\t1\ta.go\tlabel\n"} {
		_, err := ReadList(writeList(t, line))
		var invalid *InvalidEntryError
		require.ErrorAs(t, err, &invalid, line)
	}
}
