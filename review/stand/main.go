// Command stand runs the cases of the review that need a script: it starts nodes of the users' platform and stand-ins for all that
// surrounds them, on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// binary is the program of the deploy file.
const binary = "target/wasabishunt-node"

var cases = map[string]func(r *record, binary string, trouble bool) error{"cut": runCut, "keys": runKeys, "list": runList}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case NAME and writes its record to FILE, and returns the exit code.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand NAME FILE")
		return exitFailed
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	err = cases[args[0]](r, binary, os.Getenv("TROUBLE") != "0")
	switch broken := r.breaks(); {
	case broken > 0:
		r.write("the rule was broken %d times", broken)
		return exitBroken
	case err != nil:
		r.write("the case could not run: %v", err)
		return exitFailed
	}
	r.write("the rule held")
	return exitHeld
}
