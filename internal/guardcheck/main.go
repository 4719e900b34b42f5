// Command guardcheck removes one guard at a time from the source and checks that a test then fails.
// It reads lists of tab-separated lines: file, exact line text, replacement text, test command. Guards of which each alone
// prevents the failure are removed together: one line then has several groups of file, text and replacement before the
// command. The source tree is not changed; the go command reads the changed files through an overlay.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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

// guard is one source line, or several of which each alone prevents the failure, whose removal must make a test fail.
type guard struct {
	list    string
	changes []change
	command string
}

// change replaces one line of a file.
type change struct {
	file        string
	line        string
	replacement string
}

// files returns the names of the changed files.
func (g guard) files() string {
	var names []string
	for _, c := range g.changes {
		names = append(names, c.file)
	}
	return strings.Join(names, " ")
}

// lines returns the removed lines with their replacements.
func (g guard) lines() string {
	var lines []string
	for _, c := range g.changes {
		lines = append(lines, strings.TrimSpace(c.line)+" -> "+strings.TrimSpace(c.replacement))
	}
	return strings.Join(lines, "; ")
}

// invalidGuardError reports a list entry that is malformed or does not match the source.
type invalidGuardError struct {
	guard  guard
	reason string
}

func (e *invalidGuardError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.guard.list, e.guard.files(), e.reason)
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
			if !strings.Contains(g.files()+" "+g.command, args.Only) {
				continue
			}
			checked++
			if verdict := check(g, baseline); verdict != "" {
				failed++
				fmt.Printf("NOT PROVED %s: %s: %s\n", g.files(), g.lines(), verdict)
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
		last := len(fields) - 1
		if last < fieldsPerChange || last%fieldsPerChange != 0 {
			return nil, &invalidGuardError{guard{list: list}, "want file, text and replacement, once or more, and a command: " + text}
		}
		g := guard{list: list, command: fields[last]}
		for part := range slices.Chunk(fields[:last], fieldsPerChange) {
			g.changes = append(g.changes, change{part[0], part[1], part[2]})
		}
		guards = append(guards, g)
	}
	return guards, scanner.Err()
}

// fieldsPerChange are the file, the line text and the replacement.
const fieldsPerChange = 3

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
	for _, c := range g.changes {
		if output, err := run("go vet ./"+filepath.Dir(c.file), overlay); err != nil {
			return "does not compile without the guard:\n" + tail(output)
		}
	}
	start := time.Now()
	output, err := run(g.command, overlay)
	if err == nil {
		return "test passes without the guard: " + g.command
	}
	fmt.Printf("proved %s: %s (%.1f s): %s\n", g.files(), g.lines(), time.Since(start).Seconds(), firstFailure(output))
	return ""
}

func writeOverlay(g guard, directory string) (string, error) {
	replace := map[string]string{}
	for i, c := range g.changes {
		path, err := filepath.Abs(c.file)
		if err != nil {
			return "", err
		}
		// A second change to a file applies to the result of the first.
		current := path
		if changed, ok := replace[path]; ok {
			current = changed
		}
		source, err := os.ReadFile(current)
		if err != nil {
			return "", err
		}
		if count := strings.Count(string(source), c.line); count != 1 {
			return "", &invalidGuardError{g, fmt.Sprintf("line text occurs %d times, want once: %s", count, c.line)}
		}
		changed := filepath.Join(directory, fmt.Sprintf("changed-%d.go", i))
		if err := os.WriteFile(changed, []byte(strings.Replace(string(source), c.line, c.replacement, 1)), 0o600); err != nil {
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
