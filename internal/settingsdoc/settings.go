package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/wasabishunt/wasabishunt/settings"
)

const settingsIntro = `# Settings

<!-- Written by "make settingsdoc" from the flag structs; do not edit. -->

Each setting is a flag and an environment variable; the flag wins. A setting without a default must be set, unless
its text says what happens when it is missing. A program with faulty settings prints all faults at once and exits
with code 2. Durations are written like ` + "`4s`, `250ms` or `10m`" + `; bytes and counts are plain numbers. Lists are written as
` + "`--control 127.0.0.1:7100 127.0.0.2:7100`" + ` for the programs (a repeated ` + "`--bootstrap`" + ` and, for the command line,
` + "`--control`" + `), and with commas in environment variables.

`

// program is one program whose settings are documented.
type program struct {
	name, file, about string
}

var programs = []program{
	{"wasabishunt-control", "cmd/wasabishunt-control/settings.go", "One control member: the replicated log of object sets, membership, bookings and the audit trail."},
	{"wasabishunt-entry", "cmd/wasabishunt-entry/settings.go", "Answers callers."},
	{"wasabishunt-agent", "cmd/wasabishunt-agent/settings.go", "Runs beside one engine (`--upstream`, `--engine`) or one plain service (`--service`, `--service-address`)."},
	{"wasabishunt-store", "cmd/wasabishunt-store/settings.go", "Keeps pieces of KV cache in memory and on disk."},
	{"wasabishunt", "cli/arguments.go", "The operators' command line. Commands and their flags: `wasabishunt --help`, `wasabishunt publish --help`."},
}

const (
	// argumentsStruct is the name of each program's struct of settings.
	argumentsStruct = "arguments"
	// sharedFile declares the structs that several programs embed.
	sharedFile = "settings/process.go"
)

func settingsPage(root string) ([]byte, error) {
	b := bytes.NewBufferString(settingsIntro)
	for _, p := range programs {
		list, err := readSettings(root, p.file, argumentsStruct)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(b, "## %s\n\n%s\n\n", p.name, p.about)
		rows := make([][]string, 0, len(list))
		for _, s := range list {
			rows = append(rows, []string{code(s.flag), code(s.variable(p.name)), s.kind, code(s.value), s.help})
		}
		table(b, []string{"flag", "environment", "kind", "default", "meaning"}, rows)
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// setting is one documented setting.
type setting struct{ flag, env, kind, value, help string }

// variable returns the name of the environment variable, or "" if there is only a flag.
func (s setting) variable(program string) string {
	if s.env == "" {
		return ""
	}
	return settings.EnvPrefix(program) + s.env
}

// kindSuffix is the kind of value in parentheses at the end of each help text.
var kindSuffix = regexp.MustCompile(`^(.*) \(([^()]+)\)$`)

// MissingKindError reports a setting whose help does not end with the kind of its value.
type MissingKindError struct{ File, Field string }

func (e *MissingKindError) Error() string {
	return e.File + ": the help of " + e.Field + " does not end with the kind of its value in parentheses"
}

// readSettings lists the settings of a struct and of those that it embeds.
func readSettings(root, file, name string) ([]setting, error) {
	fields, err := structFields(filepath.Join(root, file), name)
	if err != nil {
		return nil, err
	}
	var list []setting
	for _, field := range fields {
		if embedded := embeddedName(field); embedded != "" {
			shared, err := readSettings(root, sharedFile, embedded)
			if err != nil {
				return nil, err
			}
			list = append(list, shared...)
			continue
		}
		s, ok := settingOf(field)
		if !ok {
			continue
		}
		parts := kindSuffix.FindStringSubmatch(s.help)
		if parts == nil {
			return nil, &MissingKindError{file, s.flag + s.env}
		}
		s.help, s.kind = parts[1], parts[2]
		list = append(list, s)
	}
	return list, nil
}

// embeddedName returns the type name of an embedded field, or "" for another field.
func embeddedName(field *ast.Field) string {
	if len(field.Names) > 0 {
		return ""
	}
	switch t := field.Type.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.SelectorExpr:
		return t.Sel.Name
	}
	return ""
}

// settingOf reads the tag of a field; it returns false for a subcommand and a field without flag and variable.
func settingOf(field *ast.Field) (setting, bool) {
	if field.Tag == nil {
		return setting{}, false
	}
	raw, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return setting{}, false
	}
	tag := reflect.StructTag(raw)
	s := setting{value: tag.Get("default"), help: tag.Get("help")}
	for part := range strings.SplitSeq(tag.Get("arg"), ",") {
		switch {
		case strings.HasPrefix(part, "subcommand:"):
			return setting{}, false
		case strings.HasPrefix(part, "--") && part != "--":
			s.flag = part
		case strings.HasPrefix(part, "env:"):
			s.env = strings.TrimPrefix(part, "env:")
		}
	}
	return s, s.flag != "" || s.env != ""
}

// structFields returns the fields of one struct type of a file.
func structFields(file, name string) ([]*ast.Field, error) {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	var fields []*ast.Field
	ast.Inspect(parsed, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok && spec.Name.Name == name {
			if structure, ok := spec.Type.(*ast.StructType); ok {
				fields = structure.Fields.List
			}
		}
		return true
	})
	return fields, nil
}
