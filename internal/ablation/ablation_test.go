package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// repository makes a committed source with one file and a list that changes it, and returns the arguments to measure
// it: the figure is the number in the file times the seed.
func repository(t *testing.T) arguments {
	t.Helper()
	t.Chdir(t.TempDir())
	require.NoError(t, os.WriteFile("value", []byte("3\n"), 0o600))
	require.NoError(t, os.WriteFile("list.txt", []byte("value\t3\t2\tHalf the fetches\n"), 0o600))
	git := "git init -q && git add value && git -c user.name=t -c user.email=t@example.invalid commit -qm value"
	output, err := exec.Command("bash", "-c", git).CombinedOutput()
	require.NoError(t, err, string(output))
	return arguments{
		Lists: []string{"list.txt"}, Copies: t.TempDir(), Results: filepath.Join(t.TempDir(), "results.tsv"), Parallel: 2,
		Cases: []string{"first=a", "second=b"}, Seeds: []string{"1", "2"}, Figure: `figure (\S+)`,
		Command: `mkdir -p kept && touch kept/{case}-{seed}-$(cat value) && echo "figure $(( $(cat value) * {seed} ))"; exit 1`,
		Keep:    "kept", Table: "table.md", Plot: "plot.svg",
	}
}

// Guards against pairs of different seeds, and against a sign that makes a useful mechanism look harmful.
func TestDifferencesArePaired(t *testing.T) {
	args := repository(t)
	require.NoError(t, run(args))
	table, err := os.ReadFile("table.md")
	require.NoError(t, err)
	require.Contains(t, string(table), "| unchanged, mean figure | 4.500 | 4.500 |")
	require.Contains(t, string(table), "| Half the fetches | +1.500 ± 0.500 (2) | +1.500 ± 0.500 (2) |")
	plot, err := os.ReadFile("plot.svg")
	require.NoError(t, err)
	require.Contains(t, string(plot), "<svg")
	source, err := os.ReadFile("value")
	require.NoError(t, err)
	require.Equal(t, "3\n", string(source), "the own source is not changed")
	kept, err := os.ReadDir("kept")
	require.NoError(t, err)
	require.Len(t, kept, 8, "files of all runs are collected")
	copies, err := os.ReadDir(args.Copies)
	require.NoError(t, err)
	require.Empty(t, copies)
}

// Guards against a long measurement that starts from the beginning after an interruption.
func TestKnownResultsAreNotMeasuredAgain(t *testing.T) {
	args := repository(t)
	require.NoError(t, run(args))
	args.Command = "echo no figure"
	require.NoError(t, run(args))
	args.Seeds = []string{"1", "2", "3"}
	require.ErrorContains(t, run(args), "no figure")
}

// Guards against a list that names text which the source no longer has.
func TestOutdatedListFails(t *testing.T) {
	args := repository(t)
	require.NoError(t, os.WriteFile("list.txt", []byte(strings.Join([]string{"value", "4", "2", "Gone"}, "\t")), 0o600))
	require.ErrorContains(t, run(args), "occurs 0 times")
}
