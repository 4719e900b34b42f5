package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"

	"github.com/wasabishunt/wasabishunt/control/configcheck"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/settings"
)

// program is one run of the command line.
type program struct {
	args   *arguments
	client *controlclient.Client
	stdout io.Writer
	stderr io.Writer
	// decodeTraffic decodes published sets of the platform; nil if they are not supported.
	decodeTraffic configcheck.DecodeFunc
}

// Run executes one command and returns the exit code. decodeTraffic decodes published sets of the platform; it may be nil.
func Run(ctx context.Context, argv []string, stdout, stderr io.Writer, decodeTraffic configcheck.DecodeFunc) int {
	args := &arguments{}
	if ok, code := settings.Parse(args, "wasabishunt", argv, stdout, stderr); !ok {
		return code
	}
	client := controlclient.NewClient(controlclient.ClientOptions{Addresses: args.Control, Timeout: args.Timeout})
	defer func() { _ = client.Close() }()
	p := &program{args: args, client: client, stdout: stdout, stderr: stderr, decodeTraffic: decodeTraffic}
	switch {
	case args.Check != nil:
		return p.validate(args.Check)
	case args.Findings != nil:
		return p.check(args.Findings)
	case args.Publish != nil:
		return p.publish(ctx, args.Publish)
	case args.Status != nil:
		return p.status(ctx)
	case args.Watch != nil:
		return p.watch(ctx, args.Watch)
	case args.Explain != nil:
		return p.explain(ctx, args.Explain)
	case args.Audit != nil:
		return p.audit(ctx, args.Audit)
	case args.Drain != nil:
		return p.drain(ctx, args.Drain)
	case args.Evacuate != nil:
		return p.evacuate(ctx, args.Evacuate)
	}
	return p.members(ctx, args.Members)
}

func (p *program) operator() *controlpb.Operator {
	return &controlpb.Operator{Name: p.args.Operator, Token: p.args.Token}
}

// operationID returns the given id, or a new one if it is empty.
func operationID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

func readFile(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "read %s", path)
	}
	return content, nil
}

// report is the outcome of a change, for -o json.
type report struct {
	OK          bool              `json:"ok"`
	Version     uint64            `json:"version,omitempty"`
	OperationID string            `json:"operation_id,omitempty"`
	Kind        string            `json:"kind,omitempty"`
	Message     string            `json:"message,omitempty"`
	Execution   string            `json:"execution,omitempty"`
	Problems    []failure.Problem `json:"problems,omitempty"`
	// Resend is the command that repeats a call of unknown outcome.
	Resend string `json:"resend,omitempty"`
}

// finish prints the outcome of a command and returns the exit code. resend is the command that repeats a call of
// unknown outcome.
func (p *program) finish(r report, err error, message, resend string) int {
	r.OK = err == nil
	code := ExitOK
	if err != nil {
		e := failure.Of(err)
		r.Kind, r.Message, r.Execution, r.Problems = string(e.Kind), e.Message, string(e.Execution), e.Problems
		code = ExitRefused
		if e.Execution == failure.Unknown {
			code, r.Resend = ExitUnknown, resend
		}
	}
	if p.args.Output == "json" {
		p.json(r)
		return code
	}
	if err == nil {
		_, _ = fmt.Fprintln(p.stdout, message)
		return code
	}
	_, _ = fmt.Fprintf(p.stderr, "%s (%s): %s\n", r.Kind, r.Execution, strings.TrimPrefix(err.Error(), r.Kind+": "))
	for _, problem := range r.Problems {
		_, _ = fmt.Fprintf(p.stderr, "  %s: %s\n", problem.Path, problem.Message)
	}
	if code == ExitUnknown && resend != "" {
		_, _ = fmt.Fprintf(p.stderr, "The outcome is not known. Resending with this operation id is safe:\n  %s\n", resend)
	}
	return code
}

func (p *program) json(value any) {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// table prints rows in aligned columns.
func (p *program) table(rows [][]string) {
	writer := tabwriter.NewWriter(p.stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(writer, "\t")
			}
			_, _ = fmt.Fprint(writer, cell)
		}
		_, _ = fmt.Fprintln(writer)
	}
	_ = writer.Flush()
}
