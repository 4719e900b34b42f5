// Package detection is an alternative to presence reports that no daemon uses: a failure detector with randomized
// probing and an n-by-n matrix of suspicions in each message. It allows its costs to be measured again (see
// docs/decisions/failure-detection.md).
package detection

import (
	"math/bits"
	"math/rand/v2"
)

// wordBits is the size of one word of a matrix row.
const wordBits = 64

// process is one member with its matrix: bit x of row y is set if process y suspects that x failed.
type process struct {
	failed bool
	rows   [][]uint64
}

// Group is a set of processes that probe each other in cycles.
type Group struct {
	random    *rand.Rand
	processes []process
	// Messages and Bytes count what all processes sent.
	Messages int64
	Bytes    int64
}

// NewGroup returns n live processes.
func NewGroup(n int, random *rand.Rand) *Group {
	words := (n + wordBits - 1) / wordBits
	g := &Group{random: random, processes: make([]process, n)}
	for i := range g.processes {
		rows := make([][]uint64, n)
		for y := range rows {
			rows[y] = make([]uint64, words)
		}
		g.processes[i].rows = rows
	}
	return g
}

// Fail stops a process permanently.
func (g *Group) Fail(id int) { g.processes[id].failed = true }

// MatrixBytes is the size of one matrix, which each process holds and each message carries.
func (g *Group) MatrixBytes() int64 {
	n := int64(len(g.processes))
	return n * ((n + wordBits - 1) / wordBits) * wordBits / 8
}

// Cycle makes each live process probe one other at random. A probe and its response carry the matrix.
func (g *Group) Cycle() {
	for p := range g.processes {
		if g.processes[p].failed {
			continue
		}
		q := g.random.IntN(len(g.processes))
		if q == p {
			continue
		}
		g.send()
		if g.processes[q].failed {
			g.markFailed(p, q)
			continue
		}
		g.merge(q, p)
		g.send()
		g.merge(p, q)
	}
}

// Agreed reports whether the matrices of all live processes show that all live processes suspect id.
func (g *Group) Agreed(id int) bool {
	for p := range g.processes {
		if g.processes[p].failed {
			continue
		}
		for y := range g.processes {
			if !g.processes[y].failed && !g.suspects(p, y, id) {
				return false
			}
		}
	}
	return true
}

// Detected counts the processes that suspect that id failed.
func (g *Group) Detected(id int) int {
	count := 0
	for p := range g.processes {
		count += bits.OnesCount64(g.processes[p].rows[p][id/wordBits] & (1 << (id % wordBits)))
	}
	return count
}

func (g *Group) send() {
	g.Messages++
	g.Bytes += g.MatrixBytes()
}

func (g *Group) markFailed(p, x int) {
	g.processes[p].rows[p][x/wordBits] |= 1 << (x % wordBits)
}

func (g *Group) suspects(p, y, x int) bool {
	return g.processes[p].rows[y][x/wordBits]&(1<<(x%wordBits)) != 0
}

// merge merges the sender's matrix into the receiver's; the receiver also adds the sender's suspicions to its own row.
func (g *Group) merge(receiver, sender int) {
	to, from := g.processes[receiver].rows, g.processes[sender].rows
	for y := range to {
		source := from[y]
		if y == receiver {
			source = from[sender]
		}
		for w := range to[y] {
			to[y][w] |= source[w]
		}
	}
}
