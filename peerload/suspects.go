package peerload

import (
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	// suspectsInterval is the number of reports or digests from one with an unchanged list of suspects to the next.
	suspectsInterval = 8
	// suspectsRepeats is the number of reports or digests in a row that carry a change. With one, and 5 in 100 datagrams lost, a node of 300
	// got some changes only with the next unchanged list, 0.5 to 1 s later (15 of 90 after more than 400 ms, none of 90 with three): digests of
	// several zones reach a node in the same datagrams.
	suspectsRepeats = 3
	// maxLoggedParts limits the parts in one log line.
	maxLoggedParts = 8
)

// Quarantine holds the parts of prompts that are suspected of crashing instances. See package quarantine.
type Quarantine interface {
	Revision(now time.Time) (own, all uint64)
	Suspects(now time.Time) []*nodepb.SuspectPart
	Apply(suspects []*nodepb.SuspectPart, now time.Time) (blocked []uint64)
}

// suspectsSender decides which reports and digests carry the suspects.
type suspectsSender struct {
	list             Quarantine
	reports, digests suspectsCursor
}

// suspectsCursor counts the datagrams of one kind; sent is the revision that was last sent, and repeats the number of datagrams that are still
// to carry it.
type suspectsCursor struct {
	count, repeats int
	sent           uint64
}

func (c *suspectsCursor) isDue(revision uint64) bool {
	if c.sent != revision {
		c.sent, c.repeats = revision, suspectsRepeats
	}
	due := c.count%suspectsInterval == 0 || c.repeats > 0
	c.count++
	c.repeats = max(0, c.repeats-1)
	return due
}

// forReport returns the suspects for a report. What this node learned from others changes no report by itself: the relay
// already knows it.
func (s *suspectsSender) forReport(now time.Time) []*nodepb.SuspectPart {
	own, _ := s.list.Revision(now)
	if !s.reports.isDue(own) {
		return nil
	}
	return s.list.Suspects(now)
}

// forDigest returns the suspects for a digest.
func (s *suspectsSender) forDigest(now time.Time) []*nodepb.SuspectPart {
	_, all := s.list.Revision(now)
	if !s.digests.isDue(all) {
		return nil
	}
	return s.list.Suspects(now)
}

// applySuspects merges the suspects of a node or zone.
func (e *Exchange) applySuspects(source string, suspects []*nodepb.SuspectPart, now time.Time) {
	blocked := e.options.Quarantine.Apply(suspects, now)
	if len(blocked) == 0 {
		return
	}
	e.metrics.blockedParts.Inc(int64(len(blocked)))
	parts := lo.Map(blocked[:min(len(blocked), maxLoggedParts)], func(part uint64, _ int) string { return strconv.FormatUint(part, 16) })
	e.options.Log.Info("parts blocked on reports of other nodes", zap.String("node", source), zap.Int("count", len(blocked)), zap.Strings("parts", parts))
}
