package commands

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/config"
)

// inspectFlags are the flags of the commands that read the write-ahead log or the backlog store.
type inspectFlags struct {
	folder        string
	destination   string
	tenant        string
	key           string
	frontend      string
	messageType   string
	state         string
	expiredFor    time.Duration
	expiresWithin time.Duration
	limit         int
}

// withFolderFlags adds the flags that select a folder, directly or by a configuration, to a command.
func (s *session) withFolderFlags(c *cobra.Command, flags *inspectFlags) *cobra.Command {
	s.withConfigFlags(c).Flags().StringVarP(&flags.folder, "folder", "f", "", "folder to read (default: the one in the configuration)")
	must(c.MarkFlagDirname("folder"))
	return c
}

// addLaneFlags adds the flags that select a destination and a tenant to a command.
func (f *inspectFlags) addLaneFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.destination, "dest", "", "only messages for this destination")
	c.Flags().StringVar(&f.tenant, "tenant", "", "only messages of this tenant: its number or, with a configuration, its name")
}

// folderSource reads a folder's path from a configuration in either format, empty if the configuration has none.
type folderSource struct {
	ofForwarder func(*forwarder.Config) string
	ofFile      func(*config.Loaded) string
}

// folder returns the selected folder, and the names of the tenants if there is a configuration.
func (s *session) folder(flag string, source folderSource) (folder string, tenants []string, err error) {
	if flag != "" && s.configPath == "" {
		return flag, nil, nil
	}
	path, platform, err := s.configFile()
	if err != nil {
		return "", nil, errors.New("no folder; use --folder or --config FILE")
	}
	if platform {
		folder, tenants, err = s.platformFolder(source)
	} else {
		folder, tenants, err = s.fileFolder(path, source)
	}
	if err != nil {
		return "", nil, err
	}
	if flag != "" {
		folder = flag
	}
	if folder == "" {
		return "", nil, fmt.Errorf("%s sets no folder; use --folder", path)
	}
	return folder, tenants, nil
}

func (s *session) platformFolder(source folderSource) (folder string, tenants []string, err error) {
	c, err := s.forwarderConfig()
	if err != nil {
		return "", nil, err
	}
	return source.ofForwarder(c), c.Names.Tenants, nil
}

func (s *session) fileFolder(path string, source folderSource) (folder string, tenants []string, err error) {
	l, err := config.Load(path, s.environ, s.set)
	if err != nil {
		return "", nil, s.reportProblems(err)
	}
	for _, t := range l.Tenants {
		tenants = append(tenants, t.Name)
	}
	return source.ofFile(l), tenants, nil
}

// lane parses the flags that select a destination and a tenant. A nil result means that the flag is not set.
func (f *inspectFlags) lane(tenants []string) (destination *uint64, tenant *int, err error) {
	if f.destination != "" {
		if destination, err = parseNumber("dest", f.destination, 10, 32); err != nil {
			return nil, nil, err
		}
	}
	if f.tenant == "" {
		return destination, nil, nil
	}
	number := slices.Index(tenants, f.tenant)
	if number < 0 {
		n, err := parseNumber("tenant", f.tenant, 10, 31)
		if err != nil {
			return nil, nil, err
		}
		number = int(*n)
	}
	return destination, &number, nil
}

// parseNumber parses the number that a flag is set to.
func parseNumber(flag, text string, base, bits int) (*uint64, error) {
	n, err := strconv.ParseUint(text, base, bits)
	if err != nil {
		return nil, fmt.Errorf("--%s: %q is not a number", flag, text)
	}
	return &n, nil
}
