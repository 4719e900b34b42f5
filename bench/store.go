package bench

import (
	"fmt"
	"time"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/linksched"
	"github.com/wasabishunt/wasabishunt/piece"
)

// store is one store VM with its link.
type store struct {
	run       *run
	name      string
	tier      *cachevalue.Tier
	disk      *disk // nil if all pieces are in memory.
	policy    cachevalue.Policy
	link      *linksched.Link
	bandwidth float64 // True bandwidth in bytes per second.
	callbacks map[string]func(bool)
	incoming  map[piece.Name]bool
	down      bool
	// epoch rises with each failure; transfers that began in an earlier epoch are discarded.
	epoch      int
	transfers  int
	bytesMoved int64
	busy       time.Duration
}

func newStore(r *run, i int) *store {
	s := &store{run: r, name: fmt.Sprintf("store%d", i), bandwidth: linkBytesPerSecond}
	s.policy = cachevalue.LRU{}
	if !r.policy.LRU {
		s.policy = cachevalue.New(cachevalue.Defaults())
	}
	s.reset()
	return s
}

func (s *store) reset() {
	settings := linksched.Defaults(linkBytesPerSecond)
	settings.ChunkBytes = linkChunkBytes
	s.link = linksched.New(settings)
	s.callbacks = map[string]func(bool){}
	s.incoming = map[piece.Name]bool{}
	if s.run.policy.Disk {
		s.disk = newDisk(s)
	}
	s.tier = cachevalue.NewTier(cachevalue.TierSettings{Capacity: storePieces * pieceBytes, NoShares: s.run.policy.NoShares}, s.policy)
}

func (r *run) storeNamed(name string) *store {
	for _, s := range r.stores {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (s *store) recordUse(name piece.Name, class string, now time.Time) {
	s.policy.RecordUse(name, class, now)
}

func (s *store) source(names []piece.Name, order int) fetchplan.Source {
	source := fetchplan.Source{Name: s.name, Wait: s.link.Wait(order), BytesPerSecond: s.link.BytesPerSecond(), Delay: 2 * networkDelay}
	if s.down {
		return source
	}
	for _, name := range names {
		_, ok := s.tier.Get(name)
		source.Has = append(source.Has, ok)
	}
	return source
}

// fetch moves a piece to an engine.
func (s *store) fetch(name piece.Name, order int, done func(bool)) {
	send := func() {
		s.push(linksched.Transfer{Bytes: pieceBytes, Order: order}, func(ok bool) {
			if ok {
				ok = s.tier.Touch(name, s.run.time())
			}
			done(ok)
		})
	}
	if s.disk == nil || s.down {
		send()
		return
	}
	s.disk.read(name, send)
}

func (s *store) push(t linksched.Transfer, done func(bool)) {
	s.transfers++
	t.ID = fmt.Sprint(s.transfers)
	refuse := func(done func(bool)) { s.run.after(2*networkDelay, func() { done(false) }) }
	if s.down {
		refuse(done)
		return
	}
	displaced, ok := s.link.Push(t)
	if !ok {
		refuse(done)
		return
	}
	if callback := s.callbacks[displaced]; callback != nil {
		delete(s.callbacks, displaced)
		refuse(callback)
	}
	s.callbacks[t.ID] = done
	s.startTransfer()
}

func (s *store) startTransfer() {
	grant, ok := s.link.Next()
	if !ok {
		return
	}
	took := time.Duration(float64(grant.Bytes) / s.bandwidth * float64(time.Second))
	epoch := s.epoch
	s.run.after(took, func() {
		if epoch != s.epoch {
			return
		}
		s.bytesMoved += grant.Bytes
		s.busy += took
		s.link.Done(took)
		if grant.Last {
			done := s.callbacks[grant.ID]
			delete(s.callbacks, grant.ID)
			done(true)
		}
		s.startTransfer()
	})
}

// offer moves a piece into the store in the background.
func (s *store) offer(entry cachevalue.Entry) {
	if _, held := s.tier.Get(entry.Name); held || s.down || s.incoming[entry.Name] {
		return
	}
	s.incoming[entry.Name] = true
	s.push(linksched.Transfer{Bytes: entry.Bytes, Bulk: true}, func(ok bool) {
		delete(s.incoming, entry.Name)
		if ok {
			s.insert(entry)
		}
	})
}

// insert puts a piece into the tiers and drops evicted pieces from memory.
func (s *store) insert(entry cachevalue.Entry) {
	evicted, stored := s.tier.Put(entry, s.run.time())
	if s.disk == nil {
		return
	}
	for _, victim := range evicted {
		s.disk.memory.Remove(victim.Name)
	}
	if stored {
		s.disk.memory.Put(entry, s.run.time())
	}
}

// secondCopyLoss is the loss probability in the run with second copies: with MinGain 0.3, pieces get one from a gain of 2.
const secondCopyLoss = 0.15

// export decides whether and where to export a piece that an engine's cache evicted.
func (a *agent) export(entry cachevalue.Entry) {
	if a.run.policy.Fetch.Fetch {
		return
	}
	first := a.run.stores[int(entry.Name[0])%2]
	second := a.run.stores[1-int(entry.Name[0])%2]
	transfer := first.link.TransferTime(first.link.Queued() + entry.Bytes)
	placement := cachevalue.Placement{Export: true, Copies: 1}
	if !a.run.policy.LRU && !a.run.policy.NoPlacement {
		settings := cachevalue.PlaceDefaults()
		if a.run.policy.TwoCopies {
			settings.LossProbability = secondCopyLoss
		}
		placement = a.returns.Place(settings, entry, transfer, a.run.time())
	}
	if !placement.Export {
		return
	}
	first.offer(entry)
	if placement.Copies > 1 {
		second.offer(entry)
	}
}

// fail makes the store lose all its pieces; transfers in progress fail.
func (s *store) fail() {
	s.down = true
	s.epoch++
	failed := s.callbacks
	s.reset()
	for i := 1; i <= s.transfers; i++ {
		if done := failed[fmt.Sprint(i)]; done != nil {
			done(false)
		}
	}
}

// replace starts an empty store; it refills from the engines' exports and from the other store.
func (s *store) replace() {
	s.down = false
	other := s.run.stores[0]
	if other == s {
		other = s.run.stores[1]
	}
	entries := other.tier.Entries()
	cachevalue.ByValue(s.policy, entries, s.run.time())
	for _, entry := range entries[:min(len(entries), storePieces/2)] {
		if int(entry.Name[0])%2 == 0 {
			s.offer(entry)
		}
	}
}
