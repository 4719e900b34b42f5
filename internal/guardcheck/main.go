// Command guardcheck removes one guard at a time from the source and runs the test that must then fail.
// It reads lists of tab-separated lines: file, exact line text, replacement text, test command. The
// source tree is not changed: the go command gets the changed file as an overlay.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
)

// arguments of the command line.
type arguments struct {
	// Lists are files with one guard per line.
	Lists []string `arg:"positional,required" help:"files with tab-separated guards"`
	// Only selects guards whose file or test command contains this text; empty means all.
	Only string `arg:"--only" help:"check only guards whose file or test command contains this text"`
}

// guard is one source line whose loss a test must notice.
type guard struct {
	list        string
	file        string
	line        string
	replacement string
	command     string
}

// invalidGuardError reports a list entry that does not fit the source.
type invalidGuardError struct {
	guard  guard
	reason string
}

func (e *invalidGuardError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.guard.list, e.guard.file, e.reason)
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed := 0
	checked := 0
	baseline := map[string]bool{}
	for _, list := range args.Lists {
		guards, err := readGuards(list)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		for _, g := range guards {
			if !strings.Contains(g.file+" "+g.command, args.Only) {
				continue
			}
			checked++
			if verdict := check(g, baseline); verdict != "" {
				failed++
				fmt.Printf("NOT PROVED %s: %s: %s\n", g.file, strings.TrimSpace(g.line), verdict)
			}
		}
	}
	fmt.Printf("%d guards checked, %d not proved\n", checked, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func readGuards(list string) ([]guard, error) {
	f, err := os.Open(list)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var guards []guard
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Split(text, "\t")
		if len(fields) != 4 {
			return nil, &invalidGuardError{guard{list: list, file: text}, "want four tab-separated fields"}
		}
		guards = append(guards, guard{list, fields[0], fields[1], fields[2], fields[3]})
	}
	return guards, scanner.Err()
}

// check returns why the guard is not proved, or "" if its test passes with it and fails without it.
func check(g guard, baseline map[string]bool) string {
	if !baseline[g.command] {
		if output, err := run(g.command, ""); err != nil {
			return "test fails with the guard in place:\n" + tail(output)
		}
		baseline[g.command] = true
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
	if output, err := run("go vet "+"./"+filepath.Dir(g.file), overlay); err != nil {
		return "does not compile without the guard:\n" + tail(output)
	}
	start := time.Now()
	output, err := run(g.command, overlay)
	if err == nil {
		return "test passes without the guard: " + g.command
	}
	fmt.Printf("proved %s: %s -> %s (%.1f s): %s\n", g.file, strings.TrimSpace(g.line),
		strings.TrimSpace(g.replacement), time.Since(start).Seconds(), firstFailure(output))
	return ""
}

func writeOverlay(g guard, directory string) (string, error) {
	path, err := filepath.Abs(g.file)
	if err != nil {
		return "", err
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(source), g.line); count != 1 {
		return "", &invalidGuardError{g, fmt.Sprintf("line text occurs %d times, want once: %s", count, g.line)}
	}
	changed := filepath.Join(directory, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), g.line, g.replacement, 1)), 0o600); err != nil {
		return "", err
	}
	document, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
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
