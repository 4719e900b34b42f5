package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/serving/versionlimit"
)

const testLimit = 9 * time.Second

var named = time.Now()

// at returns a time after the first naming.
func at(seconds float64) time.Time { return named.Add(time.Duration(seconds * float64(time.Second))) }

func (n *Named) with(now time.Time, namings ...Naming) *Named {
	next, _ := n.Accept(namings, now)
	return next
}

// Guards against the time limit of a version that ends when a newer one is named, and against a newer version that is required at once.
func TestEachVersionHasItsOwnLimit(t *testing.T) {
	n := NewNamed(testLimit)
	for _, c := range []struct {
		at              float64
		named, required uint64
	}{{0, 2, 0}, {6, 3, 0}, {8.9, 0, 0}, {9, 0, 2}, {12, 5, 2}, {14.9, 0, 2}, {15, 0, 3}, {20.9, 0, 3}, {21, 0, 5}, {1000, 0, 5}} {
		n = n.with(at(c.at), Naming{Model: "m", Version: c.named})
		require.Equal(t, c.required, n.Required("m", at(c.at)), "after %v s", c.at)
	}
	require.EqualValues(t, 5, n.Newest("m"))
	require.Equal(t, map[string]uint64{"m": 5}, n.NewestOfAll())
}

// Guards against versions of one model that limit another one.
func TestModelsHaveSeparateVersions(t *testing.T) {
	n := NewNamed(testLimit).with(at(0), Naming{Model: "a", Version: 7}, Naming{Model: "b", Version: 2}).with(at(5), Naming{Model: "b", Version: 3})
	require.EqualValues(t, 7, n.Required("a", at(10)))
	require.EqualValues(t, 2, n.Required("b", at(10)))
	require.Zero(t, n.Required("c", at(10)))
	require.Zero(t, n.Newest("c"))
}

// Guards against a process that starts or hears late and counts a version from then on, or takes a version named a moment ago for an old one.
func TestWordOfOtherProcesses(t *testing.T) {
	n := NewNamed(testLimit).with(at(0), Naming{Model: "m", Version: 4, Age: 2 * time.Second}, Naming{Model: "m", Version: 3, Required: true}, Naming{Model: "m", Version: 4, Age: 5 * time.Second}, Naming{Model: "m", Version: 4})
	require.EqualValues(t, 3, n.Required("m", at(0)))
	require.EqualValues(t, 3, n.Required("m", at(3.9)))
	require.EqualValues(t, 4, n.Required("m", at(4)), "the earliest naming counts")
	require.EqualValues(t, 4, n.Newest("m"))
	same, change := n.Accept(n.Namings(at(1)), at(1))
	require.Same(t, n, same, "word of what is known changes nothing")
	require.Empty(t, change)
	other, change := NewNamed(testLimit).Accept(n.Namings(at(1)), at(1))
	require.Len(t, change.Named, 2)
	require.Equal(t, []Naming{{Model: "m", Version: 3, Required: true}}, change.Required)
	for _, seconds := range []float64{1, 3.9, 4, 50} {
		require.Equal(t, n.Required("m", at(seconds)), other.Required("m", at(seconds)))
	}
}

// Guards against requests that are limited although the settings name no limit.
func TestVersionsWithoutALimit(t *testing.T) {
	n := NewNamed(0)
	for version := range uint64(50) {
		n = n.with(at(float64(version)), Naming{Model: "m", Version: version + 1})
	}
	require.Zero(t, n.Required("m", at(1000)))
	require.EqualValues(t, 50, n.Newest("m"))
	require.Len(t, n.Namings(at(1000)), 1, "what is kept must not grow with each version")
}

// Guards against namings in quick succession that are all kept and sent with each update, or that put off each other's limits.
func TestNamingsInQuickSuccession(t *testing.T) {
	n := NewNamed(testLimit)
	for i := range 3000 {
		n = n.with(at(float64(i)/100), Naming{Model: "m", Version: uint64(i + 1)})
		require.LessOrEqual(t, len(n.Namings(at(float64(i)/100))), 4+2*int(testLimit/versionlimit.Resolution))
	}
	required := n.Required("m", at(30))
	require.LessOrEqual(t, required, uint64(2101))
	require.Greater(t, required, uint64(2101-25), "later than the resolution")
}

// Guards against namings that lift a limit or bring one forward: compares with a list of all namings.
func TestNamedAgainstAllNamings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			version uint64
			at      time.Time
		}
		n := NewNamed(testLimit)
		var all []event
		now, version := named, uint64(0)
		requiredBy := func(now time.Time) (required uint64) {
			for _, e := range all {
				if now.Sub(e.at) >= testLimit {
					required = max(required, e.version)
				}
			}
			return required
		}
		for range rapid.IntRange(1, 120).Draw(t, "namings") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")) >> rapid.IntRange(0, 12).Draw(t, "shorter"))
			naming := Naming{Model: "m"}
			if rapid.Bool().Draw(t, "newer") {
				version += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
				naming.Version = version
			} else {
				naming.Version = uint64(rapid.IntRange(0, int(version)).Draw(t, "version"))
				naming.Age = time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "age"))
			}
			before := n
			n = n.with(now, naming)
			all = append(all, event{naming.Version, now.Add(-naming.Age)})
			required := n.Required("m", now)
			require.LessOrEqual(t, required, requiredBy(now))
			require.GreaterOrEqual(t, required, requiredBy(now.Add(-versionlimit.Resolution-time.Second/50)))
			require.GreaterOrEqual(t, required, before.Required("m", now))
			require.Equal(t, version, n.Newest("m"))
		}
	})
}
