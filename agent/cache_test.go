package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/internal/clocktest"
	"github.com/wasabishunt/wasabishunt/piece"
)

// TestLateEvents guards against a late event that hides a newer copy of a piece or restores an evicted one, and against
// events that are never applied.
func TestLateEvents(t *testing.T) {
	clock := clocktest.NewManual(time.Unix(1000, 0))
	c := newCacheContents(clock, 10, 2*time.Second)
	names := []piece.Name{{1}, {2}}
	c.RecordStored(names[0])
	assert.False(t, c.applyEvent(names[0].String(), false))
	assert.Equal(t, 1, c.PrefixPieces(names))
	assert.True(t, c.applyEvent(names[1].String(), true))
	assert.Equal(t, 2, c.PrefixPieces(names))
	c.RecordEvicted(names[1].String())
	assert.False(t, c.applyEvent(names[1].String(), true))
	assert.Equal(t, 1, c.PrefixPieces(names))
	clock.Advance(2 * time.Second)
	assert.True(t, c.applyEvent(names[0].String(), false))
	assert.Zero(t, c.PrefixPieces(names))
	c.pruneObserved()
	assert.Empty(t, c.observedAt)
}
