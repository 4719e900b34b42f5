package bench

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testSeed is the seed that the bounds of section 7 of docs/design.md are checked with.
const testSeed = 1

// caseNamed returns the first case whose name contains the substring.
func caseNamed(t *testing.T, substring string) *Case {
	t.Helper()
	for _, c := range Cases() {
		if strings.Contains(c.Name, substring) {
			return c
		}
	}
	require.Fail(t, "no case named "+substring)
	return nil
}

func policyNamed(t *testing.T, name string) Policy {
	t.Helper()
	for _, p := range append(Baselines(), Ablations()...) {
		if p.Name == name {
			return p
		}
	}
	require.Fail(t, "no policy named "+name)
	return Policy{}
}

var (
	resultsMu sync.Mutex
	results   = map[resultKey]*Result{}
)

// resultOf returns the result of a case; each case runs once for all tests.
func resultOf(t *testing.T, d *Deployment, part, policy string) *Result {
	t.Helper()
	resultsMu.Lock()
	defer resultsMu.Unlock()
	c, p := caseNamed(t, part), policyNamed(t, policy)
	k := resultKey{d.Name, c.Name, p.Name}
	if results[k] == nil {
		results[k] = Run(d, c, p, testSeed)
	}
	return results[k]
}

// eachDeployment runs a test for both deployments with the complete system.
func eachDeployment(t *testing.T, f func(t *testing.T, run func(part string) *Result)) {
	for _, d := range []*Deployment{DeploymentA(), DeploymentB()} {
		t.Run(d.Name, func(t *testing.T) {
			f(t, func(part string) *Result { return resultOf(t, d, part, "wasabishunt") })
		})
	}
}

// TestUrgentThroughLowFlood guards the target of 99 in 100 urgent requests on time through a flood of the least urgent.
func TestUrgentThroughLowFlood(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		require.GreaterOrEqual(t, run("least urgent").ByRank["urgent"].OnTimeShare(), 0.99)
	})
}

// TestUrgentThroughUrgentFlood guards the target of 99 in 100 urgent requests on time through a fivefold flood of the most
// urgent work.
func TestUrgentThroughUrgentFlood(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		require.GreaterOrEqual(t, run("most urgent x5").ByRank["urgent"].OnTimeShare(), 0.99)
	})
}

// TestUrgentBesideFastFailures guards against entries that prefer engines which fail at once because they look idle.
func TestUrgentBesideFastFailures(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		require.GreaterOrEqual(t, run("fail fast").ByRank["urgent"].OnTimeShare(), 0.99)
	})
}

// TestUrgentBesideSlowEngines guards against entries and agents that rely on configured rates which engines do not reach.
func TestUrgentBesideSlowEngines(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		require.GreaterOrEqual(t, run("quarter").ByRank["urgent"].OnTimeShare(), 0.99)
	})
}

// TestUrgentBesideFullSlots guards the target of 99 in 100 urgent requests on time through a flood of the least urgent work
// that fills the engines' run slots.
func TestUrgentBesideFullSlots(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		require.GreaterOrEqual(t, run("12 slots").ByRank["urgent"].OnTimeShare(), 0.99)
	})
}

// requireFloors checks that each rank got its floor of the tokens served in the flood, or all that it offered if that is
// less. Refused and dropped work counts as offered.
func requireFloors(t *testing.T, r *Result) {
	t.Helper()
	for _, rank := range benchRanks() {
		entitled := min(rank.Floor, r.RankDemand(rank.Name))
		require.GreaterOrEqual(t, r.RankShare(rank.Name), entitled, "%s offered %.3f", rank.Name, r.RankDemand(rank.Name))
	}
}

// TestFloorsInUrgentFlood guards the floors of the other ranks in a fivefold flood of the most urgent work.
func TestFloorsInUrgentFlood(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) { requireFloors(t, run("most urgent x5")) })
}

// TestFloorsBeyondCapacity guards the floors in a flood of the most urgent work far beyond capacity.
func TestFloorsBeyondCapacity(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) { requireFloors(t, run("x30")) })
}

// TestSmallCallers guards the target that the on-time share of small callers stays within 2 percentage points of the calm case.
func TestSmallCallers(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		require.GreaterOrEqual(t, run("large callers").Small.OnTimeShare(), run("calm").Small.OnTimeShare()-0.02)
	})
}

// TestTokenGaps guards the target of at most 40 ms between tokens for 95 in 100 gaps.
func TestTokenGaps(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		gap := time.Duration(run("calm").Gaps.ValueAtQuantile(95)) * time.Microsecond
		require.LessOrEqual(t, gap, 40*time.Millisecond)
	})
}

// TestRecomputedTokens guards the target of at most a third of the recomputed tokens of the least-load baseline.
func TestRecomputedTokens(t *testing.T) {
	eachDeployment(t, func(t *testing.T, run func(string) *Result) {
		for _, d := range []*Deployment{DeploymentA(), DeploymentB()} {
			if !strings.HasSuffix(t.Name(), d.Name) {
				continue
			}
			baseline := resultOf(t, d, "calm", "least load, FIFO")
			require.LessOrEqual(t, run("calm").Recomputed(), baseline.Recomputed()/3)
		}
	})
}

// TestEveryRequestEndsOnce guards against a simulation that loses requests or is not determined by its seed.
func TestEveryRequestEndsOnce(t *testing.T) {
	d := DeploymentA()
	for _, part := range []string{"frozen", "store lost", "swap", "large"} {
		r := resultOf(t, d, part, "wasabishunt")
		total := r.Total()
		require.Equal(t, total.Arrived, total.OnTime+total.Late+total.Refused, part)
	}
	again := Run(d, caseNamed(t, "frozen"), policyNamed(t, "wasabishunt"), testSeed)
	require.Equal(t, resultOf(t, d, "frozen", "wasabishunt").Total(), again.Total())
}
