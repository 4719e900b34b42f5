package service

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/duplexconn/earlyreset"
)

// Guards against an answer without a length that counts as complete although the service reset the connection while the call was written.
func TestCallThatIsResetIsUnknown(t *testing.T) {
	client := New(earlyreset.Serve(t, "HTTP/1.1 200 OK\r\n\r\n{}"), Options{})
	body := make([]byte, earlyreset.BodyBytes)
	for range 200 {
		connection, err := client.Open(context.Background())
		require.NoError(t, err)
		response, err := connection.Call(context.Background(), Request{Method: "POST", Path: "/", Body: body})
		connection.Close()
		require.Error(t, err, "%q was taken for a complete answer", response.Body)
		require.Equal(t, failure.Unknown, failure.Of(err).Execution)
	}
}
