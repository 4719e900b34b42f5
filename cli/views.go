package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/membership"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// memberRow is one control member, for -o json.
type memberRow struct {
	Address    string `json:"address"`
	ID         uint64 `json:"id,omitempty"`
	Role       string `json:"role,omitempty"`
	Term       uint64 `json:"term,omitempty"`
	Commit     uint64 `json:"commit,omitempty"`
	Applied    uint64 `json:"applied,omitempty"`
	SetVersion uint64 `json:"set_version"`
	Bookings   int64  `json:"bookings"`
	// EvacuatedZones are those that the member knows.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// StateAgeMs is how long ago the member's state was known to be current, 0 if unknown.
	StateAgeMs uint64 `json:"state_age_ms,omitempty"`
	Error      string `json:"error,omitempty"`
}

func memberRowOf(m controlclient.MemberStatus) memberRow {
	if m.Err != nil {
		return memberRow{Address: m.Address, Role: "unreachable", Error: m.Err.Error()}
	}
	s := m.Status
	role := "follower"
	for _, member := range s.GetMembers().GetMembers() {
		if member.Id == s.MemberId && member.Learner {
			role = "learner"
		}
	}
	if s.LeaderId == s.MemberId {
		role = "leader"
	}
	return memberRow{
		Address: m.Address, ID: s.MemberId, Role: role, Term: s.Term, Commit: s.CommitIndex,
		Applied: s.AppliedIndex, SetVersion: s.SetVersion, Bookings: s.Bookings, EvacuatedZones: s.EvacuatedZones,
		StateAgeMs: s.StateAgeMs,
	}
}

func (p *program) status(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, p.args.Timeout)
	defer cancel()
	var rows []memberRow
	leader := false
	for _, m := range p.client.StatusAll(ctx, true) {
		row := memberRowOf(m)
		leader = leader || row.Role == "leader"
		rows = append(rows, row)
	}
	if p.args.Output == "json" {
		p.json(rows)
	} else {
		p.printMembers(rows)
	}
	if !leader {
		_, _ = fmt.Fprintln(p.stderr, "no member leads")
		return ExitRefused
	}
	return ExitOK
}

func (p *program) printMembers(rows []memberRow) {
	lines := [][]string{{"MEMBER", "ADDRESS", "ROLE", "TERM", "COMMIT", "APPLIED", "SET", "BOOKINGS", "ERROR"}}
	for _, r := range rows {
		lines = append(lines, []string{
			number(r.ID), r.Address, r.Role, number(r.Term), number(r.Commit), number(r.Applied),
			number(r.SetVersion), strconv.FormatInt(r.Bookings, 10), r.Error,
		})
	}
	p.table(lines)
	// Members execute the same log: the one that has applied most has the newest zones, whether it leads or not.
	newest := -1
	for i, r := range rows {
		if r.Error == "" && (newest < 0 || r.Applied > rows[newest].Applied || r.Applied == rows[newest].Applied && r.Role == "leader") {
			newest = i
		}
	}
	if newest >= 0 {
		r := rows[newest]
		p.printEvacuated(r.EvacuatedZones, r.Address, r.StateAgeMs)
	}
}

// currentStateMs is the age up to which the state of a member counts as current: members are in contact each few hundred milliseconds.
const currentStateMs = 1000

