package callers

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against kept connections that a caller holds for ever with the first bytes of a head: net/http begins the time limit of
// a head after four bytes.
func TestFirstBytesOfAHeadHaveATimeLimit(t *testing.T) {
	const limit = 200 * time.Millisecond
	_, listener := startServer(t, Limits{HeaderTimeout: limit, IdleTimeout: limit})
	for _, begin := range []string{"G", "GET", "GET / HTTP/1.1\r\n"} {
		conn, reader := connect(t, listener)
		require.Equal(t, 204, sendRequest(t, conn, reader, ""))
		_, err := io.WriteString(conn, begin)
		require.NoError(t, err)
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, "after %q", begin)
	}
}
