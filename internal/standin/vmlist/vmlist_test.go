package vmlist_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/internal/standin/vmlist"
)

// Guards against a stand-in without lag, with which tests would not notice that the platform's list lags.
func TestReadersSeeTheListAsItWasALagAgo(t *testing.T) {
	now := time.Unix(1000, 0)
	s := vmlist.New(10*time.Second, func() time.Time { return now })
	s.Apply(vmlist.Change{VM: "vm1", Address: "127.0.0.1:1", State: vmlist.Live})
	assert.Empty(t, s.Visible().VMs)
	now = now.Add(10 * time.Second)
	s.Apply(vmlist.Change{VM: "vm1", Address: "127.0.0.1:1", State: vmlist.Leaving})
	assert.Equal(t, vmlist.List{Version: 1, VMs: []vmlist.VM{{VM: "vm1", Address: "127.0.0.1:1", State: "live", Version: 1}}}, s.Visible())
	s.SetLag(0)
	assert.Equal(t, vmlist.Leaving, s.Visible().VMs[0].State)
	s.Apply(vmlist.Change{VM: "vm1"})
	assert.Equal(t, vmlist.List{Version: 3, VMs: nil}, s.Visible())
}
