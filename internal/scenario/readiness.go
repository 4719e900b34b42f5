package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
)

func (s *state) entryReadiness(name string, want int) error {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "entry-"))
	if err != nil {
		return err
	}
	return s.checkReadyz(name, s.fleet.EntryURL(n-1), want)
}

// storeReadiness checks the HTTP status of /readyz at a store's status address.
func (s *state) storeReadiness(name string, want int) error {
	base, err := s.fleet.StatusURL(name)
	if err != nil {
		return err
	}
	return s.checkReadyz(name, base, want)
}

func (s *state) checkReadyz(name, base string, want int) error {
	status, _, err := fleet.Readyz(s.ctx, base)
	if err != nil {
		return err
	}
	if status != want {
		return notMet("%s answers %d to /readyz, want %d", name, status, want)
	}
	return nil
}

// liveMetric counts the processes that are live in an entry's view.
const liveMetric = "wasabishunt_live_processes"

// checkLiveProcesses checks that an entry, counted from 1, has at least the wanted number of live processes
// in its view.
func (s *state) checkLiveProcesses(entry, want int) error {
	name := fmt.Sprintf("entry-%d", entry)
	metrics, err := s.fleet.Metrics(s.ctx, name)
	if err != nil {
		return err
	}
	if live := int(metrics[liveMetric]); live < want {
		return notMet("%s sees %d live processes, want %d", name, live, want)
	}
	return nil
}
