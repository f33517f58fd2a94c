// Command spanflowctl is spanflow with all its commands. The spanflow program becomes this one if it has arguments.
package main

import (
	"os"

	"spanflow/internal/commands"
)

func main() { os.Exit(commands.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr)) }
