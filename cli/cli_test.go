package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// stub implements the service of one control member.
type stub struct {
	controlpb.DRPCControlUnimplementedServer
	mu        sync.Mutex
	publishes []*controlpb.PublishRequest
	respond   func(*controlpb.PublishRequest) *controlpb.PublishResponse
	status    *controlpb.StatusResponse
	audit     []*controlpb.AuditRecord
	changes   []*controlpb.ChangeMembersRequest
	// evacuations are the calls of Evacuate.
	evacuations []*controlpb.EvacuateRequest
}

func (s *stub) Publish(_ context.Context, q *controlpb.PublishRequest) (*controlpb.PublishResponse, error) {
	if q.DryRun {
		return &controlpb.PublishResponse{CurrentVersion: 7}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishes = append(s.publishes, q)
	return s.respond(q), nil
}

func (s *stub) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return s.status, nil
}

func (s *stub) Audit(_ context.Context, q *controlpb.AuditRequest) (*controlpb.AuditResponse, error) {
	return &controlpb.AuditResponse{Records: s.audit[q.After:min(int(q.After)+int(q.Limit), len(s.audit))]}, nil
}

func (s *stub) Drain(_ context.Context, q *controlpb.DrainRequest) (*controlpb.DrainResponse, error) {
	return &controlpb.DrainResponse{Failure: &controlpb.Failure{Kind: "not_found", Execution: "not_run", Message: q.Upstream}}, nil
}

func (s *stub) Evacuate(_ context.Context, q *controlpb.EvacuateRequest) (*controlpb.EvacuateResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = append(s.evacuations, q)
	if q.AvailabilityZone == "z9" {
		return &controlpb.EvacuateResponse{Failure: &controlpb.Failure{Kind: "not_found", Execution: "not_run", Message: "zone z9"}}, nil
	}
	return &controlpb.EvacuateResponse{}, nil
}

func (s *stub) ChangeMembers(_ context.Context, q *controlpb.ChangeMembersRequest) (*controlpb.ChangeMembersResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, q)
	if q.Action == "remove" {
		return &controlpb.ChangeMembersResponse{Failure: &controlpb.Failure{Kind: "not_found", Execution: "not_run", Message: "member 9"}}, nil
	}
	return &controlpb.ChangeMembersResponse{}, nil
}

func serve(t *testing.T, s *stub) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, controlpb.DRPCRegisterControl(mux, s))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return listener.Addr().String()
}

const (
	// unreachable is an address at which no member listens.
	unreachable = "127.0.0.1:1"
	// unreachableLimit ends calls to it.
	unreachableLimit = 500 * time.Millisecond
	// answerLimit is more than a loaded machine needs to answer a call.
	answerLimit = time.Minute
)

// invoke runs the command line against a member as operator dana.
func invoke(t *testing.T, address string, args ...string) (code int, stdout, stderr string) {
	return invokeContext(t.Context(), t, answerLimit, address, args...)
}

