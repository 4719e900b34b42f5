package configcheck

import "bytes"

// maxNesting limits the nesting of documents that are given to the YAML parser. A valid object set needs four levels. The parser's memory
// grows with the square of the nesting: it uses 6 GB for 100,000 opening brackets, and a program cannot recover from that.
const maxNesting = 256

// nestedTooDeeply estimates the nesting of a YAML document by its unclosed brackets and by the indicators at the start of its lines.
// Quoted brackets count too, which valid names and addresses do not reach the limit with.
func nestedTooDeeply(document []byte) bool {
	if bytes.HasPrefix(bytes.TrimLeft(document, " \t\r\n"), []byte{'{'}) {
		// It is parsed as JSON, with a limit of its own.
		return false
	}
	brackets, indicators, atStart := 0, 0, true
	for _, c := range document {
		switch c {
		case '\n', '\r':
			indicators, atStart = 0, true
			continue
		case '[', '{':
			brackets++
		case ']', '}':
			brackets = max(0, brackets-1)
		}
		switch {
		case atStart && bytes.IndexByte([]byte(" \t-?:"), c) >= 0:
			indicators++
		default:
			atStart = false
		}
		if brackets > maxNesting || indicators > 2*maxNesting {
			return true
		}
	}
	return false
}
