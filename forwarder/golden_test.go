package forwarder

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
	"spanflow/internal/drains"
	"spanflow/internal/golden"
	"spanflow/internal/settings"
	"spanflow/internal/statefile"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// The folders in testdata were written by version 1 of the file formats. Files left by an earlier process must be read
// correctly, and new files must be written with the same bytes.
const (
	goldenLatencies         = "latencies"           // learned at one destination
	goldenLatenciesSeveral  = "latencies-3"         // of three destinations; written by hand, as their order in the file varies
	goldenRetryAfter        = "retry-after"         // state of one endpoint
	goldenRetryAfterSeveral = "retry-after-several" // state of several endpoints; written by hand for the same reason
	goldenDrains            = "drains"
	goldenNoDrains          = "drains-none"
	goldenSpool             = "command-spool"
	goldenStored            = "stored" // messages of the write-ahead log as written to the backlog store

	goldenNow         = 1_700_000_000 // seconds of the wall clock
	goldenDestination = 3             // chosen so that the checksum of the latencies begins with a zero
	logLock           = "owner"       // holds the id of a process
	storeLock         = "backlog.lock"
)

// goldenLatencyCounts returns counts of calls by latency.
func goldenLatencyCounts() []float64 {
	times := make([]float64, 16)
	times[0], times[3], times[9], times[15] = 0.25, 12345.678, 40, 1e-7
	return times
}

// goldenLatencyLoop returns an event loop with a folder and the same deployment as the golden latencies.
func goldenLatencyLoop(t *testing.T, folder string) *eventLoop {
	t.Helper()
	loop, logged := newLatencyLoop(folder)
	require.Empty(t, logged.String())
	return loop
}

func TestWritesSameLatenciesAsVersion1(t *testing.T) {
	folder := t.TempDir()
	loop := goldenLatencyLoop(t, folder)
	require.True(t, loop.scheduler.RestoreLatencies(loop.destination(goldenDestination), goldenLatencyCounts()))
	loop.writeLatencies()
	awaitStateFiles(t, loop)
	golden.Compare(t, folder, goldenLatencies)
}

func TestReadsLatenciesWrittenByVersion1(t *testing.T) {
	loop := goldenLatencyLoop(t, golden.Copy(t, goldenLatencies))
	want := make([]float64, 16) // weighted by the scheduler, with four significant digits
	want[0], want[3], want[9], want[15] = 0.0001009, 4.984, 0.01615, 4.037e-11
	require.Equal(t, map[uint64][]float64{goldenDestination: want}, loop.endpoints.restoredLatencies)

	several := goldenLatencyLoop(t, golden.Copy(t, goldenLatenciesSeveral)).endpoints.restoredLatencies
	require.Len(t, several, 3)
	require.Equal(t, 1.5, several[1][0])
	require.Equal(t, 1e-7, several[1<<63][15])
	require.Equal(t, 250.0, several[12][8])
}

func TestKeepsLatenciesOfUnknownDestinationAsVersion1(t *testing.T) {
	folder := golden.Copy(t, goldenLatencies)
	loop := goldenLatencyLoop(t, folder)
	loop.writeLatencies()
	awaitStateFiles(t, loop)
	golden.Compare(t, folder, goldenLatencies)
}

// goldenEndpointLoop returns an event loop with a folder and two listed endpoints.
func goldenEndpointLoop(folder string) *eventLoop {
	loop := newEndpointLoop()
	loop.config.Folder = folder
	loop.epoch = time.Unix(goldenNow, 0)
	loop.updateEndpoints(&transport.EndpointList{Revision: 1, Complete: true, Endpoints: []transport.Endpoint{
		{UID: "endpoint-1", Address: "127.0.0.1:1", Destination: 7, State: "active"},
		{UID: "endpoint-2", Address: "127.0.0.1:2", Destination: 8, State: "active"}}}, true)
	return loop
}

func TestWritesSameRetryAfterStateAsVersion1(t *testing.T) {
	folder := t.TempDir()
	loop := goldenEndpointLoop(folder)
	loop.scheduler.BlockUntil(loop.endpoints.byUID["endpoint-1"].scheduled, goldenNow+12.3456)
	loop.scheduler.BlockUntil(loop.endpoints.byUID["endpoint-2"].scheduled, goldenNow-1) // already over
	loop.writeRetryAfter(goldenNow)
	awaitStateFiles(t, loop)
	golden.Compare(t, folder, goldenRetryAfter)
}

func TestReadsRetryAfterStateWrittenByVersion1(t *testing.T) {
	require.Equal(t, map[string]float64{"endpoint-1": goldenNow + 12.346},
		statefile.ReadRetryAfter(golden.Copy(t, goldenRetryAfter), goldenNow))
	require.Equal(t, map[string]float64{"endpoint-2": goldenNow + 0.001, "unlisted": goldenNow + 3600},
		statefile.ReadRetryAfter(golden.Copy(t, goldenRetryAfterSeveral), goldenNow))
	require.Empty(t, statefile.ReadRetryAfter(t.TempDir(), goldenNow))
}

