package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/cli"
)

// Guards against pages that differ from the flags and objects in the source, and against settings
// whose help text lacks the kind of value.
func TestPagesAreUpToDate(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, p := range pages {
		want, err := p.write(root)
		require.NoError(t, err)
		have, err := os.ReadFile(filepath.Join(root, p.path))
		require.NoError(t, err)
		assert.Equal(t, string(want), string(have), "%s is out of date: run make settingsdoc", p.path)
	}
}

// Guards against a shared setting that was renamed in one program only, and against a default for an address or for the
// availability zone.
func TestProgramsShareTheNamesOfSharedSettings(t *testing.T) {
	for _, p := range programs[:4] {
		list, err := readSettings(filepath.Join("..", ".."), p.file, argumentsStruct)
		require.NoError(t, err)
		flags := map[string]bool{}
		for _, s := range list {
			flags[s.flag] = true
			if s.kind == "IP:port" || s.flag == "--zone" {
				assert.Empty(t, s.value, "%s %s has a default", p.name, s.flag)
			}
		}
		for _, shared := range []string{"--listen", "--advertise", "--status", "--source-ip", "--zone", "--log-level"} {
			assert.True(t, flags[shared], "%s has no %s", p.name, shared)
		}
	}
}

// Guards against examples that control would refuse.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", "*.yaml"))
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		var stdout, stderr bytes.Buffer
		code := cli.Run(t.Context(), []string{"validate", file}, &stdout, &stderr, nil)
		assert.Equal(t, cli.ExitOK, code, stderr.String())
	}
}
