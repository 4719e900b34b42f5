package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/sourcepatch"
)

const root = "../.."

// excludedDirs are directories whose code is part of no program that operators run.
var excludedDirs = []string{"internal", "bench", "rpc", "tools", "scenarios", ".git", "bin", "docs", "cmd/wasabishunt-standin"}

// visitCalls visits each call with arguments in the source of the programs.
func visitCalls(t *testing.T, visit func(dir string, name string, receiver string, call *ast.CallExpr)) {
	t.Helper()
	visitNodes(t, func(dir string, n ast.Node) {
		if call, ok := n.(*ast.CallExpr); ok && len(call.Args) > 0 {
			name, receiver := calledName(call.Fun)
			visit(dir, name, receiver, call)
		}
	})
}

// visitNodes visits each node in the source of the programs.
func visitNodes(t *testing.T, visit func(dir string, n ast.Node)) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		require.NoError(t, err)
		relative, err := filepath.Rel(root, path)
		require.NoError(t, err)
		if entry.IsDir() && slices.Contains(excludedDirs, relative) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			visit(filepath.Dir(relative), n)
			return true
		})
		return nil
	}))
}

func calledName(e ast.Expr) (name, receiver string) {
	switch f := e.(type) {
	case *ast.Ident:
		return f.Name, ""
	case *ast.SelectorExpr:
		_, receiver = f.X, ""
		switch x := f.X.(type) {
		case *ast.Ident:
			receiver = x.Name
		case *ast.SelectorExpr:
			receiver = x.Sel.Name
		}
		return f.Sel.Name, receiver
	}
	return "", ""
}

// literal returns the value of a string literal; in a concatenation, KIND replaces the operand after the literal.
func literal(e ast.Expr) (string, bool) {
	switch x := e.(type) {
	case *ast.BasicLit:
		value, err := strconv.Unquote(x.Value)
		return value, err == nil && x.Kind == token.STRING
	case *ast.BinaryExpr:
		value, ok := literal(x.X)
		return value + "KIND", ok
	}
	return "", false
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, "docs", name))
	require.NoError(t, err)
	return string(content)
}

var registerFunctions = regexp.MustCompile(`^(count|counter|gauge|GetOrRegister\w+|NewRegistered\w+|Register)$`)

// metricNames returns the metric names in the form in which /metrics shows them.
func metricNames(t *testing.T) []string {
	var names []string
	visitCalls(t, func(dir, name, _ string, call *ast.CallExpr) {
		metric, ok := literal(call.Args[0])
		if !ok || !registerFunctions.MatchString(name) || strings.HasPrefix(metric, "store.KIND") {
			return
		}
		if dir == "store" {
			metric = "store." + metric
		}
		names = append(names, "wasabishunt_"+strings.ReplaceAll(metric, ".", "_"))
	})
	slices.Sort(names)
	return slices.Compact(names)
}

// Guards against metrics on /metrics that the page does not describe, and against rows for metrics that no longer exist.
func TestEachMetricIsDescribed(t *testing.T) {
	names := metricNames(t)
	require.Greater(t, len(names), 20)
	content := readPage(t, "metrics.md")
	for _, name := range names {
		assert.Contains(t, content, "| `"+name+"` |", "docs/metrics.md lacks a metric")
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-zA-Z_]+)` \\|").FindAllStringSubmatch(content, -1) {
		assert.Contains(t, names, row[1], "docs/metrics.md describes a metric that does not exist")
	}
}

// logEvents returns the keys of each log event by its text.
func logEvents(t *testing.T) map[string][]string {
	events := map[string][]string{}
	visitCalls(t, func(_, name, receiver string, call *ast.CallExpr) {
		isLog := strings.EqualFold(receiver, "log") && slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, name)
		event, ok := literal(call.Args[0])
		if !ok || !isLog && name != "logRefusal" {
			return
		}
		events[event] = append(events[event], logKeys(call)...)
		if name == "logRefusal" {
			events[event] = append(events[event], "kind", "message")
		}
	})
	return events
}

func logKeys(call *ast.CallExpr) []string {
	var list []string
	for _, argument := range call.Args[1:] {
		field, ok := argument.(*ast.CallExpr)
		if !ok || len(field.Args) == 0 {
			continue
		}
		if name, receiver := calledName(field.Fun); receiver == "zap" && name == "Error" {
			list = append(list, "error")
		} else if key, ok := literal(field.Args[0]); ok && receiver == "zap" {
			list = append(list, key)
		}
	}
	return list
}

var (
	eventPattern = regexp.MustCompile(`^(VM )?[a-z]+( [a-z]+){0,7}$`)
	keyPattern   = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
)

// Guards against log events that the page does not describe, and against texts and keys in another form than log searches expect.
func TestEachLogEventIsDescribed(t *testing.T) {
	events := logEvents(t)
	require.Greater(t, len(events), 25)
	content := readPage(t, "events.md")
	for event, keys := range events {
		assert.Regexp(t, eventPattern, event)
		row := regexp.MustCompile("(?m)^\\| `" + regexp.QuoteMeta(event) + "` \\|.*$").FindString(content)
		assert.NotEmpty(t, row, "docs/events.md lacks the event %q", event)
		for _, key := range keys {
			assert.Regexp(t, keyPattern, key, event)
			assert.Contains(t, row, "`"+key+"`", "docs/events.md lacks a key of %q", event)
		}
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-zA-Z ]+)` \\|").FindAllStringSubmatch(content, -1) {
		assert.Contains(t, events, row[1], "docs/events.md describes an event that does not exist")
	}
}

// Guards against lists of guards and mechanisms that name lines which the source no longer has: the tools that read
// them would then check nothing.
func TestListsMatchTheSource(t *testing.T) {
	lists, err := filepath.Glob(root + "/docs/guards/*.txt")
	require.NoError(t, err)
	mechanisms, err := filepath.Glob(root + "/docs/ablation/*.txt")
	require.NoError(t, err)
	for _, list := range append(lists, mechanisms...) {
		entries, err := sourcepatch.ReadList(list)
		require.NoError(t, err)
		require.NotEmpty(t, entries, list)
		for _, e := range entries {
			_, err := e.Apply(root)
			assert.NoError(t, err)
		}
	}
}
