package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/cli"
	"github.com/wasabishunt/wasabishunt/control/configcheck"
	"github.com/wasabishunt/wasabishunt/platform"
)

const publishedSet = `{"version":7,"routes":[
{"name":"a","hostname":"h.example","path-prefix":"/p/","kind":"stream","timeout-ms":4000,"target-latency-ms":1000,"service":"e","attempts":2,"resumable":true}],
"services":[{"name":"e","max-conns":64,"engine":{"slots":64,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t","api-keys":["k1"]}]}`

// Guards against a command line without the decoder of published sets, and against findings of the real decoder that are missed.
func TestCheckOfPublishedSets(t *testing.T) {
	run := func(document string) (int, string) {
		file := filepath.Join(t.TempDir(), "set.json")
		require.NoError(t, os.WriteFile(file, []byte(document), 0o600))
		var out, errOut bytes.Buffer
		return cli.Run(t.Context(), []string{"check", file}, &out, &errOut, platform.DecodeSet), out.String()
	}
	code, out := run(publishedSet)
	require.Equal(t, cli.ExitOK, code, out)
	code, out = run(strings.Replace(publishedSet, `"resumable":true`, `"resumable":false`, 1))
	require.Equal(t, cli.ExitRefused, code)
	require.Contains(t, out, "routes.a: unusable_attempts: ")
	code, out = run(strings.Replace(publishedSet, `"service":"e"`, `"service":"x"`, 1))
	require.Equal(t, cli.ExitRefused, code)
	require.Contains(t, out, "routes.a.targets: invalid: ")
	require.Contains(t, out, "services.e: unused_service: ")
}

// Guards against a crash on a broken published set.
func FuzzCheckOfPublishedSets(f *testing.F) {
	f.Add([]byte(publishedSet), []byte(`{"version":null,"routes":[null],"services":[null]}`))
	f.Add([]byte(`{"version":1,"routes":[],"services":[],"limits":null,"tenants":null}`), []byte(""))
	f.Fuzz(func(t *testing.T, document, against []byte) {
		require.Equal(t, configcheck.Check(document, against, platform.DecodeSet), configcheck.Check(document, against, platform.DecodeSet))
	})
}
