// Rig3 plays the scripted cases of the third review against processes of the system: it holds
// stand-ins of the platform's store, of runners and of clients.
//
//	rig3 CASE RECORD
//
// CASE is the name of a case. RECORD is the file that gets the
// record. With TROUBLE=0 in the environment the
// disruption is left out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
)

// trial is what a case has at hand.
type trial struct {
	*record
	dir string // for settings and logs of the entries
	// trouble is unset if the disruption is left out.
	trouble bool
	entries []*entry
}

// cases holds the cases by name. Each reports whether the rule held.
var cases = map[string]func(*trial) (held bool, err error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return 2
	}
	log, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.close()
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	t := &trial{record: log, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	held, err := cases[args[0]](t)
	for _, e := range t.entries {
		e.kill()
	}
	switch {
	case err != nil:
		log.say("The case could not run: %v", err)
		return 2
	case held:
		log.say("The rule held.")
		return 0
	}
	log.say("The rule was broken.")
	return 1
}

// startAll starts the entries and waits until they are ready.
func (t *trial) startAll() error {
	for _, e := range t.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	return awaitReady(t.entries)
}
