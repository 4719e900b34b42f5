// Package kvstores decides what is saved to and fetched from remote stores of KV cache.
//
// The stores never evict. A node fetches only what the reader of the stores' events said to be whole, and only while it
// is in contact with that reader. After a store restarts, nothing is saved to it until all nodes have stopped to fetch
// what it held before.
package kvstores

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Part names a cached part: its salt and its id.
type Part struct{ Salt, ID string }

// key stands for the part in reports between nodes.
func (p Part) key() uint64 { return placement.PartKey(p.Salt, p.ID) }

// store is a store as a node knows it.
type store struct {
	spec    trafficset.StoreSpec
	epoch   int64
	accepts bool
	used    int
}

// Directory is a node's knowledge of the stores. Its lock is a leaf.
type Directory struct {
	now func() time.Time

	mu     sync.Mutex
	stores map[string]*store
	// parts has all copies: nodes that do not know of each other's saves make several.
	parts map[Part][]location
	// saving are the parts, by their keys, that a node asked an engine to save a moment ago.
	saving map[uint64]time.Time
	// unreported are the saves of this node that the other nodes were not told of yet.
	unreported []uint64
	// contact is when the reader of the stores was last heard.
	contact    time.Time
	tokenBytes int
	clock      engineClock
}

type location struct {
	store  string
	tokens int
}

const (
	// contactLimit is two beats of the reader.
	contactLimit = time.Second
	// saveMemory is how long a part counts as being saved.
	saveMemory = 4 * time.Second
	// smallestPart is not worth a transfer below this size.
	smallestPart = 64
	// fillShare of a store is used; the rest is left to parts that broke off.
	fillShare = 0.95
	// longestSaveQueue is the queue of a link at which nothing more is saved over it: fetches go first.
	longestSaveQueue = 150 * time.Millisecond
	bitsPerByte      = 8
	bitsPerMbit      = 1e6
)

// NewDirectory returns an empty Directory.
func NewDirectory(now func() time.Time) *Directory {
	return &Directory{now: now, stores: map[string]*store{}, parts: map[Part][]location{}, saving: map[uint64]time.Time{}}
}

// Configure takes the stores and the size of a token from a published set.
func (d *Directory) Configure(set *trafficset.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[string]bool{}
	for i := range set.Services {
		service := &set.Services[i]
		if service.Engine != nil && service.Engine.TokenBytes > 0 {
			d.tokenBytes = service.Engine.TokenBytes
		}
		if service.Store == nil {
			continue
		}
		present[service.Store.Address] = true
		if s := d.stores[service.Store.Address]; s != nil {
			s.spec = *service.Store
			continue
		}
		d.stores[service.Store.Address] = &store{spec: *service.Store}
	}
	for address := range d.stores {
		if !present[address] {
			d.reset(address)
			delete(d.stores, address)
		}
	}
}

// Contact notes that the reader of the stores was heard.
func (d *Directory) Contact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contact = d.now()
}

// Adopt takes changes in order.
func (d *Directory) Adopt(changes []*nodepb.StorePlacement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range changes {
		s := d.stores[change.GetAddress()]
		if s == nil {
			s = &store{}
			d.stores[change.GetAddress()] = s
		}
		if change.GetReset_() {
			d.reset(change.GetAddress())
		}
		s.epoch, s.accepts = change.GetEpoch(), change.GetAccepts()
		for _, part := range change.GetRemoved() {
			d.remove(Part{part.GetSalt(), part.GetId()}, change.GetAddress())
		}
		for _, part := range change.GetAdded() {
			d.add(Part{part.GetSalt(), part.GetId()}, location{change.GetAddress(), int(part.GetTokens())})
		}
	}
}

// Accepted returns the incarnation of a store that may be saved to, 0 if it may not.
func (d *Directory) Accepted(address string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.stores[address]; s != nil && s.accepts {
		return s.epoch
	}
	return 0
}

func (d *Directory) reset(address string) {
	for part := range d.parts {
		d.remove(part, address)
	}
	if s := d.stores[address]; s != nil {
		s.used = 0
	}
}

func (d *Directory) remove(part Part, address string) {
	copies := d.parts[part]
	for i, at := range copies {
		if at.store != address {
			continue
		}
		d.stores[address].used -= at.tokens
		if d.parts[part] = slices.Delete(copies, i, i+1); len(copies) == 1 {
			delete(d.parts, part)
		}
		return
	}
}

func (d *Directory) add(part Part, at location) {
	d.remove(part, at.store)
	d.parts[part] = append(d.parts[part], at)
	d.stores[at.store].used += at.tokens
	delete(d.saving, part.key())
}

// Locate returns where the shared parts of a prompt are whole, one entry a part up to the last one that a store holds.
// An entry without an address is a gap: no store holds the part, or it would come later than longest. Engines mostly
// hold the first parts, which many prompts share, so a gap there does not make the later parts useless.
func (d *Directory) Locate(salt string, shared []placement.Part, longest time.Duration, links placement.LinkView) []placement.Stored {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now().Sub(d.contact) > contactLimit {
		return nil
	}
	out := make([]placement.Stored, len(shared))
	last := 0
	for i, part := range shared {
		stored, ok := d.locate(Part{salt, part.ID}, longest, links)
		if ok {
			out[i], last = stored, i+1
		}
	}
	return out[:last]
}

