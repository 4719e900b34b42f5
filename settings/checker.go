package settings

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Checker collects problems of settings. Its methods add a problem for each value that fails the check. The path of a
// problem is the name of the flag.
type Checker struct {
	problems []failure.Problem
}

// Problems returns all problems found.
func (c *Checker) Problems() []failure.Problem { return c.problems }

// AddProblem adds a problem.
func (c *Checker) AddProblem(path, format string, args ...any) {
	c.problems = append(c.problems, failure.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Required checks that a value is set.
func (c *Checker) Required(path, value, example string) {
	if value == "" {
		c.AddProblem(path, "must be set, for example %s", example)
	}
}

// Address checks that a value is an IP address and port. Host names are refused, because processes address each other
// by IP address.
func (c *Checker) Address(path, value string) {
	if value == "" {
		c.AddProblem(path, "must be set, for example 127.0.0.1:7000")
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.AddProblem(path, "%q is not an IP address and port", value)
		return
	}
	if net.ParseIP(host) == nil {
		c.AddProblem(path, "%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.AddProblem(path, "%q is not a port number", port)
	}
}

// ListenAdvertise checks the address that a process listens on and the one that it advertises, which defaults to it.
func (c *Checker) ListenAdvertise(listen string, advertise *string) {
	c.Address("--listen", listen)
	if *advertise == "" {
		*advertise = listen
		return
	}
	c.Address("--advertise", *advertise)
}

// KeyFile reads a key from a file, which must hold exactly len(key) bytes.
func (c *Checker) KeyFile(path, file string, key []byte) {
	if file == "" {
		c.AddProblem(path, "must be set, for example /etc/wasabishunt/piece.key")
		return
	}
	content, err := os.ReadFile(file)
	switch {
	case err != nil:
		c.AddProblem(path, "%s", err.Error())
	case len(content) != len(key):
		c.AddProblem(path, "must hold exactly %d bytes, holds %d", len(key), len(content))
	default:
		copy(key, content)
	}
}

// OptionalIP checks that a value, if set, is an IP address.
func (c *Checker) OptionalIP(path, value string) {
	if value != "" && net.ParseIP(value) == nil {
		c.AddProblem(path, "%q is not an IP address", value)
	}
}

// Addresses checks a list that must not be empty.
func (c *Checker) Addresses(path string, values []string) {
	if len(values) == 0 {
		c.AddProblem(path, "at least one address must be set, for example 127.0.0.1:7100")
	}
	for i, v := range values {
		c.Address(fmt.Sprintf("%s[%d]", path, i), v)
	}
}

// PositiveDurations checks that each duration is above zero. Problems are listed in the order of the paths.
func (c *Checker) PositiveDurations(values map[string]time.Duration) {
	for _, path := range slices.Sorted(maps.Keys(values)) {
		Positive(c, path, values[path])
	}
}

// Positive checks that a number is above zero.
func Positive[T int | int64 | uint64 | float64 | time.Duration](c *Checker, path string, value T) {
	if value <= 0 {
		c.AddProblem(path, "must be above 0, is %v", value)
	}
}
