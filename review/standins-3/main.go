// Command standins-3 starts entries of this project between stand-ins of the platform's store,
// of runners and of clients, brings about one disruption and checks a rule. Each case of the
// review is a subcommand; runners are processes of their own.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*rig) (broken bool){
	"reborn":        reborn,
	"reused":        addressReused,
	"stale-outcome": staleOutcome,
	"cold-again":    coldAgain,
	"cold-unseen":   coldUnseen,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE | runner ...")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(play(run))
}
