package scenario

import (
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/launch"
)

// fleet [controls=N] [spares=N] [entries=N] [stores=N] [upstreams=N] [services=N] [accounts=N] [unfenced=N]
// [cache=TOKENS] [decode=RATE] [prefill=RATE] [vmlag=D] [notice=D] [link=BYTES] [norelays] [idle]
//
// Starts all processes, publishes the first set and waits until all entries are ready and each process
// that watches control is live with that set. With idle nothing is started.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, "controls", "spares", "entries", "stores", "upstreams", "services", "accounts", "unfenced",
		"cache", "decode", "prefill", "vmlag", "notice", "link")
	shape := fleet.Shape{
		Controls: o.number("controls", 3), SpareControls: o.number("spares", 0), Entries: o.number("entries", 1),
		Stores: o.number("stores", 0), Services: o.number("services", 0), Accounts: o.number("accounts", 2),
		Relays: !o.flag("norelays"), VMListLag: o.duration("vmlag", 0), DrainNotice: o.duration("notice", 0),
		StoreLinkRate: int64(o.number("link", 0)),
	}
	for i := range o.number("upstreams", 1) {
		shape.Upstreams = append(shape.Upstreams, fleet.UpstreamShape{
			IgnoresFencing: i < o.number("unfenced", 0), CacheTokens: int64(o.number("cache", 0)),
			DecodeRate: float64(o.number("decode", 0)), PrefillRate: float64(o.number("prefill", 0)),
		})
	}
	f, err := fleet.New(shape, s.binaries, ts.MkAbs("."))
	ts.Check(err)
	s.fleet = f
	ts.Setenv("WASABISHUNT_CONTROL", strings.Join(f.ControlAddresses(), ","))
	ts.Setenv("WASABISHUNT_OPERATOR", fleet.Operator)
	ts.Setenv("WASABISHUNT_TOKEN_FILE", f.TokenFile())
	for i := range shape.Controls + shape.SpareControls {
		name := "control-" + strconv.Itoa(i+1)
		address, err := f.AdvertisedAddress(name)
		ts.Check(err)
		ts.Setenv("CONTROL"+strconv.Itoa(i+1), address)
	}
	if o.flag("idle") {
		return
	}
	ts.Check(f.StartAll())
	s.publishFirst(ts)
	for i := range shape.Entries {
		ts.Setenv("ENTRY"+strconv.Itoa(i+1), f.EntryURL(i))
		ts.Check(f.AwaitReady(s.ctx, i))
	}
	checkOutcome(ts, false, s.poll(func() error { return s.checkAllLive(f.Watchers()) }), "fleet")
	// Registrations reach entries up to 100 ms after control has them.
	for i := range shape.Entries {
		checkOutcome(ts, false, s.poll(func() error { return s.checkLiveProcesses(i+1, len(f.Watchers())) }), "fleet")
	}
}

func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: start NAME [ARGUMENT...]")
	}
	ts.Check(stateOf(ts).fleet.Start(args[0], args[1:]...))
}

func process(ts *testscript.TestScript, name string) *launch.Process {
	p, err := stateOf(ts).fleet.Process(name)
	ts.Check(err)
	return p
}

// crash NAME: SIGKILL.
func cmdCrash(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(process(ts, singleName(ts, neg, args)).Kill())
}

func cmdFreeze(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(process(ts, singleName(ts, neg, args)).Freeze())
}

func cmdThaw(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(process(ts, singleName(ts, neg, args)).Thaw())
}

// shutdown NAME: SIGTERM, then waits for an exit with code 0. It is not named stop, which testscript uses to end a script.
func cmdShutdown(ts *testscript.TestScript, neg bool, args []string) {
	p := process(ts, singleName(ts, neg, args))
	ts.Check(p.Stop(stopTimeout))
	if code := p.ExitCode(); code != 0 {
		ts.Fatalf("%s exited with code %d", args[0], code)
	}
}

func cmdTerminate(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(process(ts, singleName(ts, neg, args)).Terminate())
}

// exited NAME: waits until a process has exited. With ! the process must still be running.
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	p := process(ts, singleName(ts, false, args))
	if neg {
		select {
		case <-p.Exited():
			ts.Fatalf("%s has exited with code %d", args[0], p.ExitCode())
		default:
		}
		return
	}
	timer := time.NewTimer(awaitTimeout)
	defer timer.Stop()
	select {
	case <-p.Exited():
	case <-timer.C:
		ts.Fatalf("%s has not exited", args[0])
	}
}

// isolate NAME: cuts all links of a process silently, in both directions.
func cmdIsolate(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(stateOf(ts).fleet.Isolate(singleName(ts, neg, args)))
}

