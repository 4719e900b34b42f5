// Command rig3 plays the scripted cases of a review against the node program: stand-ins for engines, the platform's list, the operator and clients.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the scripted cases by name. They report whether the rule was broken.
var cases = map[string]func(record *os.File, trouble bool) (broken bool, err error){
	"deadly":   deadly,
	"founding": founding,
	"shrunk":   shrunk,
	"swapped":  swapped,
	"writer":   writer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintf(record, "the case could not run: %v\n", err)
	}
	_ = record.Close()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
