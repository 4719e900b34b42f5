// Package cli implements the operators' command line: it publishes object sets, shows their distribution, explains
// decisions and changes the control group.
package cli

import (
	"os"
	"strings"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/settings"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitRefused means that control refused the call, or that a check found problems.
	ExitRefused = 1
	// ExitUsage means wrong flags or settings.
	ExitUsage = settings.ExitUsage
	// ExitUnknown means that the outcome is unknown; resending with the printed operation id is safe.
	ExitUnknown = 3
)

type validateCommand struct {
	File string `arg:"positional,required" help:"object set, YAML or JSON"`
}

type checkCommand struct {
	File    string `arg:"positional,required" help:"object set, YAML or JSON, or published set of the platform, JSON"`
	Against string `arg:"--against" help:"the configuration in force, to report the differences from it (file)"`
	JSON    bool   `arg:"--json" help:"print the findings as JSON"`
}

type publishCommand struct {
	File          string  `arg:"positional,required" help:"object set, YAML or JSON"`
	ExpectVersion *uint64 `arg:"--expect-version" help:"version that the set replaces; default is the current one (version)"`
	OperationID   string  `arg:"--operation-id" help:"id of a publish to resend; default is a new id (text)"`
}

type statusCommand struct{}

type watchCommand struct {
	Wait time.Duration `arg:"--wait" default:"0s" help:"wait so long for the version to be in force everywhere (duration)"`
}

type explainCommand struct {
	RequestID string   `arg:"positional,required" help:"id that the entry gave to the request"`
	Entries   []string `arg:"--entry,separate" help:"IP address and port of an entry, repeated for each; default are all registered entries (IP:port, several)"`
}

type auditCommand struct {
	After uint64 `arg:"--after" help:"show records after this sequence number (number)"`
	Limit int    `arg:"--limit" default:"100" help:"records per page, at most 1000 (count)"`
}

type drainCommand struct {
	Upstream    string `arg:"positional,required" help:"name of the upstream"`
	Undo        bool   `arg:"--undo" help:"take the drain back"`
	OperationID string `arg:"--operation-id" help:"id of a drain to resend; default is a new id (text)"`
}

type evacuateCommand struct {
	Zone        string `arg:"positional,required" help:"name of the availability zone"`
	Undo        bool   `arg:"--undo" help:"put the zone back into service"`
	OperationID string `arg:"--operation-id" help:"id of an evacuation to resend; default is a new id (text)"`
}

type memberCommand struct {
	ID          uint64 `arg:"--id,required" help:"member id, never reused (number)"`
	Address     string `arg:"--address" help:"IP address and port; for add-learner (IP:port)"`
	Zone        string `arg:"--zone" help:"availability zone; for add-learner (name)"`
	OperationID string `arg:"--operation-id" help:"id of a change to resend; default is a new id (text)"`
}

type membersCommand struct {
	AddLearner *memberCommand `arg:"subcommand:add-learner" help:"add a member without a vote"`
	Promote    *memberCommand `arg:"subcommand:promote" help:"give a learner that has caught up a vote"`
	Remove     *memberCommand `arg:"subcommand:remove" help:"remove a member"`
}

// arguments are the flags and environment variables.
type arguments struct {
	Check    *validateCommand `arg:"subcommand:validate" help:"check an object set without control"`
	Findings *checkCommand    `arg:"subcommand:check" help:"report mistakes and contradictions in a configuration without control"`
	Publish  *publishCommand  `arg:"subcommand:publish" help:"put an object set in force"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the control members"`
	Watch    *watchCommand    `arg:"subcommand:watch" help:"show which processes have the version in force"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"show the decisions taken for a request"`
	Audit    *auditCommand    `arg:"subcommand:audit" help:"show operators' actions"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"give an upstream no new work; its agent ends when running work has finished"`
	Evacuate *evacuateCommand `arg:"subcommand:evacuate" help:"give the upstreams of an availability zone no new work; running work finishes, and their agents stay"`
	Members  *membersCommand  `arg:"subcommand:members" help:"change the control members"`

	Control []string `arg:"--control,separate" help:"IP address and port of a control member, repeated for each; default those of WASABISHUNT_CONTROL (IP:port, several)"`
	// ControlEnv is used if no flag is given. It is a separate field because the parser appends repeated flags to the
	// addresses of the environment, so that a call meant for one group would also reach another.
	ControlEnv []string      `arg:"--,env:CONTROL" help:"IP addresses and ports of control members, separated by commas (IP:port, several)"`
	Operator   string        `arg:"--operator,env:OPERATOR" help:"name of the operator (name)"`
	TokenFile  string        `arg:"--token-file,env:TOKEN_FILE" help:"file with the operator's token (file)"`
	Token      string        `arg:"--,env:TOKEN" help:"the operator's token, if there is no file (text)"`
	Timeout    time.Duration `arg:"--timeout,env:TIMEOUT" default:"10s" help:"limit of one call over all attempts (duration)"`
	Output     string        `arg:"-o,--output,env:OUTPUT" default:"table" help:"form of the output: table or json (word)"`
}

