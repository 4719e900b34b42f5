// Package scenarios runs scripts that check the system's invariants under failures.
package scenarios

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/scenario"
)

var (
	soakDuration = flag.Duration("soak", 0, "duration of TestSoak; 0 skips it")
	soakSeed     = flag.Uint64("soak-seed", 0, "seed of TestSoak; 0 takes a random one")
	soakRuns     = flag.Int("soak-runs", 1, "number of runs of TestSoak, with following seeds; up to parallelScripts at once")
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
	testscript.Run(t, scenario.Params(".", programs(t)))
}

// TestSoak guards against errors that only a random order of failures under mixed load triggers. It runs only with -soak.
func TestSoak(t *testing.T) {
	if *soakDuration <= 0 {
		t.Skip("no -soak duration")
	}
	seed := *soakSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	directory := t.TempDir()
	for i := range uint64(*soakRuns) {
		t.Logf("replay with -soak=%s -soak-seed=%d", *soakDuration, seed+i)
		script := scenario.SoakScript(seed+i, *soakDuration)
		path := filepath.Join(directory, fmt.Sprintf("soak-%d.txtar", seed+i))
		require.NoError(t, os.WriteFile(path, []byte(script), 0o600))
	}
	testscript.Run(t, scenario.Params(directory, programs(t)))
}

// programs returns the directory of the built programs, which it builds unless -binaries is set.
func programs(t *testing.T) string {
	if *binaries != "" {
		return *binaries
	}
	directory := t.TempDir()
	build := exec.Command("go", "build", "-o", directory, "../cmd/...")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	return directory
}
