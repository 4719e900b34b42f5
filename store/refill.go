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
	// Address is empty for a store that is dead or leaving: it still counts for the placement of pieces.
	Address string
}

// RefillOptions limits a Refiller.
type RefillOptions struct {
	// Self is the name of this store.
	Self string
	// Interval between rounds; default 5 min.
	Interval time.Duration
	// RetryInterval is the wait after a round in which a peer failed; default 15 s.
	RetryInterval time.Duration
	// MaxPieces limits the missing pieces taken from a peer in one round; default 20,000.
	MaxPieces int
	// MaxFill is the share of the disk tier up to which refill fills it, 0 to 1; default 0.8. Refill must not evict
	// what the store was given for its own.
	MaxFill float64
	// Transfers limits the pieces that are copied at once; default 4. A piece of 80 MB uses the link for an eighth of the
	// time of its copy. Eight transfers were faster still, but a copy holds its body twice, 160 MB, and a peer sends
	// three bodies of that size to other stores at once.
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

// Refiller copies the most valuable pieces that this store should hold from its peers, a few at a time, as
// bulk transfers of the link. It brings back what other stores took in place of a lost one.
type Refiller struct {
	store   *Store
	link    *Link
	client  *Client
	options RefillOptions
}

// NewRefiller returns a refiller.
func NewRefiller(store *Store, link *Link, client *Client, options RefillOptions) *Refiller {
	return &Refiller{store: store, link: link, client: client, options: options.withDefaults()}
}

// Run makes rounds until ctx ends. A signal on kick starts the next round at once, for example when peers changed.
func (r *Refiller) Run(ctx context.Context, peers func() []Peer, kick <-chan struct{}) {
	for ctx.Err() == nil {
		wait := r.options.Interval
		if copied, err := r.Round(ctx, peers()); err != nil {
			r.options.Log.Warn("refill incomplete", zap.Int("copied", copied), zap.Error(err))
			wait = r.options.RetryInterval
		} else if copied > 0 {
			r.options.Log.Info("refill done", zap.Int("copied", copied))
			// A round may have stopped at its limit, so another one follows soon.
			wait = r.options.RetryInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-kick:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// candidate is a piece that a peer holds and this store should.
type candidate struct {
	Listed
	address string
}

// Round copies missing pieces, most valuable first. It returns the number copied, and the first failure of a peer.
func (r *Refiller) Round(ctx context.Context, peers []Peer) (int, error) {
	candidates, err := r.candidates(ctx, peers)
	t := &transfers{refiller: r, ended: make(chan transferred, r.options.Transfers), err: err}
	for _, c := range candidates {
		if !t.makeRoom(ctx, c.Header) {
			break
		}
		t.start(ctx, c)
	}
	for t.running > 0 {
		t.await()
	}
	return t.copied, t.err
}

// transfers are the copies of one round. Only the goroutine of the round uses them; copies report to ended.
type transfers struct {
	refiller *Refiller
	ended    chan transferred
	running  int
	// bytes is the space on disk that the running copies will take.
	bytes  int64
	copied int
	// err is the first failure.
	err error
}

// transferred is the end of one copy.
type transferred struct {
	bytes  int64
	stored bool
	err    error
}

// makeRoom waits until one more copy may run. It returns false if the piece does not fit or the round must end. Only
// without running copies is a piece that does not fit the end: fits errs while one is being written.
func (t *transfers) makeRoom(ctx context.Context, h piece.Header) bool {
	for ctx.Err() == nil {
		if t.running < t.refiller.options.Transfers && t.refiller.fits(h, t.bytes) {
			return true
		}
		if t.running == 0 {
			return false
		}
		t.await()
	}
	return false
}

// start queues a piece at the link before the next one, so that the link serves the most valuable piece first.
func (t *transfers) start(ctx context.Context, c candidate) {
	transfer, err := t.refiller.link.Begin(RankBulk, c.Header.Length)
	if err != nil {
		t.note(err)
		return
	}
	bytes := fileBytes(c.Header)
	t.running++
	t.bytes += bytes
	go func() {
		defer transfer.End()
		stored, err := t.refiller.copy(ctx, c, transfer)
		t.ended <- transferred{bytes, stored, err}
	}()
}

func (t *transfers) await() {
	end := <-t.ended
	t.running--
	t.bytes -= end.bytes
	if end.stored {
		t.copied++
	}
	t.note(end.err)
}

func (t *transfers) note(err error) {
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

// collect adds the peer's pieces that this store should hold and does not.
func (r *Refiller) collect(ctx context.Context, peer Peer, stores []string, into map[piece.Name]candidate) error {
	after := ""
	// Only missing pieces count: pieces that this store holds already would fill the limit in the second round.
	for missing := 0; missing < r.options.MaxPieces; {
		page, next, err := r.client.List(ctx, peer.Address, after, maxListed)
		if err != nil {
			return err
		}
		for _, listed := range page {
			if missing < r.options.MaxPieces && r.wants(listed.Header, stores) {
				into[listed.Header.Name] = candidate{listed, peer.Address}
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

func (r *Refiller) wants(h piece.Header, stores []string) bool {
	return slices.Contains(Holders(h.Name, stores), r.options.Self) && !r.store.Has(h.Account, []piece.Name{h.Name})[0]
}

// fits reports whether there is space for a piece beside others that are being copied. Those that are written already
// count twice, so the answer may be false too early, never true too early.
func (r *Refiller) fits(h piece.Header, copying int64) bool {
	limit := r.options.MaxFill * float64(r.store.settings.DiskBytes)
	return float64(r.store.Stats().DiskBytes+copying+fileBytes(h)) <= limit
}

// copy fetches one piece. A piece that the peer has dropped meanwhile, or that the store refuses, is no failure.
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
