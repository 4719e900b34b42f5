// Command stand2 plays one script of the second review: it starts wasabishunt-node processes with stand-ins for the platform, its engines
// and its clients, and checks one rule by what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases maps the name of each case to its play, which returns what broke the rule, "" if it held.
var cases = map[string]func(s *system, trouble bool) (string, error){
	"neighbours": playNeighbours,
	"batches":    playBatches,
	"odd-entry":  playOddEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	r.note("case %s, with the disruption: %t", name, trouble)
	s := newSystem(r)
	defer s.stop()
	broken, err := cases[name](s, trouble)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	case broken != "":
		r.note("the rule is broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
