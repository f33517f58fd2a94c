package hollow

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func decodeObject(t *testing.T, encoded []byte) object {
	t.Helper()
	var o object
	require.NoError(t, json.Unmarshal(encoded, &o))
	return o
}

func TestWatchGetsChangesAfterItsRevision(t *testing.T) {
	r := newRegistry(5, 1)
	since := func(revision int64) object {
		encoded, err := r.since(revision)
		require.NoError(t, err)
		return decodeObject(t, encoded)
	}
	unchanged := since(firstRevision)
	require.Equal(t, object{Revision: firstRevision, Entries: []entry{}}, unchanged)

	revision, err := r.publish()
	require.NoError(t, err)
	require.EqualValues(t, firstRevision+1, revision)
	changed := since(firstRevision)
	require.False(t, changed.All)
	require.Len(t, changed.Entries, 1)
	require.Equal(t, stateLeaving, changed.Entries[0].State)

	for range 20 {
		_, err = r.publish()
		require.NoError(t, err)
	}
	merged := since(firstRevision)
	require.False(t, merged.All)
	require.Equal(t, r.revision, merged.Revision)
	require.Len(t, merged.Entries, 5, "each endpoint once, in its current state")
	for _, endpoint := range merged.Entries {
		require.Contains(t, r.list, endpoint)
	}
}

func TestWatchGetsFullListWithoutHistory(t *testing.T) {
	r := newRegistry(5, 1)
	for range historyLength + 1 {
		_, err := r.publish()
		require.NoError(t, err)
	}
	for revision, full := range map[int64]bool{0: true, firstRevision: true, firstRevision + 1: false, r.revision + 1: true} {
		encoded, err := r.since(revision)
		require.NoError(t, err)
		o := decodeObject(t, encoded)
		require.Equal(t, full, o.All, "since %d", revision)
		require.Equal(t, r.revision, o.Revision)
		if full {
			require.Equal(t, r.list, o.Entries)
		}
	}
}

// watchFrom starts a watch of changes after a revision and returns its connection with a reader.
func watchFrom(t *testing.T, address string, revision int64) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "GET /v1/endpoints?stream=1&index=%d HTTP/1.1\r\nHost: discovery\r\n\r\n", revision)
	require.NoError(t, err)
	return c, bufio.NewReader(c)
}

func nextObject(t *testing.T, c net.Conn, in *bufio.Reader) object {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	for {
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		if strings.HasPrefix(line, "{") {
			return decodeObject(t, []byte(line))
		}
	}
}

func TestConnectionsOfCutOffZoneAreSilentThenReset(t *testing.T) {
	s, err := newServer(5, 1)
	require.NoError(t, err)
	t.Cleanup(func() { s.down() })
	cutConn, cutIn := watchFrom(t, s.addresses[0], firstRevision)
	openConn, openIn := watchFrom(t, s.addresses[1], firstRevision)
	require.EqualValues(t, firstRevision, nextObject(t, cutConn, cutIn).Revision)
	require.EqualValues(t, firstRevision, nextObject(t, openConn, openIn).Revision)

	require.NoError(t, s.setReach(reachRequest{Reach: reachCut}))
	revision, err := s.publish()
	require.NoError(t, err)
	require.Equal(t, revision, nextObject(t, openConn, openIn).Revision)
	require.NoError(t, cutConn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = cutIn.ReadString('{')
	require.ErrorContains(t, err, "timeout")

	require.NoError(t, s.setReach(reachRequest{Reach: reachRestored}))
	require.NoError(t, cutConn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = cutIn.ReadString('{')
	require.ErrorContains(t, err, "reset")
	newConn, newIn := watchFrom(t, s.addresses[0], firstRevision)
	require.Equal(t, revision, nextObject(t, newConn, newIn).Revision)
}

func TestDiscoverySendsChangesMadeDuringItsOutage(t *testing.T) {
	s, err := newServer(5, 1)
	require.NoError(t, err)
	t.Cleanup(func() { s.down() })
	c, in := watchFrom(t, s.addresses[0], firstRevision)
	nextObject(t, c, in)
	require.NoError(t, s.setReach(reachRequest{Reach: reachDown}))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = in.ReadString('{')
	require.Error(t, err)
	_, err = net.Dial("tcp", s.addresses[0])
	require.ErrorContains(t, err, "refused")
	revision, err := s.publish()
	require.NoError(t, err)
	require.NoError(t, s.setReach(reachRequest{Reach: reachUp}))
	c, in = watchFrom(t, s.addresses[0], firstRevision)
	missed := nextObject(t, c, in)
	require.Equal(t, revision, missed.Revision)
	require.False(t, missed.All)
}
