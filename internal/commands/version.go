package commands

import (
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
)

func (s *session) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE:  cli.Run(func([]string) error { return s.printVersion() }),
	}
}

// buildInfo is the output of version.
type buildInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"changed,omitempty"`
}

func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version, b.Go = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			b.Revision = setting.Value
		case "vcs.time":
			b.Time = setting.Value
		case "vcs.modified":
			b.Modified = setting.Value == "true"
		}
	}
	return b
}

func (s *session) printVersion() error {
	b := readBuildInfo()
	if s.json {
		return cli.PrintJSON(s.out, b)
	}
	_, err := fmt.Fprintln(s.out, strings.TrimSpace(fmt.Sprintf("spanflow %s %s %s", b.Version, b.Go, b.Revision)))
	return err
}
