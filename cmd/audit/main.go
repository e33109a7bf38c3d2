// Command audit reads the logs that the gateways of one fleet wrote at debug level and checks the attempts in them
// against the rules: a request that must not execute twice is not attempted again, and no attempt begins for a client
// that has disconnected. It prints the counts, and each violation with the request's id. It exits with 1 if there is
// a violation, and with 2 if a log can't be read.
//
// It reads the lines of the present version and those of the version before it; see event.go.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: audit LOG...")
		os.Exit(2)
	}
	audit := newAudit()
	for _, path := range os.Args[1:] {
		if err := audit.readFile(path); err != nil {
			fmt.Fprintln(os.Stderr, "audit:", err)
			os.Exit(2)
		}
	}
	if _, err := os.Stdout.WriteString(audit.report()); err != nil {
		fmt.Fprintln(os.Stderr, "audit:", err)
		os.Exit(2)
	}
	if len(audit.violations) > 0 {
		os.Exit(1)
	}
}
