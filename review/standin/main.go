// Command standin plays the cases of the review: it starts the project's program as
// separate processes between stand-ins of the platform's store, runners and clients.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the
// case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"removed-runner": removedRunner,
	"second-sigterm": secondSigterm,
	"large-bodies":   largeBodies,
}

// zonesOf holds the zones of the entries of each case.
var zonesOf = map[string][]string{
	"removed-runner": {"maule-a", "maule-a", "maule-a", "biobio-a", "biobio-a", "coquimbo-a", "coquimbo-a"},
	"second-sigterm": {"maule-a", "biobio-a"},
	"large-bodies":   {"maule-a"},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	f, err := newFleet(record, zonesOf[name]...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		f.close()
		os.Exit(2)
	}()
	v, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.journal.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f.journal.printf("broken: %v. %s", v.broken, v.text)
	fmt.Printf("broken: %v. %s\n", v.broken, v.text)
	if v.broken {
		return 1
	}
	return 0
}
