package scenario

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
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
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != want {
		return notYet("%s answers %d to /readyz, want %d", name, response.StatusCode, want)
	}
	return nil
}

// liveMetric counts the processes that an entry sees as live.
const liveMetric = "wasabishunt_live_processes "

// seesLive checks that an entry sees at least so many processes as live.
func (s *state) seesLive(entry, want int) error {
	base, err := s.fleet.StatusURL(fmt.Sprintf("entry-%d", entry+1))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/metrics", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), liveMetric); ok {
			if live, err := strconv.ParseFloat(value, 64); err != nil || int(live) < want {
				return notYet("entry-%d sees %s live processes, want %d", entry+1, value, want)
			}
			return nil
		}
	}
	return notYet("entry-%d has no metric %s", entry+1, liveMetric)
}
