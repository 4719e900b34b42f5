// Package scenarios runs the scripted proofs of the system's invariants under failure.
package scenarios

import (
	"flag"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/scenario"
)

var binaries = flag.String("binaries", "", "directory with built programs; default builds them")

// parallelScripts limits the scripts that run at once: each starts up to about twenty processes, and their timeouts
// are those of production.
const parallelScripts = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelScripts); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestScenarios runs each script of this directory against real processes.
func TestScenarios(t *testing.T) {
	directory := *binaries
	if directory == "" {
		directory = t.TempDir()
		build := exec.Command("go", "build", "-o", directory, "../cmd/...")
		build.Stderr = os.Stderr
		require.NoError(t, build.Run())
	}
	testscript.Run(t, scenario.Params(".", directory))
}