func invokeContext(ctx context.Context, t *testing.T, limit time.Duration, address string, args ...string) (code int, stdout, stderr string) {
	t.Setenv("WASABISHUNT_TOKEN", "token")
	var out, errOut bytes.Buffer
	argv := append([]string{"--control", address, "--operator", "dana", "--timeout", limit.String()}, args...)
	code = Run(ctx, argv, &out, &errOut, nil)
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "set.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against a rejected set whose problems are not all shown, and against wrong exit codes of local commands.
func TestValidate(t *testing.T) {
	code, out, _ := invoke(t, unreachable, "validate", "../examples/qasr.yaml")
	require.Equal(t, ExitOK, code)
	require.Equal(t, "valid\n", out)
	code, _, stderr := invoke(t, unreachable, "validate", writeFile(t, "zones: 3\nother: 1\n"))
	require.Equal(t, ExitRefused, code)
	require.Contains(t, stderr, "zones: line 1")
	require.Contains(t, stderr, "other: line 2")
	code, _, _ = invoke(t, unreachable, "validate", "missing.yaml")
	require.Equal(t, ExitRefused, code)
}

// Guards against problems of settings that are reported one at a time, or with an exit code other than ExitUsage.
func TestUsage(t *testing.T) {
	var out, stderr bytes.Buffer
	require.Equal(t, ExitUsage, Run(context.Background(), []string{"-o", "xml", "publish", "f"}, &out, &stderr, nil))
	for _, flag := range []string{"--output", "--control", "--operator", "--token-file"} {
		require.Contains(t, stderr.String(), flag)
	}
	require.Equal(t, ExitUsage, Run(context.Background(), nil, &out, &stderr, nil))
	require.Equal(t, ExitUsage, Run(context.Background(), []string{"members"}, &out, &stderr, nil))
	require.Equal(t, ExitUsage, Run(context.Background(), []string{"nonsense"}, &out, &stderr, nil))
}

// Guards against a publish without compare-and-set, a conflict that does not name the operator of the current
// version, and a call with a lost answer that cannot be resent under its operation id.
func TestPublish(t *testing.T) {
	s := &stub{respond: func(q *controlpb.PublishRequest) *controlpb.PublishResponse {
		return &controlpb.PublishResponse{Version: q.ExpectVersion + 1}
	}}
	address, file := serve(t, s), writeFile(t, "zones: []\n")
	code, out, stderr := invoke(t, address, "-o", "json", "publish", file)
	require.Equal(t, ExitOK, code, stderr)
	var r report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, uint64(8), r.Version)
	require.Equal(t, r.OperationID, s.publishes[0].OperationId)

	s.respond = func(*controlpb.PublishRequest) *controlpb.PublishResponse {
		return &controlpb.PublishResponse{CurrentOperator: "eli", CurrentVersion: 8, Failure: &controlpb.Failure{Kind: "version_conflict", Execution: "not_run"}}
	}
	code, _, stderr = invoke(t, address, "publish", file, "--expect-version", "7")
	require.Equal(t, ExitRefused, code)
	require.Contains(t, stderr, "published by eli at 1970")

	s.respond = func(*controlpb.PublishRequest) *controlpb.PublishResponse {
		return &controlpb.PublishResponse{Failure: &controlpb.Failure{Kind: "proposal_lost", Execution: "unknown"}}
	}
	code, _, stderr = s.invokeUntilResent(t, address, "op-9", "publish", file)
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, stderr, "--expect-version 7 --operation-id op-9")
	code, out, _ = s.invokeUntilResent(t, address, "op-10", "-o", "json", "publish", file)
	require.Equal(t, ExitUnknown, code)
	r = report{}
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, "unknown", r.Execution)
	require.Contains(t, r.Resend, "--expect-version 7 --operation-id op-10")

	code, _, stderr = invokeContext(t.Context(), t, unreachableLimit, unreachable, "publish", file, "--operation-id", "op-9")
	require.Equal(t, ExitRefused, code)
	require.Contains(t, stderr, "nothing was published")
}

// invokeUntilResent runs the command line, and interrupts it once the operation has been sent twice: a time limit may end it
// before a loaded machine has sent it once.
func (s *stub) invokeUntilResent(t *testing.T, address, operation string, args ...string) (code int, stdout, stderr string) {
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	respond, calls := s.respond, 0
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.respond = respond
	}()
	s.respond = func(q *controlpb.PublishRequest) *controlpb.PublishResponse {
		if q.OperationId == operation && q.ExpectVersion == 7 {
			calls++
		}
		if calls == 2 {
			interrupt()
		}
		return respond(q)
	}
	code, stdout, stderr = invokeContext(ctx, t, answerLimit, address, append(args, "--operation-id", operation)...)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 2, calls, stderr)
	return code, stdout, stderr
}

// Guards against help without the exit codes, and against a --control flag that adds to the addresses of the
// environment instead of replacing them.
func TestHelpAndEnvironment(t *testing.T) {
	code, out, _ := invoke(t, unreachable, "--help")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "Exit codes: 0")
	address := serve(t, &stub{status: &controlpb.StatusResponse{MemberId: 1, LeaderId: 1}})
	t.Setenv("WASABISHUNT_CONTROL", address)
	code, out, _ = invokeContext(t.Context(), t, unreachableLimit, unreachable, "-o", "json", "status")
	require.Equal(t, ExitRefused, code)
	require.NotContains(t, out, address)
	var stdout, stderr bytes.Buffer
	require.Equal(t, ExitOK, Run(context.Background(), []string{"-o", "json", "status"}, &stdout, &stderr, nil), stderr.String())
	require.True(t, json.Valid(stdout.Bytes()))
}

