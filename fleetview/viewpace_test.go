package fleetview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// TestViewsLeaveTheLinkToOthers guards against views that fill the leader's link while instances change all the time, which delayed load reports and
// requests of its zone by seconds, and against nodes that get a view late or never.
func TestViewsLeaveTheLinkToOthers(t *testing.T) {
	const (
		streams, instances, linkMbps = 69, 150, 100
		step                         = 5 * time.Millisecond
		changeEvery                  = 100 * time.Millisecond
		changing                     = 5 * time.Second
		window                       = 100 * time.Millisecond
	)
	directory, now := upstreams.NewDirectory(), time.Unix(1_000_000, 0)
	list := make([]upstreams.Instance, instances)
	for i := range list {
		list[i] = upstreams.Instance{ID: fmt.Sprint("i-5d7a254b", i), Service: "sede19a", Address: fmt.Sprint("10.2.64.", i, ":8743"), AvailabilityZone: "amman-qweismeh", Versions: map[string]uint64{"vofi760167": 1}}
	}
	version := uint64(1)
	change := func() {
		list = append([]upstreams.Instance(nil), list...)
		version++
		list[0].Versions = map[string]uint64{"vofi760167": version}
		require.True(t, directory.ApplyList(list, now))
	}
	change()
	pace, sent := &viewPace{}, make([]*position, streams)
	for i := range sent {
		sent[i] = &position{}
		require.NotNil(t, pace.viewToSend(directory.View(), sent[i], linkMbps, now), "a node without a view gets it at once")
	}
	changedAt := map[*upstreams.View]time.Time{}
	var sentBytes []int
	for began, last := now, now; now.Sub(began) < changing+2*maxViewDelay; now = now.Add(step) {
		if now.Sub(last) >= changeEvery && now.Sub(began) < changing {
			last = now
			change()
			changedAt[directory.View()] = now
		}
		bytes := 0
		for _, position := range sent {
			former := position.view
			if view := pace.viewToSend(directory.View(), position, linkMbps, now); view != nil {
				bytes += proto.Size(view)
				require.NotEqual(t, former, position.view)
			}
		}
		sentBytes = append(sentBytes, bytes)
	}
	for _, position := range sent {
		require.Equal(t, directory.View(), position.view, "each node gets the newest view")
	}
	steps := int(window / step)
	linkBytes := float64(linkMbps) * 1e6 / 8 * window.Seconds()
	for i := range len(sentBytes) - steps {
		sum := 0
		for _, bytes := range sentBytes[i : i+steps] {
			sum += bytes
		}
		require.Less(t, float64(sum), linkBytes/2, "bytes of views in %v", window)
	}
}

// TestViewsAreNeverHeldBackForLong guards against nodes that send to instances which have left, because views are large for the leader's link.
func TestViewsAreNeverHeldBackForLong(t *testing.T) {
	const streams, bytes, linkMbps = 300, 100_000, 10
	pace, now := &viewPace{}, time.Unix(1_000_000, 0)
	for range 10 {
		for range streams {
			require.LessOrEqual(t, pace.plan(bytes, linkMbps, now).Sub(now), maxViewDelay)
		}
		now = now.Add(maxViewDelay)
	}
	require.Equal(t, now, pace.plan(bytes, 0, now), "without a known bandwidth nothing waits")
}
