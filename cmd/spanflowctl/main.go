// Command spanflowctl contains all commands of spanflow. The spanflow program executes it if called with arguments.
package main

import (
	"os"

	"spanflow/internal/commands"
)

func main() { os.Exit(commands.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr)) }