// printEvacuated prints the evacuated zones that a member knows, and how old its state is. It prints nothing if there are none by a current state.
func (p *program) printEvacuated(zones []string, member string, ageMs uint64) {
	if len(zones) == 0 && ageMs > 0 && ageMs <= currentStateMs {
		return
	}
	age := "the age of its state is unknown"
	if ageMs > 0 {
		age = fmt.Sprintf("its state is %v old", time.Duration(ageMs)*time.Millisecond)
	}
	_, _ = fmt.Fprintf(p.stdout, "evacuated zones: %s (by member %s, %s)\n", cmp.Or(strings.Join(zones, ", "), "none known"), member, age)
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

// distribution lists which processes have a version, for -o json.
type distribution struct {
	Version   uint64       `json:"version"`
	InForce   int          `json:"in_force"`
	Missing   int          `json:"missing"`
	Processes []processRow `json:"processes"`
	// EvacuatedZones are those of the member with the newest memberships.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// EvacuatedZonesFrom is the address of that member, StateAgeMs how long ago its state was known to be current, 0 if unknown.
	EvacuatedZonesFrom string `json:"evacuated_zones_from,omitempty"`
	StateAgeMs         uint64 `json:"state_age_ms,omitempty"`
	// Unreachable lists members that did not answer. Processes that report to them may be shown as missing.
	Unreachable []string `json:"unreachable_members,omitempty"`
}

type processRow struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Serves     string `json:"serves,omitempty"`
	Zone       string `json:"zone,omitempty"`
	State      string `json:"state"`
	SetVersion uint64 `json:"set_version"`
	// Missing is the reason why the version is not in force, or why the process is leaving; empty if it is in force
	// and the process is live.
	Missing string `json:"missing,omitempty"`
}

