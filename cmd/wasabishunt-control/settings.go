package main

import (
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/settings"
)

// arguments are the flags and environment variables of a control member.
type arguments struct {
	settings.Process

	MemberID         uint64        `arg:"--member-id,env:MEMBER_ID" help:"id of this member, never reused (number)"`
	Group            string        `arg:"--group,env:GROUP" help:"identity of the replicated group (name)"`
	Listen           string        `arg:"--listen,env:LISTEN" help:"IP address and port for processes and members (IP:port)"`
	DataDir          string        `arg:"--data-dir,env:DATA_DIR" help:"data directory, on the state disk (directory)"`
	Bootstrap        []string      `arg:"--bootstrap,separate,env:BOOTSTRAP" help:"first members as ID=ADDRESS or ID=ADDRESS=ZONE, the same on each (ID=IP:port=ZONE, several)"`
	Join             bool          `arg:"--join,env:JOIN" help:"wait to be added to a running group (switch)"`
	OperatorsFile    string        `arg:"--operators-file,env:OPERATORS_FILE" help:"file with lines of operator name and SHA-256 of the token; changes are taken without a restart (file)"`
	VMListURL        string        `arg:"--vm-list-url,env:VM_LIST_URL" help:"URL of the platform's VM list; default none (URL)"`
	VMListInterval   time.Duration `arg:"--vm-list-interval,env:VM_LIST_INTERVAL" default:"1s" help:"time between reads of the VM list (duration)"`
	BookingRetention time.Duration `arg:"--booking-retention,env:BOOKING_RETENTION" default:"24h" help:"how long bookings are kept after their issue (duration)"`
	DeadAfter        time.Duration `arg:"--dead-after,env:DEAD_AFTER" default:"3s" help:"silence after which a process is dead (duration)"`
	MaxWatchers      int           `arg:"--max-watchers,env:MAX_WATCHERS" default:"4096" help:"limit of watch streams (count)"`
	MaxPending       int           `arg:"--max-pending,env:MAX_PENDING" default:"4096" help:"limit of calls that wait for the log (count)"`
	SnapshotEvery    uint64        `arg:"--snapshot-every,env:SNAPSHOT_EVERY" default:"10000" help:"log entries between snapshots (count)"`
	CallTimeout      time.Duration `arg:"--call-timeout,env:CALL_TIMEOUT" default:"2s" help:"limit of a proposal, a read barrier and a call to the leader (duration)"`

	members   []*raftpb.Member
	operators *control.Operators
}

// Validate returns all problems of the settings. It also reads the operators file.
func (a *arguments) Validate() []failure.Problem {
	c := &settings.Checker{}
	if a.MemberID == 0 {
		c.AddProblem("--member-id", "must be above 0")
	}
	c.Required("--group", a.Group, "qasr")
	c.Required("--data-dir", a.DataDir, "/var/lib/wasabishunt")
	a.Process.Check(c, a.Listen)
	a.checkBootstrap(c)
	a.checkOperators(c)
	a.checkLimits(c)
	return c.Problems()
}

func (a *arguments) checkLimits(c *settings.Checker) {
	settings.Positive(c, "--vm-list-interval", a.VMListInterval)
	settings.Positive(c, "--booking-retention", a.BookingRetention)
	settings.Positive(c, "--dead-after", a.DeadAfter)
	settings.Positive(c, "--call-timeout", a.CallTimeout)
	settings.Positive(c, "--max-watchers", a.MaxWatchers)
	settings.Positive(c, "--max-pending", a.MaxPending)
	settings.Positive(c, "--snapshot-every", int64(a.SnapshotEvery))
	if a.VMListURL == "" {
		return
	}
	if u, err := url.Parse(a.VMListURL); err != nil || u.Scheme != "http" || u.Host == "" {
		c.AddProblem("--vm-list-url", "%q is not an http URL", a.VMListURL)
	}
}

// checkBootstrap requires either --join or the first members with this one among them. Without either, a member with an
// empty disk would wait forever without a stated reason.
func (a *arguments) checkBootstrap(c *settings.Checker) {
	if a.Join == (len(a.Bootstrap) > 0) {
		c.AddProblem("--bootstrap", "either --bootstrap or --join must be given")
	}
	seen := map[uint64]bool{}
	for _, text := range a.Bootstrap {
		member, ok := parseMember(text)
		if !ok {
			c.AddProblem("--bootstrap", "%q is not of the form ID=ADDRESS or ID=ADDRESS=ZONE", text)
			continue
		}
		c.Address("--bootstrap", member.Address)
		if seen[member.Id] {
			c.AddProblem("--bootstrap", "member %d is listed twice", member.Id)
		}
		seen[member.Id] = true
		if member.Id == a.MemberID && member.Address != a.Advertise {
			c.AddProblem("--bootstrap", "member %d is this member, but its address is not %s", member.Id, a.Advertise)
		}
		a.members = append(a.members, member)
	}
	if len(a.members) > 0 && !seen[a.MemberID] {
		c.AddProblem("--bootstrap", "the first members do not include this member")
	}
}

func parseMember(text string) (*raftpb.Member, bool) {
	parts := strings.Split(text, "=")
	if len(parts) != 2 && len(parts) != 3 {
		return nil, false
	}
	id, err := strconv.ParseUint(parts[0], 10, 64)
	if err != nil || id == 0 {
		return nil, false
	}
	member := &raftpb.Member{Id: id, Address: parts[1]}
	if len(parts) == 3 {
		member.AvailabilityZone = parts[2]
	}
	return member, true
}

func (a *arguments) checkOperators(c *settings.Checker) {
	if a.OperatorsFile == "" {
		c.AddProblem("--operators-file", "must be set, for example /etc/wasabishunt/operators")
		return
	}
	file, err := os.Open(a.OperatorsFile)
	if err != nil {
		c.AddProblem("--operators-file", "%v", err)
		return
	}
	defer func() { _ = file.Close() }()
	operators, problems := control.ReadOperators(file)
	for _, p := range problems {
		c.AddProblem("--operators-file", "%s: %s", p.Path, p.Message)
	}
	a.operators = operators
}
