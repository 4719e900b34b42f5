package upstreamconn

import "slices"

// IsNew reports whether the connection has never been idle.
func (c *Conn) IsNew() bool { return c.keepUntil.IsZero() }

// FollowsBreak reports whether an idle connection to the same address had ended, before its time, when this one was opened. The process behind
// the address may have been restarted.
func (c *Conn) FollowsBreak() bool { return c.followsBreak }

// SetOpenedWarm records that the instance was known to be warm when the connection was opened. It is called before the connection is released
// for the first time.
func (c *Conn) SetOpenedWarm() { c.openedWarm = true }

// OpenedWarm reports whether SetOpenedWarm was called.
func (c *Conn) OpenedWarm() bool { return c.openedWarm }

// HasWarm reports whether there is an idle connection to an address that was opened while the instance was known to be warm.
func (p *Pool) HasWarm(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], (*Conn).OpenedWarm)
}
