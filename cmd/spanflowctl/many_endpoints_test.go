package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// Bounds of the platform.
const (
	endBound   = 3700 * time.Millisecond // from SIGTERM to the end; then the process may be killed
	readyBound = 10 * time.Second        // from the start until clients are served
)

// manyEndpoints are so many endpoints in TOML, each of a destination of its own.
func manyEndpoints(count int) string {
	var list strings.Builder
	for i := range count {
		fmt.Fprintf(&list, "[[targets]]\nuid = \"many%d\"\naddress = \"127.9.%d.%d:9\"\ndest = %d\n", i, i/250, i%250+1, i+10)
	}
	return list.String()
}

// The configuration was read in time quadratic in its lines, as the line of each field was counted from the start of
// the file: 500 endpoints took 0.08 s, 2,000 0.9 s, 8,000 12.7 s and 16,000 31 s.
func TestManyEndpointsAreReadInTime(t *testing.T) {
	const endpoints = 32_000
	h := newSingleHarness(t)
	h.writeConfig(manyEndpoints(endpoints))
	began := time.Now()
	out, code := spanflow("check", "-c", h.configFile)
	require.Equal(t, 0, code, out)
	require.Less(t, time.Since(began), readyBound, "check")
	began = time.Now()
	h.start()
	ready := time.Since(began)
	require.Less(t, ready, readyBound)
	h.sendReload()
	h.sendReload()
	ended := h.terminate()
	require.Less(t, ended, endBound)
	t.Logf("%d endpoints: ready after %v, ended %v after SIGHUP, SIGHUP, SIGTERM", endpoints, ready, ended)
}

// Nobody is answered late while a list of many endpoints is put in the place of another.
func TestReloadOfManyEndpointsKeepsAnswering(t *testing.T) {
	const (
		endpoints    = 8_000
		answerWithin = time.Second
	)
	h := startSingle(t)
	h.writeConfig(manyEndpoints(endpoints))
	h.sendReload()
	c := h.client()
	for h.process.Log.Count(logReloaded) == 0 {
		asked := time.Now()
		answer, err := c.Send(emulator.Command("PING"))
		require.NoError(t, err)
		require.Equal(t, "+PONG", answer)
		require.Less(t, time.Since(asked), answerWithin)
	}
}
