package forwarder

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// reconfigured records the addresses that it was moved to.
type reconfigured struct{ to []string }

func (r *reconfigured) Reconfigure(addr string, _ int64) { r.to = append(r.to, addr) }

// PROXY_DISCOVERY takes precedence over the file at the start. A reload with the file as it was changes nothing.
func TestReloadKeepsVariableUntilFileChanges(t *testing.T) {
	read := func(text string, variable string) *Config {
		o, err := ReadConfig([]byte(text), func(name string) string {
			return map[string]string{"PROXY_DISCOVERY": variable}[name]
		})
		require.NoError(t, err)
		return o
	}
	discovery, notices := &reconfigured{}, &reconfigured{}
	loop := &eventLoop{
		config:    read(config, "127.0.0.9:1"),
		discovery: discoveryState{movable: discovery},
		notices:   noticeState{movable: notices},
	}
	loop.configuredScheduler = loop.config.Scheduler
	require.Equal(t, "127.0.0.9:1", loop.config.Notices())
	require.NoError(t, loop.applyConfig(read(config, "")))
	require.Empty(t, discovery.to)
	other := strings.Replace(config, "127.0.0.5:8500", "127.0.0.6:8500", 1)
	require.NoError(t, loop.applyConfig(read(other, "")))
	require.Equal(t, []string{"127.0.0.6:8500"}, discovery.to)
	require.Equal(t, "127.0.0.6:8500", loop.config.Notices())
	loop.config.FullReload = true
	next := read(other, "")
	next.FullReload, next.Seed, next.noticeAddress = true, loop.config.Seed, "127.0.0.7:1"
	require.ErrorContains(t, loop.applyConfig(next), "discovery.notices")
	loop.config.noticeAddress = "127.0.0.8:1"
	require.NoError(t, loop.applyConfig(next))
	require.Equal(t, []string{"127.0.0.7:1"}, notices.to)
	require.Len(t, discovery.to, 1)
}
