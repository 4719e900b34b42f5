// Command guardcheck removes one guard at a time from the source and checks that a test then fails.
// It reads lists of tab-separated lines: file, exact line text, replacement text, test command. Guards of which each alone
// prevents the failure are removed together: one line then has several groups of file, text and replacement before the
// command. The source tree is not changed; the go command reads the changed files through an overlay.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/wasabishunt/wasabishunt/internal/sourcepatch"
)

// arguments of the command line.
type arguments struct {
	// Lists are files with one guard per line.
	Lists []string `arg:"positional,required" help:"files with tab-separated guards"`
	// Only selects guards whose file or test command contains this text; empty means all.
	Only string `arg:"--only" help:"check only guards whose file or test command contains this text"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed := 0
	checked := 0
	baseline := map[string]bool{}
	for _, list := range args.Lists {
		guards, err := sourcepatch.ReadList(list)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		for _, g := range guards {
			if !strings.Contains(g.Files()+" "+g.Label, args.Only) {
				continue
			}
			checked++
			if verdict := check(g, baseline); verdict != "" {
				failed++
				fmt.Printf("NOT PROVED %s: %s: %s\n", g.Files(), g.Lines(), verdict)
			}
		}
	}
	fmt.Printf("%d guards checked, %d not proved\n", checked, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// check returns why the guard is not proved, or "" if its test passes with it and fails without it.
func check(g sourcepatch.Entry, baseline map[string]bool) string {
	if !baseline[g.Label] {
		if output, err := run(g.Label, ""); err != nil {
			return "test fails with the guard in place:\n" + tail(output)
		}
		baseline[g.Label] = true
	}
	directory, err := os.MkdirTemp("", "guardcheck")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = os.RemoveAll(directory) }()
	overlay, err := writeOverlay(g, directory)
	if err != nil {
		return err.Error()
	}
	for _, c := range g.Changes {
		if output, err := run("go vet ./"+filepath.Dir(c.File), overlay); err != nil {
			return "does not compile without the guard:\n" + tail(output)
		}
	}
	start := time.Now()
	output, err := run(g.Label, overlay)
	if err == nil {
		return "test passes without the guard: " + g.Label
	}
	fmt.Printf("proved %s: %s (%.1f s): %s\n", g.Files(), g.Lines(), time.Since(start).Seconds(), firstFailure(output))
	return ""
}

// writeOverlay writes the changed files and the list of them that the go command reads.
func writeOverlay(g sourcepatch.Entry, directory string) (string, error) {
	sources, err := g.Apply(".")
	if err != nil {
		return "", err
	}
	replace := map[string]string{}
	for file, content := range sources {
		path, err := filepath.Abs(file)
		if err != nil {
			return "", err
		}
		changed := filepath.Join(directory, fmt.Sprintf("changed-%d.go", len(replace)))
		if err := os.WriteFile(changed, []byte(content), 0o600); err != nil {
			return "", err
		}
		replace[path] = changed
	}
	document, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(directory, "overlay.json")
	return overlay, os.WriteFile(overlay, document, 0o600)
}

func run(command, overlay string) (string, error) {
	cmd := exec.Command("bash", "-c", command)
	cmd.Env = os.Environ()
	if overlay != "" {
		cmd.Env = append(cmd.Env, "GOFLAGS="+strings.TrimSpace(os.Getenv("GOFLAGS")+" -overlay="+overlay))
	}
	output, err := cmd.CombinedOutput()
	return string(output), err
}

func firstFailure(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "--- FAIL") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return tail(output)
}

func tail(output string) string {
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