// Description is the first part of the help text.
func (a *arguments) Description() string {
	return "wasabishunt publishes object sets, shows their distribution, explains decisions and changes the control group."
}

// Epilogue is the last part of the help text.
func (a *arguments) Epilogue() string {
	return `Exit codes: 0 done; 1 refused, nothing was changed, or a check found faults; 2 wrong flags or settings;
3 the outcome is not known: resend with the printed operation id, which is safe.
"wasabishunt COMMAND --help" shows the flags of a command.`
}

// Validate returns all problems of the arguments and reads the token.
func (a *arguments) Validate() []failure.Problem {
	c := &settings.Checker{}
	if len(a.Control) == 0 {
		a.Control = a.ControlEnv
	}
	switch {
	case a.Members != nil && !a.hasCommand():
		c.AddProblem("members", "must be followed by add-learner, promote or remove")
	case !a.hasCommand():
		c.AddProblem("command", "must be one of validate, check, publish, status, watch, explain, audit, drain, evacuate and members")
	}
	if a.Output != "table" && a.Output != "json" {
		c.AddProblem("--output", "must be table or json, is %q", a.Output)
	}
	if a.Timeout <= 0 {
		c.AddProblem("--timeout", "must be above 0, is %v", a.Timeout)
	}
	if a.needsControl() {
		c.Addresses("--control", a.Control)
	}
	if a.needsOperator() {
		c.Required("--operator", a.Operator, "sari")
		a.readToken(c)
	}
	a.checkCommand(c)
	return c.Problems()
}

func (a *arguments) checkCommand(c *settings.Checker) {
	if a.Members != nil && a.Members.AddLearner != nil {
		c.Address("--address", a.Members.AddLearner.Address)
		c.Required("--zone", a.Members.AddLearner.Zone, "zone-a")
	}
	if a.Watch != nil && a.Watch.Wait < 0 {
		c.AddProblem("--wait", "must not be negative, is %v", a.Watch.Wait)
	}
	if a.Audit != nil && (a.Audit.Limit < 1 || a.Audit.Limit > maxAuditRecords) {
		c.AddProblem("--limit", "must be from 1 to %d, is %d", maxAuditRecords, a.Audit.Limit)
	}
	if a.Explain != nil {
		for _, entry := range a.Explain.Entries {
			c.Address("--entry", entry)
		}
	}
}

// maxAuditRecords limits one page of the audit trail.
const maxAuditRecords = 1000

func (a *arguments) hasCommand() bool {
	if a.Members != nil {
		return a.Members.AddLearner != nil || a.Members.Promote != nil || a.Members.Remove != nil
	}
	return a.Check != nil || a.Findings != nil || a.Publish != nil || a.Status != nil || a.Watch != nil || a.Explain != nil ||
		a.Audit != nil || a.Drain != nil || a.Evacuate != nil
}

func (a *arguments) needsControl() bool {
	if a.Explain != nil && len(a.Explain.Entries) > 0 {
		return false
	}
	return a.Check == nil && a.Findings == nil && a.hasCommand()
}

func (a *arguments) needsOperator() bool {
	return a.Publish != nil || a.Audit != nil || a.Drain != nil || a.Evacuate != nil || a.Members != nil || a.Explain != nil
}

func (a *arguments) readToken(c *settings.Checker) {
	if a.TokenFile != "" {
		content, err := os.ReadFile(a.TokenFile)
		if err != nil {
			c.AddProblem("--token-file", "%v", err)
			return
		}
		a.Token = strings.TrimSpace(string(content))
	}
	if a.Token == "" {
		c.AddProblem("--token-file", "must name a file with the token, or WASABISHUNT_TOKEN must be set")
	}
}
