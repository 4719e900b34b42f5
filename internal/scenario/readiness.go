package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
)

func (s *state) readiness(name string, want int) error {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "entry-"))
	if err != nil {
		return err
	}
	return s.answersReadyz(name, s.fleet.EntryURL(n-1), want)
}

// status checks what a store says at its status address.
func (s *state) status(name string, want int) error {
	base, err := s.fleet.StatusURL(name)
	if err != nil {
		return err
	}
	return s.answersReadyz(name, base, want)
}

func (s *state) answersReadyz(name, base string, want int) error {
	status, _, err := fleet.Readyz(s.ctx, base)
	if err != nil {
		return err
	}
	if status != want {
		return notYet("%s answers %d to /readyz, want %d", name, status, want)
	}
	return nil
}

// liveMetric counts the processes that an entry sees as live.
const liveMetric = "wasabishunt_live_processes"

// seesLive checks that an entry, counted from 1, sees at least so many processes as live.
func (s *state) seesLive(entry, want int) error {
	name := fmt.Sprintf("entry-%d", entry)
	metrics, err := s.fleet.Metrics(s.ctx, name)
	if err != nil {
		return err
	}
	if live := int(metrics[liveMetric]); live < want {
		return notYet("%s sees %d live processes, want %d", name, live, want)
	}
	return nil
}
