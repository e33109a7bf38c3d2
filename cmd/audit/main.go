// Command audit reads debug logs, each from one gateway, and checks these rules within each log:
//
//   - After an attempt that may have executed, a request is attempted again only if its class is idempotent, or if the
//     class has idempotency keys and the new attempt is in the dedup group and the idempotency window of the first
//     such attempt.
//   - No attempt is sent after the final reply, or after the gateway has noticed that the client disconnected.
//   - A request is rejected only if the gateway knows that it has not executed, or if it can be repeated safely.
//
// It does not compare attempts of the same request in different logs.
//
// It prints counts of attempts over all logs, and the violations, each with the name of its log and the id of its
// request. One of the counts is the number of attempts whose client had already closed its connection when the attempt
// was logged. The exit status is 1 if there are violations, and 2 if the audit fails.
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
