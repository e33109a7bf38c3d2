// Command simadapter runs the decision module in the simulator. It translates between the simulator's lines and the API
// of the policy package, and makes no decisions of its own. One process may run many independent gateways.
//
// The simulator sends events in batches, each from a CLOCK line to a YOUR_TURN line. The reply to a batch holds the
// actions that the gateways took for its events, and a FAULT for each event that made its gateway panic, in the order of
// the events. The output depends on the input only, so that runs are reproducible.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
