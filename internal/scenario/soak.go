package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
)

const (
	// soakRound is the scheduled time of one round: a fault, its end and some time to recover.
	soakRound = 10 * time.Second
	// soakFinishTime is reserved for the final checks.
	soakFinishTime = 20 * time.Second
	// maxSoakFault is above the limits for stale sets (4 s), presence (3 s) and elections (2 s).
	maxSoakFault = 7 * time.Second
)

const soakStart = `# Random faults under mixed load. seed %d
fleet controls=3 entries=2 stores=2 upstreams=3 services=2 unfenced=1 decode=100 cache=6000
load chat ask parallel=6 tokens=40 pause=20ms
load whole ask whole parallel=2 tokens=20 pause=20ms account=2
load long ask parallel=2 long=4500 topic=soak tokens=10 pause=100ms
load night ask rank=night parallel=4 tokens=60 pause=50ms account=2
load callers book parallel=4 pause=50ms
await started chat 12
mark begun
`

const soakFinish = `heal
await leader
await voters 3
await ready entry-1
await ready entry-2
await live
publish eventually
mark last
await live
within last 7s
endload chat
endload whole
endload long
endload night
endload callers
ask entry=1 count=4
ask entry=2 count=4
book key=last eventually
check
`

// soak writes one script.
type soak struct {
	random *rand.Rand
	script strings.Builder
	round  int
}

// SoakScript returns a script of random faults whose schedule takes the given time; the same seed gives the same script.
func SoakScript(seed uint64, duration time.Duration) string {
	s := &soak{random: rand.New(rand.NewPCG(seed, 0))}
	s.writef(soakStart, seed)
	for s.round = 0; time.Duration(s.round+1)*soakRound <= duration-soakFinishTime; s.round++ {
		s.writeRound()
	}
	s.writef(soakFinish)
	return s.script.String()
}

func (s *soak) writef(format string, args ...any) { fmt.Fprintf(&s.script, format, args...) }

// writeRound writes the commands that inject one or two faults and end them after a random time. At most one control member
// is affected, so that the group keeps its quorum.
func (s *soak) writeRound() {
	s.writef("lasts begun %s\nmark round%d\n", time.Duration(s.round)*soakRound, s.round)
	endCommands := []string{s.writeFault(s.target())}
	if s.random.IntN(2) == 0 {
		if second := s.target(); !strings.Contains(endCommands[0], second) && !strings.HasPrefix(second, "control") {
			endCommands = append(endCommands, s.writeFault(second))
		}
	}
	if s.random.IntN(2) == 0 {
		s.writef("publish eventually weights=%s-v%d\n", fleet.Model, 1+s.random.IntN(2))
	}
	faultDuration := time.Second + time.Duration(s.random.Int64N(int64(maxSoakFault-time.Second)))
	s.writef("lasts round%d %s\n%s", s.round, faultDuration.Round(time.Millisecond), strings.Join(endCommands, ""))
	if s.random.IntN(2) == 0 {
		s.writef("publish eventually\n")
	}
}

// target returns a random process of the system. The service stand-ins are excluded, because they hold the counts of
// executions that bookings are checked against.
func (s *soak) target() string {
	kinds := []struct {
		name  string
		count int
	}{{"control", 3}, {"entry", 2}, {"agent", 3}, {"engine", 3}, {"service-agent", 2}, {"store", 2}}
	kind := kinds[s.random.IntN(len(kinds))]
	return fmt.Sprintf("%s-%d", kind.name, 1+s.random.IntN(kind.count))
}

// writeFault writes the commands that inject a fault and returns those that end it; the latter contain the target's name.
func (s *soak) writeFault(target string) string {
	switch s.random.IntN(8) {
	case 0, 1:
		s.writef("crash %s\n", target)
		return fmt.Sprintf("start %s\n", target)
	case 2, 3:
		s.writef("freeze %s\n", target)
		return fmt.Sprintf("thaw %s\n", target)
	case 4:
		s.writef("isolate %s\n", target)
		return fmt.Sprintf("# %s\nheal\n", target)
	case 5:
		return s.slowLink(target)
	case 6:
		return s.drain(target)
	default:
		return s.restart(target)
	}
}

func (s *soak) slowLink(target string) string {
	if strings.HasPrefix(target, "entry") {
		s.writef("cut %s control-%d\n", target, 1+s.random.IntN(3))
	} else {
		s.writef("slow %s %d\n", target, 2_000+s.random.IntN(50_000))
	}
	return fmt.Sprintf("# %s\nheal\n", target)
}

func (s *soak) drain(target string) string {
	upstream, isAgent := strings.CutPrefix(target, "agent-")
	if !isAgent {
		return s.restart(target)
	}
	s.writef("await operated drain upstream-%s\n", upstream)
	return fmt.Sprintf("# %s\nawait operated drain upstream-%s --undo\n", target, upstream)
}

// restart stops a process gracefully; an engine instead breaks its next stream and loses its next answer.
func (s *soak) restart(target string) string {
	if strings.HasPrefix(target, "engine") {
		s.writef("fault %s '{\"break_next_after\":%d,\"lose_next_answer\":true}'\n", target, s.random.IntN(20))
		return fmt.Sprintf("fault %s '{}'\n", target)
	}
	s.writef("terminate %s\n", target)
	return fmt.Sprintf("exited %s\nstart %s\n", target, target)
}
