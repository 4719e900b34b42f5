package routing

import (
	"container/list"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// PrefixSettings are the settings of Prefixes.
type PrefixSettings struct {
	// MaxPrefixes bounds the number of piece names in the table; default 65536.
	MaxPrefixes int
	// MaxHolders bounds the number of upstreams stored for one name; default 4.
	MaxHolders int
	// HalfLife is the age at which the confidence that an upstream still holds a piece is 1/2; default 60 s. It is not an
	// exponential half-life: at twice this age, the confidence is 1/3.
	HalfLife time.Duration
}

// PrefixDefaults returns the default settings.
func PrefixDefaults() PrefixSettings {
	return PrefixSettings{MaxPrefixes: 65536, MaxHolders: 4, HalfLife: time.Minute}
}

// Prefixes records which upstreams have computed or used which pieces. It evicts the least recently used names.
type Prefixes struct {
	settings PrefixSettings
	names    map[piece.Name]*list.Element
	recent   *list.List // Most recently used first.
}

type prefix struct {
	name    piece.Name
	holders []holder
}

type holder struct {
	upstream string
	epoch    uint64
	usedAt   time.Time
}

// NewPrefixes returns an empty table.
func NewPrefixes(settings PrefixSettings) *Prefixes {
	return &Prefixes{settings: settings, names: map[piece.Name]*list.Element{}, recent: list.New()}
}

// RecordServed records that an upstream holds the pieces after answering a request.
func (p *Prefixes) RecordServed(upstream string, epoch uint64, pieces []piece.Name, now time.Time) {
	for _, name := range pieces {
		p.touch(name).add(holder{upstream, epoch, now}, p.settings.MaxHolders)
	}
	for len(p.names) > p.settings.MaxPrefixes {
		oldest := p.recent.Back()
		delete(p.names, oldest.Value.(*prefix).name)
		p.recent.Remove(oldest)
	}
}

// RecordMissed records that an upstream lacked pieces that it was expected to hold.
func (p *Prefixes) RecordMissed(upstream string, pieces []piece.Name) {
	for _, name := range pieces {
		if e := p.names[name]; e != nil {
			held := e.Value.(*prefix)
			held.holders = slices.DeleteFunc(held.holders, func(h holder) bool { return h.upstream == upstream })
		}
	}
}

// touch returns the entry of a name, which it adds if needed, and makes it the most recently used one.
func (p *Prefixes) touch(name piece.Name) *prefix {
	if e := p.names[name]; e != nil {
		p.recent.MoveToFront(e)
		return e.Value.(*prefix)
	}
	held := &prefix{name: name}
	p.names[name] = p.recent.PushFront(held)
	return held
}

// add adds a holder and removes the oldest one above the limit.
func (f *prefix) add(h holder, limit int) {
	f.holders = slices.DeleteFunc(f.holders, func(o holder) bool { return o.upstream == h.upstream })
	f.holders = append(f.holders, h)
	if len(f.holders) > limit {
		f.holders = slices.Delete(f.holders, 0, 1)
	}
}

// expectedTokens returns the number of prompt tokens that the upstream is expected to hold, and whether any upstream holds
// the first piece. An upstream whose epoch has changed has restarted with an empty cache.
func (p *Prefixes) expectedTokens(upstream string, epoch uint64, pieces []piece.Name, now time.Time) (tokens int64, anywhere bool) {
	if p == nil {
		return 0, false
	}
	sum := 0.0
	for i, name := range pieces {
		e := p.names[name]
		if e == nil {
			break
		}
		held := e.Value.(*prefix)
		anywhere = anywhere || (i == 0 && len(held.holders) > 0)
		at := slices.IndexFunc(held.holders, func(h holder) bool { return h.upstream == upstream })
		if at < 0 || (epoch != 0 && held.holders[at].epoch != epoch) {
			break
		}
		sum += piece.TokensPerPiece * p.confidence(now.Sub(held.holders[at].usedAt))
	}
	return int64(sum), anywhere
}

// confidence is 1 right after the upstream used the piece, 1/2 after a half-life and 1/3 after two.
func (p *Prefixes) confidence(age time.Duration) float64 {
	return 1 / (1 + age.Seconds()/p.settings.HalfLife.Seconds())
}
