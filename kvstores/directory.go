// Package kvstores decides what is saved to and fetched from remote stores of KV cache.
//
// The stores never evict. A node fetches only parts that the reader of the stores' events reported as complete, and
// only while it receives that reader's messages. After a store restarts, nothing is saved to it until all nodes have
// stopped fetching its former contents.
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

// Part identifies a cached part by its salt and its id.
type Part struct{ Salt, ID string }

// key identifies the part in reports between nodes.
func (p Part) key() uint64 { return placement.PartKey(p.Salt, p.ID) }

// store is the state of one store, as reported to this node.
type store struct {
	spec    trafficset.StoreSpec
	epoch   int64
	accepts bool
	used    int
	// withdrawn holds when the reader removed parts, until it reports them again.
	withdrawn map[Part]time.Time
	// reported is set once the reader has reported the store's contents, or that it is down.
	reported bool
}

// Directory is a node's view of the stores and their contents. Its mu is a leaf lock: no other lock is acquired while
// it is held.
type Directory struct {
	now func() time.Time

	mu     sync.Mutex
	stores map[string]*store
	// parts holds all copies: nodes that save the same part at the same time make several.
	parts map[Part][]location
	// pendingSaves are the parts, by key, that a node recently requested an engine to save.
	pendingSaves map[uint64]time.Time
	// unreported are the saves of this node that are not yet reported to the other nodes.
	unreported []uint64
	// lastContact is when the last message of the stores' reader arrived.
	lastContact time.Time
	tokenBytes  int
	clock       engineClock
	// known is closed once all stores of a published set have been reported.
	known chan struct{}
}

// location is a copy of a part in a store.
type location struct {
	store  string
	tokens int
}

const (
	// contactTimeout is two heartbeats of the reader.
	contactTimeout = time.Second
	// saveTimeout is how long a part counts as being saved.
	saveTimeout = 4 * time.Second
	// minPartTokens is the size below which a part is not worth a transfer.
	minPartTokens = 64
	// maxFillShare is the usable share of a store; incomplete parts take the rest.
	maxFillShare = 0.95
	// maxSaveBacklog is the backlog of a link above which nothing more is saved over it: fetches have precedence.
	maxSaveBacklog = 150 * time.Millisecond
	bitsPerByte    = 8
	bitsPerMbit    = 1e6
)

// NewDirectory returns an empty Directory.
func NewDirectory(now func() time.Time) *Directory {
	return &Directory{now: now, stores: map[string]*store{}, parts: map[Part][]location{}, pendingSaves: map[uint64]time.Time{}, known: make(chan struct{})}
}

// Configure applies the stores and the size of a token from a published set.
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
	d.updateKnown()
}

// Known is closed once the contents of all stores have been reported since the start of the process.
func (d *Directory) Known() <-chan struct{} { return d.known }

// updateKnown closes known once all stores have been reported. The caller holds the lock.
func (d *Directory) updateKnown() {
	select {
	case <-d.known:
		return
	default:
	}
	for _, s := range d.stores {
		if !s.reported {
			return
		}
	}
	close(d.known)
}

// RecordContact records a message of the stores' reader.
func (d *Directory) RecordContact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact = d.now()
}

// ApplyChanges applies changes in order.
func (d *Directory) ApplyChanges(changes []*nodepb.StorePlacement) {
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
		// A reset comes before the contents, unless the store is down.
		if !change.GetReset_() || s.epoch == 0 || len(change.GetAdded()) > 0 {
			s.reported = true
		}
		for _, part := range change.GetRemoved() {
			d.remove(Part{part.GetSalt(), part.GetId()}, change.GetAddress())
		}
		s.recordWithdrawn(change.GetRemoved(), d.now())
		for _, part := range change.GetAdded() {
			d.add(Part{part.GetSalt(), part.GetId()}, location{change.GetAddress(), int(part.GetTokens())})
		}
	}
	d.updateKnown()
}

// AcceptedEpoch returns the epoch of a store that accepts saves, 0 if it accepts none.
func (d *Directory) AcceptedEpoch(address string) int64 {
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
	for i, held := range copies {
		if held.store != address {
			continue
		}
		d.stores[address].used -= held.tokens
		if d.parts[part] = slices.Delete(copies, i, i+1); len(copies) == 1 {
			delete(d.parts, part)
		}
		return
	}
}

func (d *Directory) add(part Part, held location) {
	d.remove(part, held.store)
	d.parts[part] = append(d.parts[part], held)
	d.stores[held.store].used += held.tokens
	delete(d.stores[held.store].withdrawn, part)
	delete(d.pendingSaves, part.key())
}

// Locate returns where the shared parts of a prompt are complete, one entry per part up to the last one that a store
// holds. An entry without an address is a gap: no store holds the part, or fetching it would take longer than maxFetch.
// Parts after a gap are still useful: engines mostly hold the first parts, which many prompts share.
func (d *Directory) Locate(salt string, shared []placement.Part, maxFetch time.Duration, links placement.LinkView) []placement.StoredPart {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now().Sub(d.lastContact) > contactTimeout {
		return nil
	}
	out := make([]placement.StoredPart, len(shared))
	last := 0
	for i, part := range shared {
		stored, ok := d.locate(Part{salt, part.ID}, maxFetch, links)
		if ok {
			out[i], last = stored, i+1
		}
	}
	return out[:last]
}

