package kvstores

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Guards against evicting parts that are still in use, and more parts than needed.
func TestEvictsThePartsNotUsedForLongest(t *testing.T) {
	now := time.Now()
	var held []heldPart
	for i := range 10 {
		held = append(held, heldPart{Part{"v1", fmt.Sprint("p", i)}, 100, now.Add(-minIdle - time.Duration(i)*time.Second)})
	}
	require.Empty(t, selectEvictions(held, 1100, now), "there is room")
	require.Equal(t, []Part{{"v1", "p9"}}, selectEvictions(held, 1000, now))
	for i := range held {
		held[i].lastUsed = now.Add(-minIdle + time.Second)
	}
	require.Empty(t, selectEvictions(held, 1000, now), "all parts were used lately")
}

// nearlyFull returns a coordinator that has read a full store some time ago, with a recorder of what it publishes.
func nearlyFull(t *testing.T, store *fakeStore) (*Coordinator, *storeState, *recorder) {
	t.Helper()
	set := &trafficset.Set{Services: []trafficset.Service{
		{Name: "e", Engine: &trafficset.EngineSpec{TokenBytes: 1}},
		{Name: "s", Store: &trafficset.StoreSpec{Address: "s", CacheTokens: 1000, LinkMbps: 1000}},
	}}
	r := &recorder{directory: NewDirectory(time.Now)}
	r.directory.Configure(set)
	c := &Coordinator{
		Client: store, Leads: func() bool { return true }, Set: func() *trafficset.Set { return set }, Publisher: r, Log: zap.NewNop(),
		LastUsed: func(Part) time.Time { return time.Time{} }, Withdrawn: r.directory.Withdrawn,
	}
	c.recordClock(50_000)
	s := newStoreState("s", nil)
	s.leadsSince = time.Now().Add(-2 * minIdle)
	listing, err := store.List(context.Background(), "s")
	require.NoError(t, err)
	c.restart(s, listing.Epoch)
	c.replace(s, listing)
	return c, s, r
}

func fullStore() *fakeStore {
	return &fakeStore{epoch: 1, held: map[Part]int{{"v1", "a"}: 500, {"v1", "b"}: 480}}
}

// withdrawOne makes the coordinator withdraw one of the two parts and returns it.
func withdrawOne(t *testing.T, c *Coordinator, s *storeState, r *recorder) Part {
	t.Helper()
	c.LastUsed = func(part Part) time.Time {
		if part.ID == "b" {
			return time.Now()
		}
		return time.Time{}
	}
	c.makeRoom(context.Background(), s)
	require.False(t, r.located("a"))
	require.True(t, r.located("b"))
	return Part{"v1", "a"}
}

// delayPassed lets the time pass in which a fetch of a withdrawn part may be in progress.
func delayPassed(s *storeState) {
	s.checked = time.Time{}
	for _, w := range s.withdrawn {
		w.at = w.at.Add(-withdrawDelay)
	}
}

// Guards against a store that saves nothing more for good once it is full, and against freeing a part that an engine
// still fetches, or one that a new leader has in use because the call was delayed.
func TestFullStoreGetsRoom(t *testing.T) {
	store := fullStore()
	c, s, r := nearlyFull(t, store)
	part := withdrawOne(t, c, s, r)
	s.checked = time.Time{}
	c.makeRoom(context.Background(), s)
	require.Empty(t, store.freed, "a fetch may still be in progress")
	delayPassed(s)
	c.Leads = func() bool { return false }
	c.makeRoom(context.Background(), s)
	require.Empty(t, store.freed, "another node may lead")
	s.checked = time.Time{}
	c.Leads = func() bool { return true }
	c.makeRoom(context.Background(), s)
	require.Equal(t, []Part{part}, store.freed)
	require.InDelta(t, 50_000+freeValidity.Milliseconds(), store.freedUntil, 200)
}

// Guards against fetches of a part that was freed or is being written anew: reports on its former copy arrive late, and
// listings show it until it is freed.
func TestLateReportsOnWithdrawnParts(t *testing.T) {
	store := fullStore()
	c, s, r := nearlyFull(t, store)
	part := withdrawOne(t, c, s, r)
	listing, err := store.List(context.Background(), "s")
	require.NoError(t, err)
	c.replace(s, listing)
	require.False(t, r.located("a"), "the store still has it")
	delayPassed(s)
	c.makeRoom(context.Background(), s)
	c.apply(s, []Event{{Part: part, Tokens: 500}})
	require.False(t, r.located("a"), "a late event on the former copy")
	c.apply(s, []Event{{Part: part, Removed: true}})
	c.apply(s, []Event{{Part: part, Tokens: 500}})
	require.True(t, r.located("a"), "a new copy")
}

// Guards against freeing a part whose withdrawal the other nodes have forgotten, because the store could not be reached
// for long: a new leader would let nodes fetch it.
func TestOldWithdrawalIsRenewed(t *testing.T) {
	store := fullStore()
	c, s, r := nearlyFull(t, store)
	part := withdrawOne(t, c, s, r)
	delayPassed(s)
	s.withdrawn[part].at = s.withdrawn[part].at.Add(-withdrawnFor)
	c.makeRoom(context.Background(), s)
	require.Empty(t, store.freed)
	delayPassed(s)
	c.makeRoom(context.Background(), s)
	require.Equal(t, []Part{part}, store.freed)
}

// Guards against freeing a part that callers have begun to ask for again.
func TestWithdrawnPartIsUsedAgain(t *testing.T) {
	store := fullStore()
	c, s, r := nearlyFull(t, store)
	withdrawOne(t, c, s, r)
	delayPassed(s)
	c.LastUsed = func(Part) time.Time { return time.Now() }
	c.makeRoom(context.Background(), s)
	require.True(t, r.located("a"))
	require.Empty(t, store.freed)
}

// Guards against a new leader that lets nodes fetch parts which the former one is about to free.
func TestNewLeaderKnowsWithdrawals(t *testing.T) {
	store := fullStore()
	c, s, r := nearlyFull(t, store)
	withdrawOne(t, c, s, r)
	next := newStoreState("s", c.Withdrawn("s"))
	listing, err := store.List(context.Background(), "s")
	require.NoError(t, err)
	c.restart(next, listing.Epoch)
	c.replace(next, listing)
	require.False(t, r.located("a"))
	require.True(t, r.located("b"))
}

// Guards against fetches of a part that a store freed although its answer was lost: the part may be gone, or being written
// anew.
func TestPartThatMayBeFreedIsNotUsedAgain(t *testing.T) {
	store := fullStore()
	c, s, r := nearlyFull(t, store)
	withdrawOne(t, c, s, r)
	delayPassed(s)
	store.set(func(f *fakeStore) { f.epoch++ })
	c.makeRoom(context.Background(), s)
	s.checked = time.Time{}
	c.LastUsed = func(Part) time.Time { return time.Now() }
	c.makeRoom(context.Background(), s)
	require.False(t, r.located("a"))
}
