// Command simadapter hosts forwarders of the scheduler on the frames of standard input and output.
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
