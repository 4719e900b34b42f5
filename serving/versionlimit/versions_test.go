package versionlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an announcement that lifts the limit of an earlier version, and against values that change after they were read.
func TestVersions(t *testing.T) {
	const limit = 10 * time.Second
	start := time.Now()
	var none Versions
	require.Zero(t, none.Newest())
	one := none.Record(2, start)
	two := one.Record(5, start.Add(6*time.Second))
	require.Zero(t, none.Newest())
	require.EqualValues(t, 2, one.Newest())
	require.EqualValues(t, 5, two.Newest())
	for _, c := range []struct {
		after    time.Duration
		required uint64
	}{{limit - 1, 0}, {limit, 2}, {limit + 6*time.Second - 1, 2}, {limit + 6*time.Second, 5}} {
		require.Equal(t, c.required, two.After(limit, start.Add(c.after)).Required(), "after %s", c.after)
	}
	for name, c := range map[string]struct {
		v       Versions
		pending []uint64
	}{
		"an older version later":       {two.Record(3, start.Add(8*time.Second)), []uint64{2, 5}},
		"a version between":            {two.Record(3, start.Add(3*time.Second)), []uint64{2, 3, 5}},
		"word of an earlier time":      {two.Record(5, start.Add(3*time.Second)), []uint64{2, 5}},
		"a higher version before all":  {two.Record(9, start.Add(-time.Second)), []uint64{9}},
		"a version past its limit":     {two.Require(3), []uint64{5}},
		"the newest one past its":      {two.Require(5), nil},
		"the newest one alone":         {two.OnlyNewest(), []uint64{5}},
		"two in quick succession":      {two.Record(6, start.Add(6*time.Second+1)), []uint64{2, 5, 6}},
		"three in quick succession":    {two.Record(6, start.Add(6*time.Second+1)).Record(7, start.Add(6*time.Second+2)), []uint64{2, 5, 7}},
		"one that is required already": {two.Require(5).Record(4, start), nil},
	} {
		var pending []uint64
		for version := range c.v.Pending() {
			pending = append(pending, version)
		}
		require.Equal(t, c.pending, pending, name)
	}
}
