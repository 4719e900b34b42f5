package objectset

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxDocumentBytes limits the size of a document. A set of the target size has about 4 MB.
const MaxDocumentBytes = 32 << 20

// maxDepth limits nesting; a valid set needs four levels.
const maxDepth = 16

type nodeKind int

const (
	nullNode nodeKind = iota
	mapNode
	listNode
	stringNode
	numberNode
	boolNode
	unsupportedNode
)

// node is a parsed value with the line on which it starts.
type node struct {
	kind   nodeKind
	line   int
	text   string
	fields []field
	items  []*node
}

type field struct {
	name  string
	line  int
	value *node
}

// syntaxError reports a document that is neither valid YAML nor valid JSON. line is 0 if it is not known.
type syntaxError struct {
	line    int
	message string
}

func (e *syntaxError) Error() string { return e.message }

// readDocument parses a document as JSON if it starts with a brace, and as YAML otherwise.
func readDocument(document []byte) (*node, error) {
	trimmed := bytes.TrimLeft(document, " \t\r\n")
	if len(trimmed) > 0 && trimmed[0] == '{' {
		return readJSON(document)
	}
	return readYAML(document)
}

// readYAML never panics: the YAML parser panics on some malformed documents.
func readYAML(document []byte) (root *node, err error) {
	defer func() {
		if r := recover(); r != nil {
			root, err = nil, &syntaxError{message: fmt.Sprintf("the document cannot be parsed: %v", r)}
		}
	}()
	tokens := lexer.Tokenize(string(document))
	if err := checkNesting(tokens); err != nil {
		return nil, err
	}
	// Duplicate keys are allowed here, so that the binder can report them together with all other problems.
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, yamlSyntaxError(err)
	}
	if len(file.Docs) > 1 {
		return nil, &syntaxError{message: "more than one YAML document"}
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return &node{kind: nullNode, line: 1}, nil
	}
	return fromYAML(file.Docs[0].Body, 0), nil
}

// yamlSyntaxError returns the message and line of a parser error, without its excerpt of the document.
func yamlSyntaxError(err error) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return &syntaxError{message: err.Error()}
	}
	return &syntaxError{line: located.GetToken().Position.Line, message: located.GetMessage()}
}

func yamlLine(n ast.Node) int {
	if token := n.GetToken(); token != nil && token.Position != nil {
		return token.Position.Line
	}
	return 0
}

func fromYAML(n ast.Node, depth int) *node {
	if n == nil {
		return &node{kind: nullNode}
	}
	line := yamlLine(n)
	if depth > maxDepth {
		return &node{kind: unsupportedNode, line: line, text: "nested too deeply"}
	}
	switch v := n.(type) {
	case *ast.MappingNode:
		return yamlMap(v.Values, line, depth)
	case *ast.MappingValueNode:
		return yamlMap([]*ast.MappingValueNode{v}, line, depth)
	case *ast.SequenceNode:
		list := &node{kind: listNode, line: line}
		for _, item := range v.Values {
			list.items = append(list.items, fromYAML(item, depth+1))
		}
		return list
	case *ast.StringNode:
		return &node{kind: stringNode, line: line, text: v.Value}
	case *ast.LiteralNode:
		return &node{kind: stringNode, line: line, text: v.Value.Value}
	case *ast.IntegerNode, *ast.FloatNode:
		return &node{kind: numberNode, line: line, text: n.GetToken().Value}
	case *ast.BoolNode:
		return &node{kind: boolNode, line: line, text: boolText(v.Value)}
	case *ast.NullNode:
		return &node{kind: nullNode, line: line}
	}
	return &node{kind: unsupportedNode, line: line, text: n.Type().String() + " is not supported"}
}

func yamlMap(values []*ast.MappingValueNode, line, depth int) *node {
	m := &node{kind: mapNode, line: line}
	for _, value := range values {
		name := ""
		if key, ok := value.Key.(ast.Node); ok && key.GetToken() != nil {
			name = key.GetToken().Value
		}
		m.fields = append(m.fields, field{name: name, line: yamlLine(value.Key), value: fromYAML(value.Value, depth+1)})
	}
	return m
}

func boolText(v bool) string {
	if v {
		return "true"
	}
	return "false"
}

// jsonReader converts JSON tokens to nodes with line numbers. line is the line of countedOffset.
type jsonReader struct {
	decoder       *json.Decoder
	document      []byte
	line          int
	countedOffset int64
}

func readJSON(document []byte) (*node, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	r := &jsonReader{decoder: decoder, document: document, line: 1}
	root, err := r.value(0)
	if err != nil {
		return nil, &syntaxError{line: r.currentLine(), message: err.Error()}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, &syntaxError{line: r.currentLine(), message: "data after the end of the document"}
	}
	return root, nil
}

func (r *jsonReader) currentLine() int {
	offset := min(r.decoder.InputOffset(), int64(len(r.document)))
	r.line += bytes.Count(r.document[r.countedOffset:offset], []byte{'\n'})
	r.countedOffset = offset
	return r.line
}

func (r *jsonReader) value(depth int) (*node, error) {
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, &syntaxError{message: "nested too deeply"}
	}
	line := r.currentLine()
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return r.object(line, depth)
		}
		return r.list(line, depth)
	case string:
		return &node{kind: stringNode, line: line, text: v}, nil
	case json.Number:
		return &node{kind: numberNode, line: line, text: v.String()}, nil
	case bool:
		return &node{kind: boolNode, line: line, text: boolText(v)}, nil
	}
	return &node{kind: nullNode, line: line}, nil
}

func (r *jsonReader) object(line, depth int) (*node, error) {
	m := &node{kind: mapNode, line: line}
	for r.decoder.More() {
		key, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := key.(string)
		keyLine := r.currentLine()
		value, err := r.value(depth + 1)
		if err != nil {
			return nil, err
		}
		m.fields = append(m.fields, field{name: name, line: keyLine, value: value})
	}
	_, err := r.decoder.Token()
	return m, err
}

func (r *jsonReader) list(line, depth int) (*node, error) {
	l := &node{kind: listNode, line: line}
	for r.decoder.More() {
		item, err := r.value(depth + 1)
		if err != nil {
			return nil, err
		}
		l.items = append(l.items, item)
	}
	_, err := r.decoder.Token()
	return l, err
}
