package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// fileName returns a name of a mechanism that is valid as the name of a directory.
func fileName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(name))
}

// makeCopy writes the committed source, with the changes of a mechanism, to a new directory.
func makeCopy(directory string, m mechanism) error {
	if err := os.RemoveAll(directory); err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	if err := shell("git archive HEAD | tar -x -C " + quote(directory)); err != nil {
		return err
	}
	changed, err := m.entry.Apply(directory)
	if err != nil {
		return err
	}
	for file, content := range changed {
		if err := os.WriteFile(filepath.Join(directory, file), []byte(content), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// quote returns a word that a shell reads unchanged.
func quote(word string) string { return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'" }

func shell(command string) error {
	output, err := exec.Command("bash", "-o", "pipefail", "-c", command).CombinedOutput()
	if err != nil {
		return &commandError{command, err, string(output)}
	}
	return nil
}

// commandError reports a command that failed.
type commandError struct {
	command string
	cause   error
	output  string
}

func (e *commandError) Error() string {
	return fmt.Sprintf("%s: %v: %s", e.command, e.cause, e.output)
}

func (e *commandError) Unwrap() error { return e.cause }

// collectNew copies the files of a directory of a copy that the own source lacks.
func collectNew(from, to string) error {
	entries, err := os.ReadDir(from)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	for _, entry := range entries {
		target := filepath.Join(to, entry.Name())
		if _, err := os.Stat(target); err == nil || entry.IsDir() {
			continue
		}
		content, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(target, content, 0o644); err != nil {
			return err
		}
	}
	return nil
}
