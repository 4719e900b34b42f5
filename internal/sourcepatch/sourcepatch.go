// Package sourcepatch reads lists of changes to the source and applies them to copies of the files.
//
// A list has one entry per line, with fields separated by tabs: file, exact text of a line, replacement text, and a last
// field whose meaning the caller defines. An entry with several changes repeats the first three fields. Empty lines and
// lines that begin with # are skipped.
package sourcepatch

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Change replaces text that occurs exactly once in a file.
type Change struct {
	File        string
	Line        string
	Replacement string
}

// Entry is one line of a list.
type Entry struct {
	List    string
	Changes []Change
	// Label is the last field of the line.
	Label string
}

// fieldsPerChange are the file, the line text and the replacement.
const fieldsPerChange = 3

// InvalidEntryError reports an entry that is malformed or does not match the source.
type InvalidEntryError struct {
	Entry  Entry
	Reason string
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Entry.List, e.Entry.Files(), e.Reason)
}

// Files returns the names of the changed files.
func (e Entry) Files() string {
	var names []string
	for _, c := range e.Changes {
		names = append(names, c.File)
	}
	return strings.Join(names, " ")
}

// Lines returns the replaced lines with their replacements.
func (e Entry) Lines() string {
	var lines []string
	for _, c := range e.Changes {
		lines = append(lines, strings.TrimSpace(c.Line)+" -> "+strings.TrimSpace(c.Replacement))
	}
	return strings.Join(lines, "; ")
}

// ReadList returns the entries of a list.
func ReadList(path string) ([]Entry, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var entries []Entry
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Split(text, "\t")
		last := len(fields) - 1
		if last < fieldsPerChange || last%fieldsPerChange != 0 {
			return nil, &InvalidEntryError{Entry{List: path}, "want file, text and replacement, once or more, and a last field: " + text}
		}
		e := Entry{List: path, Label: fields[last]}
		for part := range slices.Chunk(fields[:last], fieldsPerChange) {
			e.Changes = append(e.Changes, Change{part[0], part[1], part[2]})
		}
		entries = append(entries, e)
	}
	return entries, scanner.Err()
}

// Apply returns the changed content of the files below root, by name.
func (e Entry) Apply(root string) (map[string]string, error) {
	changed := map[string]string{}
	for _, c := range e.Changes {
		// A second change to a file applies to the result of the first.
		source, ok := changed[c.File]
		if !ok {
			content, err := os.ReadFile(filepath.Join(root, c.File))
			if err != nil {
				return nil, err
			}
			source = string(content)
		}
		if count := strings.Count(source, c.Line); count != 1 {
			return nil, &InvalidEntryError{e, fmt.Sprintf("line text occurs %d times, want once: %s", count, c.Line)}
		}
		changed[c.File] = strings.Replace(source, c.Line, c.Replacement, 1)
	}
	return changed, nil
}
