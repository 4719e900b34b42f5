package store

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
)

// Peer is another store.
type Peer struct {
	Name string
	// Address is empty for a store that is dead or leaving. Such a store still takes part in the placement of pieces.
	Address string
}

// RefillOptions limits a Refiller.
type RefillOptions struct {
	// Self is the name of this store.
	Self string
	// Interval is the time between rounds; default 5 min.
	Interval time.Duration
	// RetryInterval is the time until the next round if a peer failed or pieces were copied; default 15 s.
	RetryInterval time.Duration
	// MaxPieces limits the missing pieces copied in one round; default 20,000.
	MaxPieces int
	// MaxFill is the share of the disk tier that refill may fill, 0 to 1; default 0.8. It keeps refill from evicting
	// pieces that were written to this store.
	MaxFill float64
	// Transfers limits the pieces that are copied at once; default 4. The copy of a piece of 80 MB uses the link for an
	// eighth of its duration. Eight transfers are faster, but each copy holds its body in memory twice (160 MB), and a
	// peer sends at most three bodies of that size to other stores at once.
	Transfers int
	Log       *zap.Logger
}

func (o RefillOptions) withDefaults() RefillOptions {
	defaults.Set(&o.Interval, 5*time.Minute)
	defaults.Set(&o.RetryInterval, 15*time.Second)
	defaults.Set(&o.MaxPieces, 20_000)
	defaults.Set(&o.MaxFill, 0.8)
	defaults.Set(&o.Transfers, 4)
	defaults.Set(&o.Log, zap.NewNop())
	return o
}

// Refiller copies the most valuable pieces that this store should hold from its peers, a few at a time, as bulk
// transfers of the link. These are pieces that other stores received while this store was unavailable.
type Refiller struct {
	store   *Store
	link    *Link
	client  *Client
	options RefillOptions
}

// NewRefiller returns a Refiller; Run starts its work.
func NewRefiller(store *Store, link *Link, client *Client, options RefillOptions) *Refiller {
	return &Refiller{store: store, link: link, client: client, options: options.withDefaults()}
}

