package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an exit code of 0 with findings, wrong usage that looks like a finding, and a check that needs control.
func TestCheck(t *testing.T) {
	const example = "../examples/qasr.yaml"
	broken := writeFile(t, "zones: 3\n")
	empty := filepath.Join(t.TempDir(), "empty.yaml")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	for name, c := range map[string]struct {
		args []string
		code int
	}{
		"clean":                   {[]string{"check", example}, ExitOK},
		"no difference":           {[]string{"check", example, "--against", example}, ExitOK},
		"mistake":                 {[]string{"check", broken}, ExitRefused},
		"difference":              {[]string{"check", example, "--against", "../examples/saurashtra.yaml"}, ExitRefused},
		"empty set in force":      {[]string{"check", example, "--against", empty}, ExitRefused},
		"broken set in force":     {[]string{"check", example, "--against", broken}, ExitRefused},
		"no file":                 {[]string{"check"}, ExitUsage},
		"missing file":            {[]string{"check", "missing.yaml"}, ExitUsage},
		"missing file in force":   {[]string{"check", example, "--against", "missing.yaml"}, ExitUsage},
		"unknown flag":            {[]string{"check", example, "--nonsense"}, ExitUsage},
		"mistake, output as JSON": {[]string{"check", broken, "--json"}, ExitRefused},
	} {
		code, _, stderr := invoke(t, unreachable, c.args...)
		require.Equal(t, c.code, code, "%s: %s", name, stderr)
	}
}

// Guards against output of --json that programs cannot read, with and without findings, and against other text in it.
func TestCheckJSON(t *testing.T) {
	_, out, _ := invoke(t, unreachable, "check", "--json", "../examples/qasr.yaml")
	require.JSONEq(t, `{"findings":[]}`, out)
	_, out, _ = invoke(t, unreachable, "check", "--json", writeFile(t, "zones: 3\n"))
	var r checkReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Findings, 1)
	require.Equal(t, "zones", r.Findings[0].Path)
	_, text, _ := invoke(t, unreachable, "check", writeFile(t, "zones: 3\n"))
	require.Equal(t, "zones: invalid: "+r.Findings[0].Message+"\n", text)
}