// Guards against showing a process as having a version that it lacks, and against a missing reason.
func TestWatchAndStatus(t *testing.T) {
	s := &stub{status: &controlpb.StatusResponse{MemberId: 1, LeaderId: 1, SetVersion: 9, MembershipRevision: 1, Processes: []*controlpb.ProcessState{
		{ProcessId: "a", State: "live", SetVersion: 9},
		{ProcessId: "b", State: "live", SetVersion: 6},
		{ProcessId: "c", State: "dead", Reason: "no presence report"},
		{ProcessId: "d", State: "live"},
		{ProcessId: "e", State: "leaving", SetVersion: 5, Reason: "the process is draining"},
	}}}
	address := serve(t, s)
	code, out, _ := invoke(t, address, "watch")
	require.Equal(t, ExitRefused, code)
	for _, text := range []string{"in force on 1 processes, missing on 2", "3 versions behind", "dead: no presence report", "has reported no version", "leaving: the process is draining; 4 versions behind"} {
		require.Contains(t, out, text)
	}
	code, out, _ = invoke(t, address, "status")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "leader")
	code, out, _ = invokeContext(t.Context(), t, unreachableLimit, unreachable, "status")
	require.Equal(t, ExitRefused, code)
	require.Contains(t, out, "unreachable")
}

// Guards against pages that repeat or lose records.
func TestAudit(t *testing.T) {
	s := &stub{}
	for i := range 5 {
		s.audit = append(s.audit, &controlpb.AuditRecord{Sequence: uint64(i + 1), Operator: "dana", Action: "publish"})
	}
	address := serve(t, s)
	_, out, _ := invoke(t, address, "audit", "--limit", "3")
	require.Contains(t, out, "next page: --after 3")
	_, out, _ = invoke(t, address, "audit", "--limit", "3", "--after", "3")
	require.Equal(t, 3, strings.Count(out, "\n"), out)
	code, out, _ := invoke(t, address, "-o", "json", "audit")
	require.Equal(t, ExitOK, code)
	require.True(t, json.Valid([]byte(out)))
	code, _, _ = invoke(t, address, "audit", "--limit", "1001")
	require.Equal(t, ExitUsage, code)
}

// Guards against changes that are sent with fields other than those given, and against refusals with exit code 0.
func TestDrainAndMembers(t *testing.T) {
	s := &stub{}
	address := serve(t, s)
	code, _, stderr := invoke(t, address, "drain", "u9")
	require.Equal(t, ExitRefused, code)
	require.Contains(t, stderr, "u9")
	code, out, _ := invoke(t, address, "-o", "json", "drain", "u9")
	require.Equal(t, ExitRefused, code)
	require.True(t, json.Valid([]byte(out)))
	code, _, _ = invoke(t, address, "members", "add-learner", "--id", "4", "--address", "127.0.0.1:9", "--zone", "z")
	require.Equal(t, ExitOK, code)
	code, _, _ = invoke(t, address, "members", "promote", "--id", "4")
	require.Equal(t, ExitOK, code)
	code, _, _ = invoke(t, address, "members", "add-learner", "--id", "4")
	require.Equal(t, ExitUsage, code)
	code, out, stderr = invoke(t, address, "members", "remove", "--id", "9")
	require.Equal(t, ExitRefused, code)
	require.Empty(t, out)
	require.Contains(t, stderr, "not_found (not_run): member 9")
	require.Equal(t, "add_learner", s.changes[0].Action)
	require.Equal(t, &raftpb.Member{Id: 4, Address: "127.0.0.1:9", AvailabilityZone: "z", Learner: true}, s.changes[0].Member)
	require.Equal(t, "promote", s.changes[1].Action)
}

