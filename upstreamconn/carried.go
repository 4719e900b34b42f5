package upstreamconn

import (
	"context"
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests after which a connection is no longer reused. A connection remembers the ids of all of
// them in at most 2 kB, and at most one connection more is opened for 256 requests.
const maxCarried = 256

var carriedSeed = maphash.MakeSeed()

// Get returns an idle connection or opens one, for the request with the given id. repeatable states whether the request may be
// sent again. A limit above 0 bounds the open connections to the address. If Get fails, no byte of a request has been sent.
//
// Get never returns a connection that it returned for the same id before. Upstreams may write an earlier answer once more, and
// only its id tells that it belongs to an earlier request. A repeated refusal would otherwise be taken for the answer to a
// request that runs.
func (p *Pool) Get(ctx context.Context, id, address string, limit int, repeatable bool) (*Conn, error) {
	hash := maphash.String(carriedSeed, id)
	broke := false
	for {
		conn := p.takeIdle(address, repeatable, func(c *Conn) bool { return !slices.Contains(c.carried, hash) })
		if conn == nil {
			var err error
			if conn, err = p.dial(ctx, address, limit); err != nil {
				return nil, err
			}
			conn.followsBreak = broke
		} else if !conn.alive() {
			broke = true
			conn.Close()
			continue
		}
		conn.carried = append(conn.carried, hash)
		return conn, nil
	}
}

// isWornOut reports whether the connection has carried as many requests as it can remember.
func (c *Conn) isWornOut() bool { return len(c.carried) >= maxCarried }
