package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/wasabishunt/wasabishunt/internal/standin/vmlist"
)

// Guards against failing to read the platform's list, and against accepting an invalid one.
func TestRead(t *testing.T) {
	server := httptest.NewServer(standin.New(0, time.Now))
	defer server.Close()
	response, err := http.Post(server.URL+"/standin/vms", "application/json", strings.NewReader(`{"vm":"vm1","address":"127.0.1.1","state":"leaving"}`))
	require.NoError(t, err)
	_ = response.Body.Close()
	reader := NewReader(server.URL+"/vms", 0)
	defer reader.Close()
	list, err := reader.Read(context.Background())
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.Equal(t, Leaving, list[0].State)
	for _, broken := range []string{"[", `{"vms":[{"vm":"","state":"live"}]}`, `{"vms":[{"vm":"a","state":"gone"}]}`} {
		_, err := decode(strings.NewReader(broken))
		require.Error(t, err, broken)
	}
	missing := NewReader(server.URL+"/nothing", 0)
	defer missing.Close()
	_, err = missing.Read(context.Background())
	require.Error(t, err)
}
