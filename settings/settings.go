// Package settings parses flags and environment variables and reports all problems at once.
package settings

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/wasabishunt/wasabishunt/failure"
)

// ExitUsage is the exit code for invalid flags or settings.
const ExitUsage = 2

// Validator is implemented by settings. Validate returns all problems of the parsed values.
type Validator interface {
	Validate() []failure.Problem
}

// Error reports invalid settings.
type Error struct {
	Problems []failure.Problem
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid settings (%d)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("  %s: %s", p.Path, p.Message))
	}
	return strings.Join(lines, "\n")
}

// EnvPrefix returns the prefix of a program's environment variables: WASABISHUNT_AGENT_ for wasabishunt-agent.
func EnvPrefix(program string) string {
	return strings.ToUpper(strings.ReplaceAll(program, "-", "_")) + "_"
}

// Parse fills dest from the arguments and the environment. It returns false and an exit code if the process should
// exit, because help was printed or problems were reported on stderr.
func Parse(dest Validator, program string, args []string, stdout, stderr io.Writer) (ok bool, exitCode int) {
	parser, err := arg.NewParser(arg.Config{Program: program, EnvPrefix: EnvPrefix(program)}, dest)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return false, ExitUsage
	}
	problems, err := parseAll(parser, args)
	if err == arg.ErrHelp {
		parser.WriteHelp(stdout)
		return false, 0
	}
	unparsed := paths(problems)
	for _, p := range dest.Validate() {
		// A value that could not be parsed is not also reported as missing.
		if !slices.Contains(unparsed, p.Path) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		_, _ = fmt.Fprintln(stderr, "error:", (&Error{Problems: problems}).Error())
		_, _ = fmt.Fprintf(stderr, "see %s --help\n", program)
		return false, ExitUsage
	}
	return true, 0
}

func paths(problems []failure.Problem) []string {
	list := make([]string, 0, len(problems))
	for _, p := range problems {
		list = append(list, p.Path)
	}
	return list
}

var (
	namedFlag = regexp.MustCompile(`--[a-z0-9-]+`)
	namedEnv  = regexp.MustCompile(`environment variable ([A-Z0-9_]+)`)
)

// parseAll parses the arguments and returns all problems. As the parser stops at its first error, the invalid argument
// or variable is removed and the rest is parsed again. Removed variables are restored before parseAll returns.
func parseAll(parser *arg.Parser, args []string) ([]failure.Problem, error) {
	var problems []failure.Problem
	rest := slices.Clone(args)
	for {
		err := parser.Parse(rest)
		if err == nil || err == arg.ErrHelp {
			return problems, err
		}
		if name := namedEnv.FindStringSubmatch(err.Error()); name != nil && os.Getenv(name[1]) != "" {
			defer restoreEnv(name[1], os.Getenv(name[1]))
			_ = os.Unsetenv(name[1])
			problems = append(problems, failure.Problem{Path: name[1], Message: explain(err)})
			continue
		}
		name := namedFlag.FindString(err.Error())
		problems = append(problems, failure.Problem{Path: problemPath(name), Message: explain(err)})
		shorter := withoutFlag(rest, name)
		if len(shorter) == len(rest) {
			return problems, nil
		}
		rest = shorter
	}
}

var (
	processing  = regexp.MustCompile(`^error processing (--[a-z0-9-]+|default value for [^:]+|environment variable [A-Z0-9_]+( with [^:]+)?): `)
	notNumber   = regexp.MustCompile(`^strconv\.\w+: parsing ("[^"]*"): `)
	notDuration = regexp.MustCompile(`^time: .*duration ("[^"]*")$`)
)

// explain rewrites an error of the parser as a message for operators.
func explain(err error) string {
	text := processing.ReplaceAllString(err.Error(), "")
	if value := notNumber.FindStringSubmatch(text); value != nil {
		return value[1] + " is not a number in range"
	}
	if value := notDuration.FindStringSubmatch(text); value != nil {
		return value[1] + " is not a duration, for example 4s or 10m"
	}
	return text
}

func restoreEnv(name, value string) { _ = os.Setenv(name, value) }

func problemPath(flag string) string {
	if flag == "" {
		return "arguments"
	}
	return flag
}

// withoutFlag returns the arguments without one flag and its values, up to the next flag.
func withoutFlag(args []string, flag string) []string {
	start := slices.IndexFunc(args, func(a string) bool { return flag != "" && (a == flag || strings.HasPrefix(a, flag+"=")) })
	if start < 0 {
		return args
	}
	end := start + 1
	for end < len(args) && args[start] == flag && !strings.HasPrefix(args[end], "--") {
		end++
	}
	return slices.Concat(args[:start], args[end:])
}