// Guards against an evacuation that is sent with fields other than those given, against a refusal with exit code 0, and against views that do not
// show it.
func TestEvacuate(t *testing.T) {
	s := &stub{status: &controlpb.StatusResponse{MemberId: 1, LeaderId: 1, SetVersion: 9, MembershipRevision: 1, EvacuatedZones: []string{"z1", "z2"}}}
	address := serve(t, s)
	code, out, _ := invoke(t, address, "evacuate", "z1", "--operation-id", "op1")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "z1")
	code, _, _ = invoke(t, address, "evacuate", "z1", "--undo")
	require.Equal(t, ExitOK, code)
	code, _, stderr := invoke(t, address, "evacuate", "z9")
	require.Equal(t, ExitRefused, code)
	require.Contains(t, stderr, "not_found (not_run): zone z9")
	code, _, _ = invoke(t, address, "evacuate")
	require.Equal(t, ExitUsage, code)
	require.Equal(t, "op1", s.evacuations[0].OperationId)
	require.Equal(t, "dana", s.evacuations[0].Operator.Name)
	require.False(t, s.evacuations[0].Undo)
	require.True(t, s.evacuations[1].Undo)
	require.NotEmpty(t, s.evacuations[1].OperationId)
	for _, command := range []string{"status", "watch"} {
		_, out, _ = invoke(t, address, command)
		require.Contains(t, out, "evacuated zones: z1, z2")
		_, out, _ = invoke(t, address, "-o", "json", command)
		require.Contains(t, out, `"evacuated_zones"`)
	}
}

// Guards against views that hide the evacuated zones while no member leads, and against old ones that pass for current.
func TestEvacuatedZonesWithoutALeader(t *testing.T) {
	address := serve(t, &stub{status: &controlpb.StatusResponse{
		MemberId: 2, AppliedIndex: 7, SetVersion: 9, MembershipRevision: 1, EvacuatedZones: []string{"z1"}, StateAgeMs: 90_500,
	}})
	for _, command := range []string{"status", "watch"} {
		code, out, _ := invoke(t, address, command)
		if command == "status" {
			require.Equal(t, ExitRefused, code, "no member leads")
		}
		require.Contains(t, out, "evacuated zones: z1 (by member "+address+", its state is 1m30.5s old)", command)
		_, out, _ = invoke(t, address, "-o", "json", command)
		require.Contains(t, out, `"state_age_ms": 90500`, command)
	}
	for age, text := range map[uint64]string{5: "", 5000: "evacuated zones: none known", 0: "the age of its state is unknown"} {
		address = serve(t, &stub{status: &controlpb.StatusResponse{MemberId: 1, LeaderId: 1, SetVersion: 9, StateAgeMs: age}})
		_, out, _ := invoke(t, address, "status")
		if text == "" {
			require.NotContains(t, out, "evacuated")
		} else {
			require.Contains(t, out, text)
		}
	}
}

// Guards against zones of a member that is behind, although another one answers that is not.
func TestEvacuatedZonesOfTheNewestMember(t *testing.T) {
	var out strings.Builder
	p := &program{stdout: &out}
	p.printMembers([]memberRow{
		{Address: "a", Applied: 5, StateAgeMs: 9000, EvacuatedZones: []string{"old"}},
		{Address: "b", Applied: 8, StateAgeMs: 40, EvacuatedZones: []string{"new"}},
		{Address: "c", Role: "unreachable", Error: "refused"},
	})
	require.Contains(t, out.String(), "evacuated zones: new (by member b, its state is 40ms old)")
	require.NotContains(t, out.String(), "old (")
}

// Guards against an explain that stops at the first entry without a record of the request.
func TestExplain(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/debug/requests/r1" || r.Header.Get("Authorization") != "Bearer token" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte("{\"request_id\":\"r1\",\"decisions\":[\"routed to u1\",\"queued\"]}\n{\"outcome\":\"ok\"}\n"))
	}))
	defer entry.Close()
	address := strings.TrimPrefix(entry.URL, "http://")
	code, out, _ := invoke(t, unreachable, "explain", "r1", "--entry", unreachable, "--entry", address)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "1  routed to u1\n")
	require.Contains(t, out, "outcome  ok")
	code, _, stderr := invoke(t, unreachable, "explain", "r2", "--entry", address)
	require.Equal(t, ExitRefused, code)
	require.Contains(t, stderr, "status 404")
}
