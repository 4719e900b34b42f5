// Command settingsdoc writes docs/settings.md and the field tables of docs/object-set.md from the source.
//
//	go run ./internal/settingsdoc
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// page is one generated page.
type page struct {
	path  string
	write func(root string) ([]byte, error)
}

var pages = []page{{"docs/settings.md", settingsPage}, {"docs/object-set.md", objectSetPage}}

func main() {
	if err := writePages("."); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func writePages(root string) error {
	for _, p := range pages {
		content, err := p.write(root)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(root, p.path), content, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// table writes one Markdown table.
func table(b *bytes.Buffer, heading []string, rows [][]string) {
	line := func(cells []string) {
		for _, cell := range cells {
			fmt.Fprintf(b, "| %s ", cell)
		}
		b.WriteString("|\n")
	}
	line(heading)
	for range heading {
		b.WriteString("| --- ")
	}
	b.WriteString("|\n")
	for _, row := range rows {
		line(row)
	}
	b.WriteString("\n")
}
