// Command wirehost is the former name of simadapter, kept as an alias for deploy files that name it.
package main

import (
	"fmt"
	"os"

	"spanflow/internal/simproto"
)

func main() {
	if err := simproto.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
