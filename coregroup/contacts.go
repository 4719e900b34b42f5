package coregroup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/supervise"
)

const (
	// maxContacts is above the number of core members of any deployment.
	maxContacts = 32
	// contactLifetime is how long an address is kept after it was last reported.
	contactLifetime = time.Minute
	// meetInterval is the pause between Meet calls of a node that has contacts.
	meetInterval = time.Second
)

// contacts holds the addresses of core members that other nodes reported, each with the time of its last report.
// contacts.mu is a leaf lock: no other lock is acquired while it is held.
type contacts struct {
	mu         sync.Mutex
	lastReport map[string]time.Time
}

func (c *contacts) add(addresses []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastReport == nil {
		c.lastReport = map[string]time.Time{}
	}
	for _, address := range addresses {
		if _, known := c.lastReport[address]; known || len(c.lastReport) < maxContacts {
			c.lastReport[address] = now
		}
	}
}

func (c *contacts) list(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for address, reported := range c.lastReport {
		if now.Sub(reported) > contactLifetime {
			delete(c.lastReport, address)
			continue
		}
		list = append(list, address)
	}
	slices.Sort(list)
	return list
}

// Contacts returns the known addresses of core members: those that were reported and those of the current members.
func (g *Group) Contacts() []string {
	list := g.contacts.list(time.Now())
	for _, m := range g.Members() {
		list = append(list, m.GetAddress())
	}
	return lo.Uniq(list)
}

// AddContacts records addresses of core members.
func (g *Group) AddContacts(addresses []string) { g.contacts.add(addresses, time.Now()) }

// Meet implements the Meet call of the node service: both sides exchange the addresses of core members.
func (g *Group) Meet(_ context.Context, q *nodepb.Contacts) (*nodepb.Contacts, error) {
	g.AddContacts(q.GetCoreAddresses())
	return &nodepb.Contacts{CoreAddresses: g.Contacts()}, nil
}

// keepContacts calls Meet on the seeds repeatedly. All nodes have the addresses of the seeds, but seeds that have just
// started have no address of a member yet.
func (g *Group) keepContacts(ctx context.Context) {
	for ctx.Err() == nil {
		known := g.Contacts()
		var calls sync.WaitGroup
		for _, seed := range lo.Without(g.options.Seeds(), g.options.Address) {
			calls.Go(func() { _ = supervise.Call(g.options.Log, "meeting", func() { g.meet(ctx, seed, known) }) })
		}
		calls.Wait()
		pause := meetInterval
		if len(g.Contacts()) == 0 {
			pause = joinInterval
		}
		clock.Sleep(ctx, pause)
	}
}

func (g *Group) meet(ctx context.Context, seed string, known []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := g.pool.Get(ctx, seed)
	defer func() { _ = conn.Close() }()
	response, err := nodepb.NewDRPCNodeClient(conn).Meet(ctx, &nodepb.Contacts{CoreAddresses: known})
	if err != nil {
		// A seed may be down; the next round calls it again.
		return
	}
	g.AddContacts(response.GetCoreAddresses())
}
