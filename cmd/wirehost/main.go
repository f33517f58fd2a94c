// Command wirehost is an alias of simadapter, kept for deployment files that use this former name.
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
