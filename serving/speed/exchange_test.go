package speed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// propertyNode is a node of a zone that applies reports and digests as package placement does: only newer ones of each source.
type propertyNode struct {
	name, zone string
	isRelay    bool
	table      *Table
	instances  []*Instance
	sequence   int
	applied    map[string]int
	history    map[int]Sent
	// merged is the sequence of the newest report of each node of the zone that a relay has applied.
	merged map[string]int
}

// propertyMessage is a report, or a digest if merged is set.
type propertyMessage struct {
	from     *propertyNode
	sequence int
	readings []Reading
	merged   map[string]int
}

func (n *propertyNode) report(now time.Time) propertyMessage {
	n.sequence++
	readings, sent := n.table.Report(now)
	n.history[n.sequence] = sent
	return propertyMessage{from: n, sequence: n.sequence, readings: readings}
}

func (n *propertyNode) digest(now time.Time) propertyMessage {
	n.sequence++
	merged := map[string]int{}
	for name, sequence := range n.merged {
		merged[name] = sequence
	}
	return propertyMessage{from: n, sequence: n.sequence, readings: n.table.Digest(now), merged: merged}
}

func (n *propertyNode) receive(m propertyMessage, now time.Time) {
	if n == m.from || m.sequence <= n.applied[m.from.name] {
		return
	}
	if m.merged == nil {
		if n.isRelay && n.zone == m.from.zone {
			n.applied[m.from.name], n.merged[m.from.name] = m.sequence, m.sequence
			n.table.Apply(m.from.name, true, m.readings, Sent{}, now)
		}
		return
	}
	n.applied[m.from.name] = m.sequence
	var sent Sent
	if n.zone == m.from.zone {
		sent = n.history[m.merged[n.name]]
	}
	n.table.Apply(m.from.zone, false, m.readings, sent, now)
}

// Guards against observations that count more than once when reports and digests are lost, repeated, late or out of order, and against
// estimates outside the range of what was observed. 3 to 300 nodes in up to 4 zones.
func TestEachObservationCountsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		now := time.Unix(1_000_000, 0)
		figures := rapid.Bool().Draw(t, "figures")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		var nodes []*propertyNode
		for i := range rapid.SampledFrom([]int{3, 30, 300}).Draw(t, "nodes") {
			n := &propertyNode{
				name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), isRelay: i < zones, table: NewTable(true), applied: map[string]int{}, history: map[int]Sent{}, merged: map[string]int{},
			}
			for k := range instances {
				n.instances = append(n.instances, n.table.Instance(uint32(k+1), fmt.Sprint("i", k), "s"))
			}
			usualInstance := n.table.Instance(99, "usual", "s")
			if figures {
				n.table.ObserveFigure(usualInstance, 100, now)
			}
			for range minUsualSamples {
				n.table.Observe(usualInstance, AnswerTime, time.Second, time.Second, now)
			}
			nodes = append(nodes, n)
		}
		var onTheWay []propertyMessage
		observed, least, most := make([]int, instances), make([]float64, instances), make([]float64, instances)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			// Few of the nodes are active, so that a node's own observations come back to it.
			n := nodes[rapid.IntRange(0, min(len(nodes), zones+3)-1).Draw(t, "node")]
			relay := nodes[rapid.IntRange(0, min(zones, len(nodes))-1).Draw(t, "relay")]
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				k := rapid.IntRange(0, instances-1).Draw(t, "instance")
				percent := rapid.SampledFrom([]int{60, 90, 100, 130, 250, 900}).Draw(t, "percent")
				if figures {
					now = now.Add(time.Millisecond)
					n.table.ObserveFigure(n.instances[k], percent, now)
				} else {
					n.table.Observe(n.instances[k], AnswerTime, time.Duration(percent)*time.Second/100, time.Second, now)
				}
				observed[k]++
				// The usual time of a service moves a little with each observation.
				least[k], most[k] = min(least[k], math.Log(float64(percent)/100)-1.1), max(most[k], math.Log(float64(percent)/100)+1.1)
			case 1, 2:
				onTheWay = append(onTheWay, n.report(now), relay.digest(now))
			case 3:
				onTheWay = append(onTheWay, relay.digest(now))
			default:
				// Any message may arrive now, again, or never.
				if len(onTheWay) > 0 {
					m := onTheWay[rapid.IntRange(max(0, len(onTheWay)-6), len(onTheWay)-1).Draw(t, "message")]
					for _, to := range nodes {
						to.receive(m, now)
					}
				}
			}
			for _, n := range append([]*propertyNode{nodes[len(nodes)-1]}, nodes[:min(len(nodes), zones+3)]...) {
				for k, i := range n.instances {
					total := i.total(now)
					if !figures {
						require.LessOrEqual(t, total.weight, float64(observed[k])+1e-6, "%s at %s", i.name, n.name)
					}
					log := math.Log(i.Estimate(now))
					require.GreaterOrEqual(t, log, least[k])
					require.LessOrEqual(t, log, most[k])
				}
			}
		}
		for _, n := range nodes {
			for k, i := range n.instances {
				if !figures {
					require.LessOrEqual(t, i.total(now).weight, float64(observed[k])+1e-6, "%s at %s", i.name, n.name)
				}
				require.InDelta(t, 1, i.Estimate(now.Add(30*time.Second)), 0.01, "without news")
			}
		}
	})
}

// Guards against a source that still counts after it ceased to report, when its zone is reported by another one.
func TestDroppedSourceNoLongerCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(true)
	i := table.Instance(1, "i", "s")
	slow := []Reading{{Key: 1, Percent: 250, Samples: 80}}
	require.Equal(t, 1, table.Apply("a", true, slow, Sent{}, now))
	once := i.Estimate(now)
	require.Greater(t, once, 2.0)
	table.Apply("a", true, slow, Sent{}, now)
	require.InDelta(t, once, i.Estimate(now), 1e-9)
	table.Apply("z", false, slow, Sent{}, now)
	require.Greater(t, i.Estimate(now), once)
	table.Drop("z", now)
	require.InDelta(t, once, i.Estimate(now), 1e-9)
	table.Drop("a", now)
	table.Drop("a", now)
	require.Equal(t, 1.0, i.Estimate(now))
	table.Apply("a", true, slow, Sent{}, now)
	table.Remove(i)
	require.Equal(t, 1.0, table.Instance(1, "i", "s").Estimate(now), "a new incarnation starts at 1")
	table.Drop("a", now)
}
