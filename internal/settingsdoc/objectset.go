package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
)

const objectSetIntro = `# Object set

<!-- The tables are written by "make settingsdoc" from package objectset; do not edit. -->

An object set is one YAML or JSON document with all named objects of a deployment. It is checked and published as a
whole: ` + "`wasabishunt validate set.yaml`" + ` checks it without control, ` + "`wasabishunt publish set.yaml`" + ` puts it in force. An unknown
field, a duplicate or missing name, a broken reference or an impossible limit refuses the whole set; all faults are
listed at once, each with its path and line. Names are unique within their list and at most 200 bytes long.
Examples: [examples/qasr.yaml](../examples/qasr.yaml) and [examples/saurashtra.yaml](../examples/saurashtra.yaml).

`

// objectsFile declares the objects.
const objectsFile = "objectset/objects.go"

// MissingCommentError reports an object field without a description.
type MissingCommentError struct{ Object, Field string }

func (e *MissingCommentError) Error() string {
	return objectsFile + ": " + e.Object + "." + e.Field + " has no comment"
}

func objectSetPage(root string) ([]byte, error) {
	file := filepath.Join(root, objectsFile)
	lists, err := structFields(file, "Set")
	if err != nil {
		return nil, err
	}
	b := bytes.NewBufferString(objectSetIntro)
	for _, list := range lists {
		object := typeName(list.Type.(*ast.ArrayType).Elt)
		fields, err := structFields(file, object)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(b, "## %s\n\n", jsonName(list))
		rows := [][]string{}
		for _, f := range fields {
			text := describe(f)
			if text == "" {
				return nil, &MissingCommentError{object, f.Names[0].Name}
			}
			rows = append(rows, []string{code(jsonName(f)), typeName(f.Type), text})
		}
		table(b, []string{"field", "type", "meaning, unit, default, limits and references"}, rows)
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}

// describe returns the comment of a field without the field's name at its start.
func describe(f *ast.Field) string {
	text := strings.Join(strings.Fields(f.Doc.Text()), " ")
	text = strings.TrimPrefix(text, f.Names[0].Name+" ")
	return strings.TrimSuffix(strings.TrimPrefix(text, "is "), ".")
}

func jsonName(f *ast.Field) string {
	raw, _ := strconv.Unquote(f.Tag.Value)
	return reflect.StructTag(raw).Get("json")
}

// typeName returns the type in the terms of YAML.
func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.ArrayType:
		return "list of " + typeName(t.Elt)
	case *ast.Ident:
		switch t.Name {
		case "int", "int64":
			return "whole number"
		case "float64":
			return "number"
		case "bool":
			return "true or false"
		}
		return t.Name
	}
	return ""
}