// locate returns the copy of a part that can be fetched first.
func (d *Directory) locate(part Part, longest time.Duration, links placement.LinkView) (best placement.Stored, found bool) {
	for _, at := range d.parts[part] {
		spec := d.stores[at.store].spec
		if spec.LinkMbps <= 0 {
			continue
		}
		stored := placement.Stored{
			Address: at.store, AvailabilityZone: spec.AvailabilityZone, Tokens: at.tokens, Wait: links.Backlog(at.store),
			Transfer: spec.FirstByte + time.Duration(links.Slowness(at.store)*float64(d.transfer(at.tokens, &spec))),
		}
		if stored.Wait+stored.Transfer <= longest && (!found || stored.Wait+stored.Transfer < best.Wait+best.Transfer) {
			best, found = stored, true
		}
	}
	return best, found
}

func (d *Directory) transfer(tokens int, spec *trafficset.StoreSpec) time.Duration {
	bits := float64(tokens) * float64(d.tokenBytes) * bitsPerByte
	return time.Duration(bits / (spec.LinkMbps * bitsPerMbit) * float64(time.Second))
}

// Save picks a store for each shared part that none holds, "" for none. The last part of a prompt is its own.
func (d *Directory) Save(salt string, parts []placement.Part, zone string, links placement.LinkView) ([]string, map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if len(parts) < 2 || now.Sub(d.contact) > contactLimit {
		return nil, nil
	}
	out := make([]string, len(parts))
	transfers := map[string]time.Duration{}
	for i, p := range parts[:len(parts)-1] {
		part := Part{salt, p.ID}
		if len(d.parts[part]) > 0 || p.Tokens < smallestPart || now.Sub(d.saving[part.key()]) < saveMemory {
			continue
		}
		if out[i] = d.home(part, p.Tokens, zone, links); out[i] != "" {
			d.saving[part.key()] = now
			d.unreported = append(d.unreported, part.key())
			transfers[out[i]] += d.zoned(out[i], zone, d.transfer(p.Tokens, &d.stores[out[i]].spec))
		}
	}
	d.forgetSaves(now)
	if len(transfers) == 0 {
		return nil, nil
	}
	return out, transfers
}

// zoned returns the time of a transfer between a store and an engine in a zone.
func (d *Directory) zoned(address, zone string, transfer time.Duration) time.Duration {
	if d.stores[address].spec.AvailabilityZone != zone {
		return placement.OtherZoneTransfer * transfer
	}
	return transfer
}

// maxSaves is the number of remembered saves at which old ones are forgotten.
const maxSaves = 2048

func (d *Directory) forgetSaves(now time.Time) {
	if len(d.saving) < maxSaves {
		return
	}
	for part, at := range d.saving {
		if now.Sub(at) >= saveMemory {
			delete(d.saving, part)
		}
	}
}

// maxReportedSaves limits the saves told in one report; a node asks for a few between two reports.
const maxReportedSaves = 64

// TakeSaves returns the keys of the parts that this node asked to save since the last call.
func (d *Directory) TakeSaves() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	saves := d.unreported[:min(len(d.unreported), maxReportedSaves)]
	d.unreported = nil
	return saves
}

// NoteSaves takes the keys of the parts that another node asked to save.
func (d *Directory) NoteSaves(parts []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, part := range parts {
		d.saving[part] = now
	}
	d.forgetSaves(now)
}

// home picks the store of a part in the same way on all nodes: of the stores with room whose delay suits the part's
// size, by weighted rendezvous hashing.
func (d *Directory) home(part Part, tokens int, zone string, links placement.LinkView) string {
	best, bestScore := "", 0.0
	for address, s := range d.stores {
		room := float64(s.spec.CacheTokens)*fillShare - float64(s.used)
		if !s.accepts || room < float64(tokens) || links.Backlog(address) > longestSaveQueue {
			continue
		}
		score := room * d.suits(tokens, &s.spec) * unit(part.ID+"\x00"+address)
		if s.spec.AvailabilityZone == zone {
			score *= zonePreference
		}
		if score > bestScore || score == bestScore && address < best {
			best, bestScore = address, score
		}
	}
	return best
}

// preference of a store whose delay suits the size of a part over one whose room is better kept for other parts.
const preference = 200

// zonePreference of a store in the engine's zone, whose link a transfer takes for half the time.
const zonePreference = 3

// suits prefers stores with a short delay for small parts, whose transfer is mostly delay, and the others for large ones.
func (d *Directory) suits(tokens int, spec *trafficset.StoreSpec) float64 {
	shortest, longest := spec.FirstByte, spec.FirstByte
	slowest := spec
	for _, s := range d.stores {
		if s.spec.FirstByte < shortest {
			shortest = s.spec.FirstByte
		}
		if s.spec.FirstByte > longest {
			longest, slowest = s.spec.FirstByte, &s.spec
		}
	}
	small := d.transfer(tokens, slowest) < longest
	if shortest == longest || small == (spec.FirstByte < longest) {
		return preference
	}
	return 1
}

// unit maps a text to (0, 1).
func unit(text string) float64 { return float64(xxhash.Sum64String(text)>>11) / (1 << 53) }
