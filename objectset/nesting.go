package objectset

import "github.com/goccy/go-yaml/token"

// maxNesting limits the nesting of documents that are given to the YAML parser. A valid object set needs four levels. The parser's memory
// grows with the square of the nesting: it uses 6 GB for 100,000 opening brackets, and a program cannot recover from that.
const maxNesting = 256

// nesting estimates the nesting of a YAML document from its tokens.
type nesting struct {
	// brackets are the open ones. entries are the indicators of the line that may nest in one another.
	brackets, entries, line int
	// Tags and anchors nest in one another over any number of lines, and documents in the parser. An object set has none of them.
	properties, documents int
}

// checkNesting returns an error for a document that is nested too deeply for the YAML parser.
func checkNesting(tokens token.Tokens) error {
	var n nesting
	for _, t := range tokens {
		n.add(t)
		switch {
		case max(n.brackets, n.entries, n.properties) > maxNesting:
			return &syntaxError{line: t.Position.Line, message: "nested too deeply"}
		case n.documents > maxNesting:
			return &syntaxError{line: t.Position.Line, message: "more than one YAML document"}
		}
	}
	return nil
}

func (n *nesting) add(t *token.Token) {
	if t.Position.Line != n.line {
		// Blocks nest by their indentation, by at least one column each.
		n.line, n.entries = t.Position.Line, (t.Position.Column-1)/2
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.brackets++
	case token.SequenceEndType, token.MappingEndType:
		n.brackets = max(0, n.brackets-1)
	case token.SequenceEntryType, token.MappingKeyType:
		n.entries++
	case token.TagType, token.AnchorType:
		n.properties++
	case token.DocumentHeaderType, token.DocumentEndType:
		n.documents++
	}
}
