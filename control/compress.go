package control

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
)

// compress returns a document in gzip format. Writing to memory cannot fail.
func compress(document []byte) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write(document)
	_ = writer.Close()
	return buffer.Bytes()
}

// decompress reads at most twice the largest size of a set document.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "decompress object set")
	}
	document, err := io.ReadAll(io.LimitReader(reader, 2*objectset.MaxDocumentBytes))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "decompress object set")
	}
	return document, nil
}