// distribute combines the members' answers: only the member that a process reports to has the process's version.
func distribute(members []controlclient.MemberStatus) distribution {
	var d distribution
	processes := map[string]*controlpb.ProcessState{}
	newest := uint64(0)
	for _, m := range members {
		if m.Err != nil {
			d.Unreachable = append(d.Unreachable, m.Address)
			continue
		}
		d.Version = max(d.Version, m.Status.SetVersion)
		for _, p := range m.Status.Processes {
			existing := processes[p.ProcessId]
			if existing == nil {
				processes[p.ProcessId] = p
				continue
			}
			version := max(existing.SetVersion, p.SetVersion)
			if m.Status.MembershipRevision > newest {
				processes[p.ProcessId], existing = p, p
			}
			existing.SetVersion = version
		}
		isFresher := d.StateAgeMs == 0 || m.Status.StateAgeMs > 0 && m.Status.StateAgeMs < d.StateAgeMs
		if m.Status.MembershipRevision > newest || m.Status.MembershipRevision == newest && isFresher {
			newest, d.EvacuatedZones = m.Status.MembershipRevision, m.Status.EvacuatedZones
			d.EvacuatedZonesFrom, d.StateAgeMs = m.Address, m.Status.StateAgeMs
		}
	}
	for _, state := range processes {
		row := processRowOf(state, d.Version)
		if state.State != membership.Dead && state.SetVersion >= d.Version && d.Version > 0 {
			d.InForce++
		} else if state.State == membership.Live {
			d.Missing++
		}
		d.Processes = append(d.Processes, row)
	}
	slices.SortFunc(d.Processes, func(a, b processRow) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

func processRowOf(p *controlpb.ProcessState, version uint64) processRow {
	row := processRow{
		ID: p.ProcessId, Role: p.Role, Serves: p.Serves, Zone: p.AvailabilityZone, State: p.State, SetVersion: p.SetVersion,
	}
	switch {
	case p.State == membership.Dead:
		row.Missing = "dead: " + p.Reason
	case p.SetVersion == 0:
		row.Missing = "has reported no version to a reachable member"
	case p.SetVersion < version:
		row.Missing = fmt.Sprintf("%d versions behind", version-p.SetVersion)
	}
	if p.State == membership.Leaving {
		// A leaving process takes no new work, and its record stays after the process has ended.
		row.Missing = strings.TrimSuffix("leaving: "+p.Reason+"; "+row.Missing, "; ")
	}
	return row
}

// watch shows the distribution once. With --wait it first waits until no live process lacks the version, or until the
// wait ends.
func (p *program) watch(ctx context.Context, command *watchCommand) int {
	ctx, cancel := context.WithTimeout(ctx, p.args.Timeout+command.Wait)
	defer cancel()
	deadline := time.Now().Add(command.Wait)
	d := distribute(p.client.StatusAll(ctx, false))
	for (d.Missing > 0 || d.Version == 0) && time.Now().Before(deadline) && sleep(ctx, watchInterval) {
		d = distribute(p.client.StatusAll(ctx, false))
	}
	if p.args.Output == "json" {
		p.json(d)
	} else {
		p.printDistribution(d)
	}
	if d.Missing > 0 || len(d.Unreachable) > 0 || d.Version == 0 {
		return ExitRefused
	}
	return ExitOK
}

// watchInterval is the time between two status calls.
const watchInterval = 250 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (p *program) printDistribution(d distribution) {
	_, _ = fmt.Fprintf(p.stdout, "version %d: in force on %d processes, missing on %d\n", d.Version, d.InForce, d.Missing)
	for _, address := range d.Unreachable {
		_, _ = fmt.Fprintf(p.stdout, "control member %s is unreachable\n", address)
	}
	if d.EvacuatedZonesFrom != "" {
		p.printEvacuated(d.EvacuatedZones, d.EvacuatedZonesFrom, d.StateAgeMs)
	}
	lines := [][]string{{"PROCESS", "ROLE", "SERVES", "ZONE", "STATE", "SET", "NOTE"}}
	for _, r := range d.Processes {
		lines = append(lines, []string{r.ID, r.Role, r.Serves, r.Zone, r.State, number(r.SetVersion), r.Missing})
	}
	p.table(lines)
}

// auditRow is one record, for -o json.
type auditRow struct {
	Sequence    uint64 `json:"sequence"`
	Time        string `json:"time"`
	Operator    string `json:"operator"`
	Action      string `json:"action"`
	Accepted    bool   `json:"accepted"`
	FromVersion uint64 `json:"from_version,omitempty"`
	ToVersion   uint64 `json:"to_version,omitempty"`
	OperationID string `json:"operation_id"`
	Reason      string `json:"reason,omitempty"`
}

func (p *program) audit(ctx context.Context, command *auditCommand) int {
	response, err := p.client.Audit(ctx, &controlpb.AuditRequest{
		Operator: p.operator(), After: command.After, Limit: int32(command.Limit),
	})
	if err != nil {
		// Reading the trail changes nothing, so the outcome of a failed call is never unknown.
		return p.finish(report{}, failure.Wrap(err, failure.Of(err).Kind, failure.NotRun, "read the audit trail"), "", "")
	}
	rows := []auditRow{}
	for _, r := range response.Records {
		rows = append(rows, auditRow{
			Sequence: r.Sequence, Time: time.UnixMilli(r.UnixMs).UTC().Format(time.RFC3339), Operator: r.Operator, Action: r.Action,
			Accepted: r.Accepted, FromVersion: r.FromVersion, ToVersion: r.ToVersion, OperationID: r.OperationId, Reason: r.Reason,
		})
	}
	if p.args.Output == "json" {
		p.json(rows)
		return ExitOK
	}
	p.printAudit(rows, command)
	return ExitOK
}

func (p *program) printAudit(rows []auditRow, command *auditCommand) {
	lines := [][]string{{"SEQUENCE", "TIME", "OPERATOR", "ACTION", "RESULT", "FROM", "TO", "OPERATION", "REASON"}}
	for _, r := range rows {
		result := "refused"
		if r.Accepted {
			result = "accepted"
		}
		lines = append(lines, []string{
			number(r.Sequence), r.Time, r.Operator, r.Action, result, number(r.FromVersion), number(r.ToVersion), r.OperationID, r.Reason,
		})
	}
	p.table(lines)
	if len(rows) > 0 && len(rows) >= command.Limit {
		_, _ = fmt.Fprintf(p.stdout, "next page: --after %d\n", rows[len(rows)-1].Sequence)
	}
}
