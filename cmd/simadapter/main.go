// Command simadapter runs forwarders for the simulator. It reads batches of events from standard input and writes a
// reply to each batch to standard output.
package main

import (
	"fmt"
	"os"

	"spanflow/internal/simproto"
)

func main() {
	if err := simproto.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
