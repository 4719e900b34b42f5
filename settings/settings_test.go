package settings_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/settings"
)

type sample struct {
	Name  string        `arg:"--name,env:NAME"`
	Count int           `arg:"--count,env:COUNT" default:"1"`
	Pause time.Duration `arg:"--pause,env:PAUSE" default:"1s"`
	Peers []string      `arg:"--peers"`
}

func (s *sample) Validate() []failure.Problem {
	var c settings.Checker
	c.Required("--name", s.Name, "a")
	c.Addresses("--peers", s.Peers)
	settings.Positive(&c, "--count", s.Count)
	c.PositiveDurations(map[string]time.Duration{"--pause": s.Pause})
	return c.Problems()
}

func parse(flags ...string) (code int, stdout, stderr string) {
	var out, errorOutput bytes.Buffer
	_, code = settings.Parse(&sample{}, "sample", flags, &out, &errorOutput)
	return code, out.String(), errorOutput.String()
}

// Guards against a report that stops at the first invalid value or omits invalid variables if there are invalid flags,
// and against variables that stay unset after the report.
func TestValuesThatCannotBeReadAreAllReported(t *testing.T) {
	t.Setenv("SAMPLE_PAUSE", "soon")
	code, _, report := parse("--count", "many", "--unknown=1", "--other", "2", "--peers", "127.0.0.1:70000")
	assert.Equal(t, settings.ExitUsage, code)
	for _, path := range []string{"--count", "--unknown", "--other", "SAMPLE_PAUSE", "--name", "--peers[0]"} {
		assert.Contains(t, report, "  "+path+": ")
	}
	assert.Contains(t, report, `--count: "many" is not a number in range`)
	assert.Contains(t, report, `SAMPLE_PAUSE: "soon" is not a duration`)
	assert.Contains(t, report, "invalid settings (6)")
	assert.Equal(t, "soon", os.Getenv("SAMPLE_PAUSE"))
}

// Guards against help that fails because required settings are missing.
func TestHelpNeedsNoSettings(t *testing.T) {
	code, help, report := parse("--help")
	assert.Zero(t, code)
	assert.Contains(t, help, "--count")
	assert.Empty(t, report)
}

// Guards against a program that reads a variable meant for another one on the same VM.
func TestEnvironmentVariablesStartWithTheProgram(t *testing.T) {
	type shared struct {
		sample
		settings.Process
	}
	t.Setenv("WASABISHUNT_AGENT_ZONE", "zone-a")
	t.Setenv("WASABISHUNT_AGENT_NAME", "a")
	t.Setenv("WASABISHUNT_ENTRY_ZONE", "zone-b")
	t.Setenv("ZONE", "zone-c")
	var args shared
	ok, _ := settings.Parse(&args, "wasabishunt-agent", []string{"--peers", "127.0.0.1:1"}, &bytes.Buffer{}, &bytes.Buffer{})
	assert.True(t, ok)
	assert.Equal(t, "zone-a", args.Zone)
}
