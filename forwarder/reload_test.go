package forwarder

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
)

// recordingReconfigurable records the addresses that it was switched to.
type recordingReconfigurable struct{ addresses []string }

func (r *recordingReconfigurable) Reconfigure(addr string, _ int64) {
	r.addresses = append(r.addresses, addr)
}

func (r *recordingReconfigurable) LastLine() time.Time { return time.Time{} }

// PROXY_DISCOVERY takes precedence over the file at the start. A reload of the unchanged file does not change the
// address.
func TestReloadKeepsVariableUntilFileChanges(t *testing.T) {
	read := func(text string, variable string) *Config {
		o, err := ReadConfig([]byte(text), func(name string) string {
			return map[string]string{"PROXY_DISCOVERY": variable}[name]
		})
		require.NoError(t, err)
		return o
	}
	discovery, notices := &recordingReconfigurable{}, &recordingReconfigurable{}
	loop := &eventLoop{
		config:    read(testConfig, "127.0.0.9:1"),
		discovery: discoveryState{reconfigurable: discovery},
		notices:   noticeState{reconfigurable: notices},
	}
	loop.configuredScheduler = loop.config.Scheduler
	loop.scheduler = scheduler.New(loop.config.Scheduler, 1, 0, loop)
	require.Equal(t, "127.0.0.9:1", loop.config.Notices())
	require.NoError(t, loop.applyConfig(read(testConfig, "")))
	require.Empty(t, discovery.addresses)
	other := strings.Replace(testConfig, "127.0.0.5:8500", "127.0.0.6:8500", 1)
	require.NoError(t, loop.applyConfig(read(other, "")))
	require.Equal(t, []string{"127.0.0.6:8500"}, discovery.addresses)
	require.Equal(t, "127.0.0.6:8500", loop.config.Notices())
	loop.config.FullReload = true
	next := read(other, "")
	next.FullReload, next.Seed, next.noticeAddress = true, loop.config.Seed, "127.0.0.7:1"
	require.ErrorContains(t, loop.applyConfig(next), "discovery.notices")
	loop.config.noticeAddress = "127.0.0.8:1"
	require.NoError(t, loop.applyConfig(next))
	require.Equal(t, []string{"127.0.0.7:1"}, notices.addresses)
	require.Len(t, discovery.addresses, 1)
}