// locate returns the copy of a part that can be fetched soonest.
func (d *Directory) locate(part Part, maxFetch time.Duration, links placement.LinkView) (best placement.StoredPart, found bool) {
	for _, held := range d.parts[part] {
		spec := d.stores[held.store].spec
		if spec.LinkMbps <= 0 {
			continue
		}
		stored := placement.StoredPart{
			Address: held.store, AvailabilityZone: spec.AvailabilityZone, Tokens: held.tokens, Wait: links.Backlog(held.store),
			Transfer: spec.FirstByte + time.Duration(links.Slowness(held.store)*float64(d.transferTime(held.tokens, &spec))),
		}
		if stored.Wait+stored.Transfer <= maxFetch && (!found || stored.Wait+stored.Transfer < best.Wait+best.Transfer) {
			best, found = stored, true
		}
	}
	return best, found
}

func (d *Directory) transferTime(tokens int, spec *trafficset.StoreSpec) time.Duration {
	bits := float64(tokens) * float64(d.tokenBytes) * bitsPerByte
	return time.Duration(bits / (spec.LinkMbps * bitsPerMbit) * float64(time.Second))
}

// Save picks a store for each shared part that no store holds. It returns the address for each part, "" if it is not
// saved, and the transfer time by address. The last part of a prompt belongs to this request alone and is not saved.
func (d *Directory) Save(salt string, parts []placement.Part, zone string, links placement.LinkView) ([]string, map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if len(parts) < 2 || now.Sub(d.lastContact) > contactTimeout {
		return nil, nil
	}
	out := make([]string, len(parts))
	transfers := map[string]time.Duration{}
	for i, p := range parts[:len(parts)-1] {
		part := Part{salt, p.ID}
		if len(d.parts[part]) > 0 || p.Tokens < minPartTokens || now.Sub(d.pendingSaves[part.key()]) < saveTimeout {
			continue
		}
		if out[i] = d.chooseStore(part, p.Tokens, zone, links); out[i] != "" {
			d.pendingSaves[part.key()] = now
			d.unreported = append(d.unreported, part.key())
			transfers[out[i]] += d.zoneTransferTime(out[i], zone, d.transferTime(p.Tokens, &d.stores[out[i]].spec))
		}
	}
	d.expireSaves(now)
	if len(transfers) == 0 {
		return nil, nil
	}
	return out, transfers
}

// zoneTransferTime returns the time of a transfer between a store and an engine in a zone.
func (d *Directory) zoneTransferTime(address, zone string, transfer time.Duration) time.Duration {
	if d.stores[address].spec.AvailabilityZone != zone {
		return placement.OtherZoneTransfer * transfer
	}
	return transfer
}

// maxPendingSaves is the number of pending saves at which expired ones are removed.
const maxPendingSaves = 2048

func (d *Directory) expireSaves(now time.Time) {
	if len(d.pendingSaves) < maxPendingSaves {
		return
	}
	for part, requestedAt := range d.pendingSaves {
		if now.Sub(requestedAt) >= saveTimeout {
			delete(d.pendingSaves, part)
		}
	}
}

// maxReportedSaves limits the saves in one report; a node requests a few between two reports.
const maxReportedSaves = 64

// DrainSaves returns and clears the keys of the parts that this node requested to save since the last call.
func (d *Directory) DrainSaves() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	saves := d.unreported[:min(len(d.unreported), maxReportedSaves)]
	d.unreported = nil
	return saves
}

// RecordSaves records the keys of the parts that another node requested to save.
func (d *Directory) RecordSaves(parts []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, part := range parts {
		d.pendingSaves[part] = now
	}
	d.expireSaves(now)
}

// chooseStore picks the store of a part in the same way on all nodes: by weighted rendezvous hashing over the stores
// with free space, preferring those whose delay suits the part's size.
func (d *Directory) chooseStore(part Part, tokens int, zone string, links placement.LinkView) string {
	best, bestScore := "", 0.0
	for address, s := range d.stores {
		free := float64(s.spec.CacheTokens)*maxFillShare - float64(s.used)
		if !s.accepts || free < float64(tokens) || links.Backlog(address) > maxSaveBacklog {
			continue
		}
		score := free * d.sizePreference(tokens, &s.spec) * unitHash(part.ID+"\x00"+address)
		if s.spec.AvailabilityZone == zone {
			score *= zoneFactor
		}
		if score > bestScore || score == bestScore && address < best {
			best, bestScore = address, score
		}
	}
	return best
}

// sizeFactor is the weight of a store whose delay suits the size of a part, relative to one that suits
// other parts better.
const sizeFactor = 200

// zoneFactor is the weight of a store in the engine's zone, whose link a transfer occupies for half the time.
const zoneFactor = 3

// sizePreference prefers stores with a short delay for small parts, whose transfer time is mostly delay, and the
// other stores for large parts.
func (d *Directory) sizePreference(tokens int, spec *trafficset.StoreSpec) float64 {
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
	small := d.transferTime(tokens, slowest) < longest
	if shortest == longest || small == (spec.FirstByte < longest) {
		return sizeFactor
	}
	return 1
}

// unitHash hashes a text into (0, 1).
func unitHash(text string) float64 { return float64(xxhash.Sum64String(text)>>11) / (1 << 53) }
