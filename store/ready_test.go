package store

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Guards against a store that is ready while writes to its disk fail, or not ready after a write has succeeded again.
func TestReadyTellsWhetherTheDiskTakesWrites(t *testing.T) {
	fs := newMemFS()
	s := open(t, fs, Settings{})
	require.NoError(t, s.Ready())
	fs.set(func() { fs.space = 0 })
	h, body := sample(1, 0, 100)
	_, _ = s.Put(h, body, 0)
	assert.True(t, failure.Is(s.Ready(), failure.StorageFailed))
	fs.set(func() { fs.space = -1 })
	put(t, s, 2, 100)
	require.NoError(t, s.Ready())
	s.SetDraining()
	assert.True(t, failure.Is(s.Ready(), failure.Draining))
}
