package scenario

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
)

// runs ENGINE [since=MARK] [version=V] [scope=S] count=N|atleast=N|atmost=N
//
// Checks the number of runs in an engine's log, by default all, with since those that started after a mark.
func cmdRuns(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, "since", "version", "count", "atleast", "atmost", "scope")
	if neg || len(o.words) != 1 {
		ts.Fatalf("usage: runs ENGINE [OPTIONS]")
	}
	var records []engine.RunRecord
	ts.Check(s.fleet.CallStandin(s.ctx, o.words[0], http.MethodGet, "/standin/runs", nil, &records))
	n := 0
	for _, r := range records {
		mark, marked := s.marks[o.text("since", "")]
		if marked && r.StartedUnix < mark.UnixMilli() {
			continue
		}
		if version := o.text("version", r.WeightVersion); version != r.WeightVersion {
			continue
		}
		n++
	}
	if n != o.number("count", n) || n < o.number("atleast", n) || n > o.number("atmost", n) {
		ts.Fatalf("%s has %d runs, want %v", o.words[0], n, o.values)
	}
	ts.Logf("%s has %d runs", o.words[0], n)
}

// pieces ENGINE imports|exports atleast=N|count=N: checks the KV transfers of an engine.
func cmdPieces(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, "atleast", "count")
	if neg || len(o.words) != 2 {
		ts.Fatalf("usage: pieces ENGINE imports|exports atleast=N|count=N")
	}
	check := func() error {
		var state engine.State
		if err := s.fleet.CallStandin(s.ctx, o.words[0], http.MethodGet, "/standin/state", nil, &state); err != nil {
			return err
		}
		n := int(state.Imports)
		if o.words[1] == "exports" {
			n = int(state.Exports)
		}
		if n < o.number("atleast", n) || n != o.number("count", n) {
			return notMet("%s has %d %s, want %v", o.words[0], n, o.words[1], o.values)
		}
		return nil
	}
	checkOutcome(ts, false, s.poll(check), "pieces")
}

// leader returns the name of the control member that is the leader.
func (s *state) leader() (string, error) {
	var members []memberRow
	if err := s.operate(&members, "status"); err != nil {
		return "", err
	}
	for _, m := range members {
		if m.Role == "leader" {
			return fmt.Sprintf("control-%d", m.ID), nil
		}
	}
	return "", notMet("no leader")
}

// followerOf returns a bootstrapped member other than the leader.
func (s *state) followerOf(leader string) string {
	for i := range s.fleet.Shape.Controls {
		if name := "control-" + strconv.Itoa(i+1); name != leader {
			return name
		}
	}
	return ""
}

func (s *state) checkVoters(want string) error {
	var members []memberRow
	if err := s.operate(&members, "status"); err != nil {
		return err
	}
	n := 0
	for _, m := range members {
		if !strings.Contains(m.Role, "learner") && m.Role != "unreachable" {
			n++
		}
	}
	if strconv.Itoa(n) != want {
		return notMet("%d voters, want %s", n, want)
	}
	return nil
}