// Run refills in rounds until ctx ends. A signal on peersChanged starts the next round at once.
func (r *Refiller) Run(ctx context.Context, peers func() []Peer, peersChanged <-chan struct{}) {
	for ctx.Err() == nil {
		wait := r.options.Interval
		if copied, err := r.Round(ctx, peers()); err != nil {
			r.options.Log.Warn("refill incomplete", zap.Int("copied", copied), zap.Error(err))
			wait = r.options.RetryInterval
		} else if copied > 0 {
			r.options.Log.Info("refill done", zap.Int("copied", copied))
			// The round may have stopped at MaxPieces, so the next one starts soon.
			wait = r.options.RetryInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-peersChanged:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// candidate is a piece of a peer that this store should hold but does not.
type candidate struct {
	Listed
	address string
}

// Round copies missing pieces, most valuable first. It returns the number of copied pieces and the first failure.
func (r *Refiller) Round(ctx context.Context, peers []Peer) (int, error) {
	candidates, err := r.candidates(ctx, peers)
	t := &refillRound{refiller: r, results: make(chan copyResult, r.options.Transfers), err: err}
	for _, c := range candidates {
		if !t.waitForSlot(ctx, c.Header) {
			break
		}
		t.start(ctx, c)
	}
	for t.running > 0 {
		t.awaitOne()
	}
	return t.copied, t.err
}

// refillRound is the state of one round. Only the goroutine of the round uses it; copies send their results to it.
type refillRound struct {
	refiller *Refiller
	results  chan copyResult
	running  int
	// bytes is the space on disk that the running copies will take.
	bytes  int64
	copied int
	// err is the first failure.
	err error
}

// copyResult is the result of copying one piece.
type copyResult struct {
	bytes  int64
	stored bool
	err    error
}

// waitForSlot waits until one more copy may run. It returns false if the piece does not fit or the round must end. While
// copies run, it waits for one of them to end and checks again, because fits may count a running copy twice.
func (t *refillRound) waitForSlot(ctx context.Context, h piece.Header) bool {
	for ctx.Err() == nil {
		if t.running < t.refiller.options.Transfers && t.refiller.fits(h, t.bytes) {
			return true
		}
		if t.running == 0 {
			return false
		}
		t.awaitOne()
	}
	return false
}

// start queues the transfer at the link and copies the piece in a goroutine. The transfers are queued in the order of
// the calls, so that the link serves the most valuable piece first.
func (t *refillRound) start(ctx context.Context, c candidate) {
	transfer, err := t.refiller.link.Begin(RankBulk, c.Header.Length)
	if err != nil {
		t.recordError(err)
		return
	}
	bytes := fileBytes(c.Header)
	t.running++
	t.bytes += bytes
	go func() {
		defer transfer.End()
		stored, err := t.refiller.copy(ctx, c, transfer)
		t.results <- copyResult{bytes, stored, err}
	}()
}

func (t *refillRound) awaitOne() {
	result := <-t.results
	t.running--
	t.bytes -= result.bytes
	if result.stored {
		t.copied++
	}
	t.recordError(result.err)
}

func (t *refillRound) recordError(err error) {
	if t.err == nil {
		t.err = err
	}
}

func (r *Refiller) candidates(ctx context.Context, peers []Peer) ([]candidate, error) {
	names := []string{r.options.Self}
	for _, peer := range peers {
		names = append(names, peer.Name)
	}
	byName := map[piece.Name]candidate{}
	var firstErr error
	for _, peer := range peers {
		if peer.Address == "" {
			continue
		}
		if err := r.collect(ctx, peer, names, byName); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	list := make([]candidate, 0, len(byName))
	for _, c := range byName {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.Value, a.Value) })
	return list[:min(len(list), r.options.MaxPieces)], firstErr
}

// collect adds to found the pieces of a peer that this store should hold but does not.
func (r *Refiller) collect(ctx context.Context, peer Peer, stores []string, found map[piece.Name]candidate) error {
	after := ""
	// Only missing pieces count towards the limit. Otherwise the pieces copied in the first round would use it up in the
	// next one.
	for missing := 0; missing < r.options.MaxPieces; {
		page, next, err := r.client.List(ctx, peer.Address, after, maxListed)
		if err != nil {
			return err
		}
		for _, listed := range page {
			if missing < r.options.MaxPieces && r.shouldCopy(listed.Header, stores) {
				found[listed.Header.Name] = candidate{listed, peer.Address}
				missing++
			}
		}
		if next == "" || len(page) == 0 {
			return nil
		}
		after = next
	}
	return nil
}

func (r *Refiller) shouldCopy(h piece.Header, stores []string) bool {
	return slices.Contains(Holders(h.Name, stores), r.options.Self) && !r.store.Has(h.Account, []piece.Name{h.Name})[0]
}

// fits reports whether there is space for a piece in addition to those being copied (copying, in bytes). A copy that is
// already written counts twice, so the result may be false too early but never true by mistake.
func (r *Refiller) fits(h piece.Header, copying int64) bool {
	limit := r.options.MaxFill * float64(r.store.settings.DiskBytes)
	return float64(r.store.Stats().DiskBytes+copying+fileBytes(h)) <= limit
}

// copy copies one piece and reports whether it was stored. It is not a failure if the peer has evicted the piece in the
// meantime or this store refuses it.
func (r *Refiller) copy(ctx context.Context, c candidate, transfer *Transfer) (bool, error) {
	if err := takeAll(ctx, transfer, int(c.Header.Length)); err != nil {
		return false, err
	}
	want := piece.Want{Name: c.Header.Name, Account: c.Header.Account}
	h, body, err := r.client.Get(ctx, c.address, want, RankBulk)
	if failure.Is(err, failure.NotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	outcome, err := r.store.Put(h, body, c.Idle)
	if outcome == RefusedStorage {
		return false, err
	}
	return outcome == Stored, nil
}
