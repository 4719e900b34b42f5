package scenario

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/objectset"
)

// publishTimeout limits the resends of a publish whose outcome is unknown.
const publishTimeout = 20 * time.Second

// exitUnknown is the exit code of an operators' command whose outcome is unknown.
const exitUnknown = 3

// resendUntilAccepted resends a publish with one operation id until control accepts it.
func (s *state) resendUntilAccepted(_ context.Context, operator string, args ...string) (result fleet.CommandResult, err error) {
	args = append(args, "--operation-id", uuid.NewString())
	err = s.poll(func() error {
		var err error
		result, err = s.fleet.Operate(s.ctx, operator, args...)
		if err == nil && result.ExitCode != 0 {
			err = notMet("publish exited with %d: %s", result.ExitCode, result.Stderr)
		}
		return err
	})
	return result, err
}

func (s *state) publishFirst(ts *testscript.TestScript) {
	s.weights = fleet.Model + "-v1"
	result, err := s.fleet.OperateUntilDone(s.ctx, publishTimeout, fleet.Operator, "publish", s.writeSet(ts, "set.json", s.objectSet(s.weights)), "--expect-version", "0")
	ts.Check(err)
	if result.ExitCode != 0 {
		ts.Fatalf("first publish exited with %d: %s%s", result.ExitCode, result.Stdout, result.Stderr)
	}
	s.recordAccepted(1, s.weights)
}

func (s *state) recordAccepted(version uint64, weights string) {
	s.version, s.weights = version, weights
	if !slices.Contains(s.weightVersions, weights) {
		s.weightVersions = append(s.weightVersions, weights)
	}
}

func (s *state) objectSet(weights string) *objectset.Set {
	set := s.fleet.ObjectSet()
	set.Models[0].WeightVersion = weights
	return set
}

func (s *state) writeSet(ts *testscript.TestScript, name string, set *objectset.Set) string {
	document, err := json.Marshal(set)
	ts.Check(err)
	path := ts.MkAbs(name)
	ts.Check(os.WriteFile(path, document, 0o600))
	return path
}

// publish [weights=V] [expect=N] [operation=ID] [operator=NAME] [weight=W] [drop=account-N] [count=N] [unknown] [eventually]
//
// Publishes a set once; its outcome must be known, or with unknown must be unknown. With eventually it is resent, with
// the same operation id, until control accepts it. With ! it must be refused. weight sets the weight of account-1, so
// that sets differ; drop omits an account. With count it publishes that many versions, each with another weight.
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, "weights", "expect", "operation", "operator", "weight", "drop", "count")
	for range o.number("count", 1) {
		expect := o.number("expect", int(s.version))
		set := s.objectSet(o.text("weights", s.weights))
		set.Accounts[0].Weight = float64(o.number("weight", expect+1))
		if name := o.text("drop", ""); name != "" {
			set.Accounts = slices.DeleteFunc(set.Accounts, func(a objectset.Account) bool { return a.Name == name })
		}
		command := []string{"publish", s.writeSet(ts, "set.json", set), "--expect-version", strconv.Itoa(expect)}
		if id := o.text("operation", ""); id != "" {
			command = append(command, "--operation-id", id)
		}
		operate := s.fleet.Operate
		if o.flag("eventually") {
			operate = s.resendUntilAccepted
		}
		result, err := operate(s.ctx, o.text("operator", fleet.Operator), command...)
		ts.Check(err)
		ts.Setenv("PUBLISH_OUTPUT", result.Stdout+result.Stderr)
		switch {
		case result.ExitCode == 0 && o.flag("unknown"):
			ts.Fatalf("the outcome of publish is known: %s", result.Stdout)
		case result.ExitCode == 0 && neg:
			ts.Fatalf("publish was accepted: %s", result.Stdout)
		case result.ExitCode == 0:
			s.recordAccepted(max(s.version, uint64(expect)+1), set.Models[0].WeightVersion)
		case result.ExitCode == exitUnknown && o.flag("unknown"):
			ts.Logf("outcome of publish is unknown: %s", result.Stderr)
		case result.ExitCode == 1 && neg:
			ts.Logf("publish was refused: %s%s", result.Stdout, result.Stderr)
		default:
			ts.Fatalf("publish exited with %d: %s%s", result.ExitCode, result.Stdout, result.Stderr)
		}
	}
}
