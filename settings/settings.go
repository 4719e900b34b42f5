// Package settings parses flags and environment variables and reports every fault at once.
package settings

import (
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/wasabishunt/wasabishunt/failure"
)

// ExitUsage is the exit code for bad flags or settings.
const ExitUsage = 2

// Validator lists all faults of parsed settings.
type Validator interface {
	Validate() []failure.Problem
}

// Error reports faulty settings.
type Error struct {
	Problems []failure.Problem
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%d invalid settings", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("  %s: %s", p.Path, p.Message))
	}
	return strings.Join(lines, "\n")
}

// Parse fills dest from the arguments and the environment. It returns false and an exit code
// when the process should stop: after help was printed or a fault was reported on stderr.
func Parse(dest Validator, program string, args []string, stdout, stderr io.Writer) (ok bool, exitCode int) {
	parser, err := arg.NewParser(arg.Config{Program: program}, dest)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return false, ExitUsage
	}
	err = parser.Parse(args)
	switch {
	case err == arg.ErrHelp:
		parser.WriteHelp(stdout)
		return false, 0
	case err != nil:
		_, _ = fmt.Fprintln(stderr, "error:", err)
		parser.WriteUsage(stderr)
		return false, ExitUsage
	}
	if problems := dest.Validate(); len(problems) > 0 {
		_, _ = fmt.Fprintln(stderr, "error:", (&Error{Problems: problems}).Error())
		return false, ExitUsage
	}
	return true, 0
}

// Checker collects faults; each method adds one problem when its check fails.
type Checker struct {
	problems []failure.Problem
}

// Problems returns all faults found.
func (c *Checker) Problems() []failure.Problem { return c.problems }

// Fail adds a fault.
func (c *Checker) Fail(path, format string, args ...any) {
	c.problems = append(c.problems, failure.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Required checks that a value is set.
func (c *Checker) Required(path, value string) {
	if value == "" {
		c.Fail(path, "must be set")
	}
}

// Address checks that a value is an IP address and port. Names are refused: processes find each other by IP number.
func (c *Checker) Address(path, value string) {
	if value == "" {
		c.Fail(path, "must be set, for example 127.0.0.1:7000")
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		c.Fail(path, "%q is not an IP address and port", value)
		return
	}
	if net.ParseIP(host) == nil {
		c.Fail(path, "%q is not an IP address", host)
	}
}

// OptionalIP checks that a value, if set, is an IP address.
func (c *Checker) OptionalIP(path, value string) {
	if value != "" && net.ParseIP(value) == nil {
		c.Fail(path, "%q is not an IP address", value)
	}
}

// Addresses checks a list that must not be empty.
func (c *Checker) Addresses(path string, values []string) {
	if len(values) == 0 {
		c.Fail(path, "at least one address must be set")
	}
	for i, v := range values {
		c.Address(fmt.Sprintf("%s[%d]", path, i), v)
	}
}

// Positive checks that a number is above zero.
func Positive[T int | int64 | float64](c *Checker, path string, value T) {
	if value <= 0 {
		c.Fail(path, "must be above 0, is %v", value)
	}
}
