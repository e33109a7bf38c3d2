// Command audit reads the debug logs of the gateways of one fleet and checks the attempts in them against these rules: a
// request that must not execute twice is not attempted again; no attempt is sent after the final reply, or after the
// gateway has noticed that the client disconnected; and a request is rejected only if it has not executed or can be
// repeated safely. It also counts the attempts that were sent after the client had closed its connection.
//
// It prints the counts, and each violation with the id of its request. The exit status is 1 if there are violations,
// and 2 if a log can't be read.
//
// It understands the log lines of the present version and of the previous one; see event.go.
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
