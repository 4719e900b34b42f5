package objectset

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/wasabishunt/wasabishunt/failure"
)

// maxProblems limits the problems reported for one document.
const maxProblems = 200

// Parse parses and checks a YAML or JSON document and returns the set in canonical form. The error lists up to
// maxProblems problems with their paths and lines.
func Parse(document []byte) (*Set, error) {
	if len(document) > MaxDocumentBytes {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "the document has %d bytes, the limit is %d", len(document), MaxDocumentBytes)
	}
	root, err := readDocument(document)
	if err != nil {
		message := err.Error()
		if s, ok := err.(*syntaxError); ok && s.line > 0 {
			message = fmt.Sprintf("line %d: %s", s.line, message)
		}
		return nil, invalidSetError([]failure.Problem{{Path: "$", Message: message}})
	}
	set := &Set{}
	d := &binder{lines: map[string]int{}}
	d.bind(root, reflect.ValueOf(set).Elem(), "")
	set.applyDefaults()
	problems := append(d.problems, check(set, d.lines)...)
	if len(problems) > 0 {
		return nil, invalidSetError(problems)
	}
	set.normalize()
	return set, nil
}

func invalidSetError(problems []failure.Problem) error {
	e := failure.New(failure.InvalidSet, failure.NotRun, "the object set has %d problems", len(problems))
	e.Problems = problems
	if len(problems) > maxProblems {
		e.Problems = problems[:maxProblems]
	}
	return e
}

// binder fills structs from nodes. It collects all problems instead of stopping at the first.
type binder struct {
	problems []failure.Problem
	// lines holds the line of each path, for problems found by later checks.
	lines map[string]int
}

func (d *binder) addProblem(path string, line int, format string, args ...any) {
	if path == "" {
		path = "$"
	}
	d.problems = append(d.problems, problemAt(path, line, format, args...))
}

func problemAt(path string, line int, format string, args ...any) failure.Problem {
	message := fmt.Sprintf(format, args...)
	if line > 0 {
		message = fmt.Sprintf("line %d: %s", line, message)
	}
	return failure.Problem{Path: path, Message: message}
}

func (d *binder) bind(n *node, v reflect.Value, path string) {
	d.lines[path] = n.line
	if n.kind == unsupportedNode {
		d.addProblem(path, n.line, "%s", n.text)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.bindStruct(n, v, path)
	case reflect.Slice:
		d.bindSlice(n, v, path)
	default:
		d.bindScalar(n, v, path)
	}
}

func (d *binder) bindStruct(n *node, v reflect.Value, path string) {
	if n.kind != mapNode {
		d.addProblem(path, n.line, "must be a map of fields")
		return
	}
	seen := map[string]bool{}
	for _, f := range n.fields {
		child := joinPath(path, f.name)
		target := fieldByName(v, f.name)
		switch {
		case seen[f.name]:
			d.addProblem(child, f.line, "field is given twice")
		case !target.IsValid():
			d.addProblem(child, f.line, "unknown field")
		default:
			d.bind(f.value, target, child)
		}
		seen[f.name] = true
	}
}

func (d *binder) bindSlice(n *node, v reflect.Value, path string) {
	if n.kind == nullNode {
		return
	}
	if n.kind != listNode {
		d.addProblem(path, n.line, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		d.bind(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(list)
}

func (d *binder) bindScalar(n *node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		if n.kind != stringNode {
			d.addProblem(path, n.line, "must be a string")
			return
		}
		v.SetString(n.text)
	case reflect.Bool:
		if n.kind != boolNode {
			d.addProblem(path, n.line, "must be true or false")
			return
		}
		v.SetBool(n.text == "true")
	case reflect.Int, reflect.Int64:
		d.bindInt(n, v, path)
	case reflect.Float64:
		d.bindFloat(n, v, path)
	}
}

func (d *binder) bindInt(n *node, v reflect.Value, path string) {
	number, err := strconv.ParseInt(strings.ReplaceAll(n.text, "_", ""), 10, 64)
	if n.kind != numberNode || err != nil {
		d.addProblem(path, n.line, "must be a whole number")
		return
	}
	v.SetInt(number)
}

func (d *binder) bindFloat(n *node, v reflect.Value, path string) {
	number, err := strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
	if n.kind != numberNode || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		d.addProblem(path, n.line, "must be a number")
		return
	}
	v.SetFloat(number)
}

func fieldByName(v reflect.Value, name string) reflect.Value {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
