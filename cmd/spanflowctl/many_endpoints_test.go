package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// Time limits of the platform.
const (
	terminationBound = 3700 * time.Millisecond // from SIGTERM to the end; then the platform may send SIGKILL
	readyBound       = 10 * time.Second        // from the start until clients are served
)

// manyEndpoints returns the TOML of count endpoints, each of a different destination.
func manyEndpoints(count int) string {
	var list strings.Builder
	for i := range count {
		fmt.Fprintf(&list, "[[targets]]\nuid = \"many%d\"\naddress = \"127.9.%d.%d:9\"\ndest = %d\n", i, i/250, i%250+1, i+10)
	}
	return list.String()
}

// Guards against a fault in which reading the configuration took time quadratic in its length, as the line number of
// each field was counted from the start of the file: 500 endpoints took 0.08 s, 2,000 took 0.9 s, 8,000 took 12.7 s and
// 16,000 took 31 s.
func TestConfigurationWithManyEndpointsIsReadInTime(t *testing.T) {
	const endpoints = 32_000
	h := newSingleHarness(t)
	h.writeConfig(manyEndpoints(endpoints))
	startedAt := time.Now()
	out, code := spanflow("check", "-c", h.configFile)
	require.Equal(t, 0, code, out)
	require.Less(t, time.Since(startedAt), readyBound, "check")
	startedAt = time.Now()
	h.start()
	ready := time.Since(startedAt)
	require.Less(t, ready, readyBound)
	h.sendReload()
	h.sendReload()
	ended := h.terminate()
	require.Less(t, ended, terminationBound)
	t.Logf("%d endpoints: ready after %v, ended %v after SIGHUP, SIGHUP, SIGTERM", endpoints, ready, ended)
}

// Clients are answered in time while a reload replaces the endpoint list by one with many endpoints.
func TestReloadOfManyEndpointsDelaysNoAnswers(t *testing.T) {
	const (
		endpoints    = 8_000
		answerWithin = time.Second
	)
	h := startSingle(t)
	h.writeConfig(manyEndpoints(endpoints))
	h.sendReload()
	c := h.client()
	for h.process.Log.Count(logReloaded) == 0 {
		sentAt := time.Now()
		answer, err := c.Send(emulator.Command("PING"))
		require.NoError(t, err)
		require.Equal(t, "+PONG", answer)
		require.Less(t, time.Since(sentAt), answerWithin)
	}
}
