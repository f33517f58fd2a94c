// Command spanflowctl is spanflow with all its commands. cmd/spanflow calls it where it is given arguments.
package main

import (
	"os"

	"spanflow/internal/commands"
)

func main() { os.Exit(commands.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr)) }
