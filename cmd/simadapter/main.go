// Command simadapter runs the decision module in the simulator: it translates between the simulator's lines and the
// policy package, and decides nothing. One process may hold many gateways, which share nothing.
//
// The simulator sends events in batches, from a CLOCK line to a YOUR_TURN line; the reply to a batch is the actions
// that its events gave, in their order. The replies derive from the input alone.
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