// part NAME...: cuts all links between the named processes and the others.
func cmdPart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: part NAME...")
	}
	ts.Check(stateOf(ts).fleet.Partition(args...))
}

// filelimit NAME BYTES|off: limits the size of each file that a running process writes. Writes beyond it fail as on a full disk,
// but with another error number, until the limit is off.
func cmdFileLimit(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: filelimit NAME BYTES|off")
	}
	limit := launch.NoFileLimit
	if args[1] != "off" {
		var err error
		limit, err = strconv.ParseUint(args[1], 10, 64)
		ts.Check(err)
	}
	ts.Check(process(ts, args[0]).LimitFiles(limit))
}

// cut FROM TO: cuts the connections that FROM opened to TO.
func cmdCut(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: cut FROM TO")
	}
	ts.Check(stateOf(ts).fleet.CutLink(args[0], args[1]))
}

func cmdHeal(ts *testscript.TestScript, _ bool, _ []string) { stateOf(ts).fleet.HealAll() }

// loseanswers NAME [TO]: holds back the bytes that a process sends to operators, or to the process TO; the other direction
// still works.
func cmdLoseAnswers(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: loseanswers NAME [TO]")
	}
	f := stateOf(ts).fleet
	relay, err := f.Relay(args[0])
	ts.Check(err)
	to := fleet.OperatorIP
	if len(args) == 2 {
		to, err = f.IP(args[1])
		ts.Check(err)
	}
	relay.CutResponses(to)
}

// slow NAME BYTES_PER_SECOND: limits the rate of the relay in front of a process.
func cmdSlow(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: slow NAME BYTES_PER_SECOND")
	}
	relay, err := stateOf(ts).fleet.Relay(args[0])
	ts.Check(err)
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	relay.SetRate(rate)
}

// wipe NAME: removes the data directory of a process that has exited.
func cmdWipe(ts *testscript.TestScript, neg bool, args []string) {
	name := singleName(ts, neg, args)
	ts.Check(os.RemoveAll(stateOf(ts).fleet.DataDir(name)))
}

// corrupt NAME: flips a bit in the last byte of each piece file in the data directory of a process that has exited.
func cmdCorrupt(ts *testscript.TestScript, neg bool, args []string) {
	name := singleName(ts, neg, args)
	changed := 0
	ts.Check(filepath.WalkDir(stateOf(ts).fleet.DataDir(name), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil || len(content) < minPieceFileBytes {
			return err
		}
		content[len(content)-1] ^= 1
		changed++
		return os.WriteFile(path, content, 0o600)
	}))
	if changed == 0 {
		ts.Fatalf("%s has no file to corrupt", name)
	}
}

// minPieceFileBytes is the size in bytes from which a file counts as a piece.
const minPieceFileBytes = 1 << 10

// vm NAME STATE: sets the state of a VM in the platform's list; NAME is the name of a process of the fleet.
func cmdVM(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: vm NAME live|leaving")
	}
	s := stateOf(ts)
	address, err := s.fleet.AdvertisedAddress(args[0])
	ts.Check(err)
	body := map[string]string{"vm": args[0], "address": address, "state": args[1]}
	ts.Check(s.fleet.CallStandin(s.ctx, "vmlist", http.MethodPost, "/standin/vms", body, nil))
}

func cmdVMLag(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: vmlag DURATION")
	}
	lag, err := time.ParseDuration(args[0])
	ts.Check(err)
	s := stateOf(ts)
	body := map[string]int64{"lag_ms": lag.Milliseconds()}
	ts.Check(s.fleet.CallStandin(s.ctx, "vmlist", http.MethodPost, "/standin/lag", body, nil))
}

// fault NAME JSON: replaces the fault settings of a stand-in.
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fault NAME JSON")
	}
	s := stateOf(ts)
	ts.Check(s.fleet.CallStandin(s.ctx, args[0], http.MethodPost, "/standin/faults", rawJSON(args[1]), nil))
}

type rawJSON string

// MarshalJSON returns the text as it is.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// logged NAME PATTERN: waits until the log of a process matches the pattern. With ! the log must not match now.
func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: logged NAME PATTERN")
	}
	s := stateOf(ts)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	find := func() error {
		content, err := os.ReadFile(s.fleet.LogPath(args[0]))
		if err == nil && !pattern.Match(content) {
			err = notMet("log of %s has no line like %q", args[0], args[1])
		}
		return err
	}
	if neg {
		checkOutcome(ts, true, find(), "logged")
		return
	}
	checkOutcome(ts, false, s.poll(find), "logged")
}
