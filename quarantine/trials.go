package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/upstreamlimit"
)

const (
	// trialInterval is the time from one trial of a doubtful part to the next. It covers a prompt's wait for the answer, and its news.
	trialInterval = maxNewsDelay
	// askTimeout limits the time for which a prompt waits for the word of one owner: a round trip between regions, and a lost packet.
	askTimeout = 400 * time.Millisecond
	// noOwnerWait is the retry advice if no owner answers: the list of nodes changes within seconds.
	noOwnerWait = time.Second
	// maxTrials limits the keys that an owner keeps.
	maxTrials = 1024
)

// TrialsOptions are the options of Trials.
type TrialsOptions struct {
	// Self is the address at which other nodes ask this one.
	Self string
	// Ask asks another node for a trial. It returns 0 if that is granted, and otherwise the time after which to ask again.
	Ask func(ctx context.Context, address string, key uint64) (wait time.Duration, err error)
	Log *zap.Logger
}

// Trials lets one prompt at a time be sent for each doubtful part, of those at all nodes. A prompt without the part that may be the cause instead is answered
// at once if its own part is sound, and costs an instance if not. One node, the owner of the part, grants the trials; a second one does if the first does not
// answer. Its mu is a leaf lock.
type Trials struct {
	options TrialsOptions

	mu    sync.Mutex
	nodes []string
	// next is when the next trial of a key that this node owns may begin.
	next map[uint64]time.Time
}

// NewTrials returns Trials of a node that knows no other ones.
func NewTrials(options TrialsOptions) *Trials {
	return &Trials{options: options, nodes: []string{options.Self}, next: map[uint64]time.Time{}}
}

// SetNodes replaces the list of the addresses of all nodes.
func (t *Trials) SetNodes(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = slices.Clone(addresses)
}

// Grant grants a trial to a node and returns 0, or returns the time after which to ask again.
func (t *Trials) Grant(key uint64, now time.Time) (wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait = t.next[key].Sub(now); wait > 0 {
		return wait
	}
	if len(t.next) >= maxTrials {
		maps.DeleteFunc(t.next, func(_ uint64, at time.Time) bool { return !at.After(now) })
	}
	if len(t.next) >= maxTrials {
		return trialInterval
	}
	t.next[key] = now.Add(trialInterval)
	return 0
}

// Acquire takes some trials for one prompt and returns 0, or returns the time after which to ask again.
func (t *Trials) Acquire(ctx context.Context, keys []uint64) (wait time.Duration) {
	// All nodes take them in the same order, so that of two prompts that need the same ones one gets all.
	for _, key := range slices.Sorted(slices.Values(keys)) {
		if wait = t.acquire(ctx, key); wait > 0 {
			return wait
		}
	}
	return 0
}

func (t *Trials) acquire(ctx context.Context, key uint64) (wait time.Duration) {
	first, second := t.owners(key)
	for _, owner := range []string{first, second} {
		if owner == t.options.Self {
			return t.Grant(key, time.Now())
		}
		if owner == "" || ctx.Err() != nil {
			break
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		wait, err := t.options.Ask(askCtx, owner, key)
		cancel()
		if err == nil {
			return wait
		}
		t.options.Log.Debug("owner of a trial did not answer", zap.String("owner", owner), zap.Error(err))
	}
	return noOwnerWait
}

func (t *Trials) owners(key uint64) (first, second string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return upstreamlimit.Owners(uint32(key), t.nodes)
}
