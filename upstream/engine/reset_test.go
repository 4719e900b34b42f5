package engine

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/duplexconn/earlyreset"
)

// Guards against a KV piece that counts as imported although the engine answered before it had read the piece and then reset the connection.
func TestImportThatIsResetFails(t *testing.T) {
	client := NewHTTP(earlyreset.Serve(t, "HTTP/1.1 200 OK\r\n\r\n{}"), HTTPOptions{})
	defer client.Close()
	body := make([]byte, earlyreset.BodyBytes)
	for range 50 {
		err := client.ImportKV(context.Background(), PieceRef{}, bytes.NewReader(body), int64(len(body)))
		require.Error(t, err)
		require.Equal(t, failure.Unknown, failure.Of(err).Execution)
	}
}