func TestWritesSameDrainsAsVersion1(t *testing.T) {
	folder := t.TempDir()
	drains := drains.New(nil)
	for _, id := range []string{"endpoint-2", "endpoint-10", "an id with spaces", "\u00e5"} {
		drains.Drain(id, true)
	}
	require.NoError(t, statefile.WriteDrains(folder, drains.IDs()))
	golden.Compare(t, folder, goldenDrains)
	require.NoError(t, statefile.WriteDrains(folder, nil))
	golden.Compare(t, folder, goldenNoDrains)
}

func TestReadsDrainsWrittenByVersion1(t *testing.T) {
	drains := drains.New(statefile.ReadDrains(golden.Copy(t, goldenDrains)))
	require.Equal(t, []string{"an id with spaces", "endpoint-10", "endpoint-2", "\u00e5"}, drains.IDs())
	require.Empty(t, statefile.ReadDrains(golden.Copy(t, goldenNoDrains)))
}

var goldenCommands = []statefile.Command{
	{Endpoint: "endpoint-1"},
	{Endpoint: "an id with spaces"},
	{Endpoint: "endpoint-1", Undrain: true},
}

func TestWritesSameCommandSpoolAsVersion1(t *testing.T) {
	folder := t.TempDir()
	for _, c := range goldenCommands {
		require.NoError(t, statefile.NewSpool(folder).Put(c))
	}
	golden.Compare(t, folder, goldenSpool)
}

func TestReadsCommandSpoolWrittenByVersion1(t *testing.T) {
	folder := golden.Copy(t, goldenSpool)
	spool := statefile.NewSpool(folder)
	var commands []statefile.Command
	for _, name := range spool.Names() {
		c, err := spool.Read(name)
		require.NoError(t, err)
		commands = append(commands, c)
	}
	require.Equal(t, goldenCommands, commands)

	loop := goldenEndpointLoop(folder)
	require.True(t, loop.runSpooledCommands())
	require.Equal(t, []string{"an id with spaces"}, loop.operators.drains.IDs())
	require.Empty(t, spool.Names())
}

// goldenStoreLoop returns an event loop with one message type of each idempotency. The last one keeps the order of its
// keys.
func goldenStoreLoop() *eventLoop {
	config := &Config{Names: settings.Names{Types: []string{"idempotent", "idempotent-with-key", "at-most-once"}},
		Scheduler: scheduler.Settings{Types: []scheduler.MessageType{
			{Idempotency: scheduler.Idempotent},
			{Idempotency: scheduler.IdempotentWithKey, DeduplicationWindow: 600},
			{Idempotency: scheduler.AtMostOnce, InOrder: true},
		}}}
	return newEventLoop(config, zerolog.Nop(), newEventQueue())
}

// goldenEntries returns one message of each idempotency: one untried, one tried, and one with an attempt that may have
// run.
func goldenEntries() []*wal.Entry {
	return []*wal.Entry{
		{Seq: 1, Key: 5, Destination: 7, Tenant: 2, Type: "idempotent", ID: "id-1", Expiry: 1_700_000_016_000_000,
			Body: []byte("one")},
		{Seq: 2, Key: 5, Destination: 7, Tenant: 2, Type: "idempotent-with-key", ID: "id-2", IdempotencyKey: "key-2",
			Expiry: 1_700_000_016_000_001, Attempts: 2, Body: []byte("two"), Frontend: "web"},
		{Seq: 3, Key: 5, Destination: 7, Tenant: 2, Type: "at-most-once", ID: "id-3", Expiry: 1_700_000_016_000_002, Attempts: 3,
			FirstRanAt: 1_700_000_001_000_000, FirstRanZone: 4, Body: []byte("three")},
	}
}

var goldenStoreBounds = backlog.Bounds{Bytes: 64 << 10, SegmentBytes: 1 << 10}

func TestStoresMessagesWithSameBytesAsVersion1(t *testing.T) {
	folder := t.TempDir()
	store, err := backlog.Open(backlog.OS{}, folder, goldenStoreBounds)
	require.NoError(t, err)
	loop := goldenStoreLoop()
	for _, e := range goldenEntries() {
		require.NoError(t, store.Append(loop.storedMessage(e, time.Unix(goldenNow, int64(e.Seq)*1000))))
	}
	require.NoError(t, store.Close())
	golden.Compare(t, folder, goldenStored, storeLock)
}

func TestReadsMessagesStoredByVersion1(t *testing.T) {
	store, err := backlog.Open(backlog.OS{}, golden.Copy(t, goldenStored), goldenStoreBounds)
	require.NoError(t, err)
	messages, err := store.Head(backlog.Lane{Destination: 7, Tenant: 2}, 10)
	require.NoError(t, err)
	var entries []*wal.Entry
	for _, m := range messages {
		entries = append(entries, entryOf(m))
	}
	require.Equal(t, goldenEntries(), entries)
	require.NoError(t, store.Close())
}

func TestGoldenFilesHaveTheNamesOfVersion1(t *testing.T) {
	for folder, file := range map[string]string{goldenLatencies: "learnt", goldenRetryAfter: "waits",
		goldenDrains: "out-by-hand", goldenSpool: filepath.Join("by-hand", "00000001")} {
		_, err := os.Stat(filepath.Join("testdata", folder, file))
		require.NoError(t, err)
	}
}
