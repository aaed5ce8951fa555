// Command standins-2 holds the stand-ins of the scripts of review/REPORT-2.md: the platform's
// store, runners and clients, and the cases themselves. A case starts the entries and the runners
// as separate processes on loopback addresses, writes what was sent, answered and run to a file,
// and exits with 1 if the rule was broken, 0 if it held and 2 if it could not run. TROUBLE=0 leaves
// the disruptions out; other values that a case names leave one of two out.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		runRunner(os.Args[2])
		return
	}
	cases := map[string]func(recordPath, trouble string) int{
		"bad-part":    badPart,
		"cut-answer":  cutAnswer,
		"drill":       drill,
		"bad-version": badVersion,
		"cut-stream":  cutStream,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal(fmt.Errorf("usage: %s CASE RECORD", os.Args[0]))
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE")))
}
