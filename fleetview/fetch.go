package fleetview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/blake3"
	"storj.io/drpc/drpcconn"

	"github.com/wasabishunt/wasabishunt/bindelta"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// maxSetBytes limits the document of a set in bytes. It is above what operators can publish.
const maxSetBytes = 4 << 20

// PublishedSet is a set as a core member sent it.
type PublishedSet struct {
	Version  uint64
	Document []byte
	// From is the address of the core member, FetchedIn the time that the transfer took, and TransferredBytes its size.
	From             string
	FetchedIn        time.Duration
	TransferredBytes int64
}

// setFetcher fetches new sets from one core member at a time, and from others beside it only while that sends nothing. The streams of updates only name versions: the members have the same
// sets, and copies from all of them would fill the link of the node. mu is a leaf lock: no other lock is acquired while it is held.
type setFetcher struct {
	watcher *Watcher
	// news wakes run.
	news chan struct{}

	mu      sync.Mutex
	sources *setSources
	// have is the newest set of the node, the base of the next delta.
	have PublishedSet
}

func newSetFetcher(w *Watcher) *setFetcher {
	return &setFetcher{watcher: w, news: make(chan struct{}, 1), sources: newSetSources(w.Node, w.AvailabilityZone, w.Address)}
}

// announce records the version of the set that a core member named.
func (f *setFetcher) announce(address, zone string, version uint64) {
	f.mu.Lock()
	news := f.sources.announce(address, zone, version, time.Now())
	f.mu.Unlock()
	if !news {
		return
	}
	select {
	case f.news <- struct{}{}:
	default:
	}
}

func (f *setFetcher) remove(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.remove(address)
}

// recordSet records that the node has a set, which a core member of an earlier version may have sent within an update.
func (f *setFetcher) recordSet(set PublishedSet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if set.Version > f.have.Version {
		f.have = set
	}
	f.sources.recordSet(set.Version, time.Now())
}

// next returns the core member to fetch from, the set that the node has and the limit for a stalled transfer.
func (f *setFetcher) next() (address string, have PublishedSet, stallLimit, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	address, wait = f.sources.choose(time.Now())
	return address, f.have, f.sources.stallLimit(), wait
}

// begin records that a transfer from a core member runs, end that it does not run any more.
func (f *setFetcher) begin(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.begin(address)
}

func (f *setFetcher) end(address string, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.end(address)
	if failed {
		f.sources.recordFailure(address, time.Now())
	}
}

// run fetches sets until the context ends.
func (f *setFetcher) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	t := newTransfers(f)
	defer t.tasks.Wait()
	defer cancel()
	for ctx.Err() == nil {
		if t.mayBegin(time.Now()) {
			address, have, stallLimit, wait := f.next()
			if address != "" {
				t.begin(ctx, address, have, stallLimit)
			} else if len(t.active) == 0 {
				f.await(ctx, wait)
				continue
			}
		}
		t.await(ctx)
	}
}

// await waits for news, for the given time at most unless it is 0.
func (f *setFetcher) await(ctx context.Context, wait time.Duration) {
	var elapsed <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-ctx.Done():
	case <-f.news:
	case <-elapsed:
	}
}

// fetch transfers the newest set of a core member. It stores the connection in opened.
func (f *setFetcher) fetch(ctx context.Context, address string, have PublishedSet, stallLimit time.Duration, opened *atomic.Pointer[rpcpool.IdleConn]) (set PublishedSet, err error) {
	raw, err := f.watcher.dial(ctx, address)
	if err != nil {
		return set, err
	}
	idle := rpcpool.NewIdleConn(raw, stallLimit)
	opened.Store(idle)
	conn := drpcconn.New(idle)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hash := blake3.Sum256(have.Document)
	stream, err := nodepb.NewDRPCNodeClient(conn).FetchSet(ctx, &nodepb.FetchSetRequest{Node: f.watcher.Node, HaveVersion: have.Version, HaveHash: hash[:]})
	if err == nil {
		set, err = receiveSet(stream, have.Document)
	}
	if idle.TimedOut() {
		err = failure.New(failure.DeadlineExceeded, failure.NotRun, "nothing arrived for %s", stallLimit)
	}
	set.From = address
	return set, err
}

// receiveSet joins the parts of a set that is sent as a delta against the document that the node has, and verifies the whole.
func receiveSet(stream nodepb.DRPCNode_FetchSetClient, have []byte) (PublishedSet, error) {
	var first *nodepb.SetPart
	var delta []byte
	for {
		part, err := stream.Recv()
		if err != nil {
			return PublishedSet{}, err
		}
		if first == nil {
			first = part
		}
		if first.GetDeltaBytes() > maxSetBytes || uint64(len(delta)+len(part.GetData())) > first.GetDeltaBytes() {
			return PublishedSet{}, failure.New(failure.BodyTooLarge, failure.NotRun, "the set is larger than %d bytes or than its first part says", maxSetBytes)
		}
		delta = append(delta, part.GetData()...)
		if part.GetLast() {
			return applyDelta(first, have, delta)
		}
	}
}

func applyDelta(first *nodepb.SetPart, have, delta []byte) (PublishedSet, error) {
	if !first.GetAgainstHave() {
		have = nil
	}
	document, err := bindelta.Apply(have, delta, maxSetBytes)
	if err != nil {
		return PublishedSet{}, err
	}
	if hash := blake3.Sum256(document); string(hash[:]) != string(first.GetDocumentHash()) {
		return PublishedSet{}, failure.New(failure.InvalidRequest, failure.NotRun, "the set that was received is corrupt")
	}
	return PublishedSet{Version: first.GetSetVersion(), Document: document}, nil
}
