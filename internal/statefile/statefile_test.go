package statefile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWriteReplacesFile(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, Write(dir, "state", "a long first content"))
	require.NoError(t, Write(dir, "state", "second"))
	text, err := os.ReadFile(filepath.Join(dir, "state"))
	require.NoError(t, err)
	require.Equal(t, "second", string(text))
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.ErrorIs(t, Write(filepath.Join(dir, "missing"), "state", ""), os.ErrNotExist)
}

func TestMissingFilesReadAsEmpty(t *testing.T) {
	dir := t.TempDir()
	latencies, err := ReadLatencies(dir, "deployment")
	require.NoError(t, err)
	require.Empty(t, latencies)
	require.Empty(t, ReadRetryAfter(dir, 0))
	require.Empty(t, ReadDrains(dir))
	require.Empty(t, NewSpool(dir).Names())
}

func TestLatencyTableIsBounded(t *testing.T) {
	dir := t.TempDir()
	var table LatencyTable
	for number := range uint64(maxLatencyLines) {
		table.AddMeasured(number, []float64{1.23456, 2})
	}
	table.AddInherited(maxLatencyLines, []float64{3})
	require.NoError(t, table.Write(dir, "deployment"))
	latencies, err := ReadLatencies(dir, "deployment")
	require.NoError(t, err)
	require.Len(t, latencies, maxLatencyLines)
	require.Equal(t, []float64{1.235, 2}, latencies[0])
	require.NotContains(t, latencies, uint64(maxLatencyLines))
}

func TestMalformedLatencyLinesAreIgnored(t *testing.T) {
	dir, lines := t.TempDir(), "1 2.5\n\n2\nx 1\n3 y\n4 1 2\n"
	text := latenciesHeader + "\ndeployment\n" + checksum(lines) + "\n" + lines
	require.NoError(t, Write(dir, LatenciesFile, text))
	latencies, err := ReadLatencies(dir, "deployment")
	require.NoError(t, err)
	require.Equal(t, map[uint64][]float64{1: {2.5}, 4: {1, 2}}, latencies)
	_, err = ReadLatencies(dir, "another deployment")
	require.ErrorIs(t, err, ErrLatenciesDeployment)
}

func TestExpiredAndMalformedRetryAfterStateIsIgnored(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, Write(dir, RetryAfterFile, "over 99\nnow 100\nblocked 100.5\nmalformed\nmalformed x\n"))
	require.Equal(t, map[string]float64{"blocked": 100.5}, ReadRetryAfter(dir, 100))
}

func TestSpoolIsBounded(t *testing.T) {
	spool := NewSpool(t.TempDir())
	for range maxSpooledCommands {
		require.NoError(t, spool.Put(Command{Endpoint: "e"}))
	}
	var full *SpoolFullError
	require.ErrorAs(t, spool.Put(Command{Endpoint: "e"}), &full)
	require.Equal(t, maxSpooledCommands, full.Commands)
	names := spool.Names()
	require.NoError(t, spool.Remove(names[0]))
	require.NoError(t, spool.Put(Command{Endpoint: "last", Undrain: true}))
	names = spool.Names()
	last, err := spool.Read(names[len(names)-1])
	require.NoError(t, err)
	require.Equal(t, Command{Endpoint: "last", Undrain: true}, last)
}

func TestSpoolReportsMalformedCommands(t *testing.T) {
	folder := t.TempDir()
	spool := NewSpool(folder)
	require.NoError(t, spool.Put(Command{Endpoint: "e"}))
	for _, text := range []string{"", "out", "out \n", "sideways e\n"} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, spoolDir, "00000002"), []byte(text), filePerm))
		_, err := spool.Read("00000002")
		var malformed *MalformedCommandError
		require.ErrorAs(t, err, &malformed, "%q", text)
		require.Equal(t, "00000002", malformed.Name)
	}
	_, err := spool.Read("00000003")
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestEndpointStatesAreReadOnce(t *testing.T) {
	dir := t.TempDir()
	written := &EndpointStates{
		Revision: 46,
		Listed:   map[string]string{"s-1": "leaving"},
		Health:   map[string]Health{"s-2": {Ejected: true, UsualRate: 0.25}, "s-3": {RecoveringFor: 2.5, UsualRate: 4}},
	}
	require.NoError(t, written.Write(dir))
	text, err := os.ReadFile(filepath.Join(dir, EndpointStatesFile))
	require.NoError(t, err)
	lines := strings.Split(string(text), "\n")
	require.Equal(t, []string{"spanflow endpoints 1", "46", "listed s-1 leaving"}, lines[:3])
	health := []string{"health s-2 ejected 0.000 0.2500", "health s-3 recovering 2.500 4.0000", ""}
	require.ElementsMatch(t, health, lines[3:])
	require.Equal(t, written, TakeEndpointStates(dir))
	none := NewEndpointStates()
	require.Equal(t, none, TakeEndpointStates(dir), "the first read removes the file")

	one := NewEndpointStates()
	one.Revision, one.Listed["d"], one.Health["g"] = 3, "left", Health{true, 1, 2}
	for text, want := range map[string]*EndpointStates{
		"spanflow endpoints 1\n3\nlisted a\nlisted b leaving now\nother c left\nlisted d left\nhealth e ejected 1\n" +
			"health f ejected x 2\nhealth f ejected 1 -2\nhealth f ill 1 2\nhealth f ejected NaN 1\nhealth g ejected 1 2\n": one,
		"spanflow endpoints 1\nx\nlisted d left\n": none,
		"spanflow endpoints 2\n3\nlisted d left\n": none,
		"spanflow endpoints 1":                     none,
		"":                                         none,
	} {
		require.NoError(t, Write(dir, EndpointStatesFile, text))
		require.Equal(t, want, TakeEndpointStates(dir), text)
	}
}

func TestListLeaseIsKept(t *testing.T) {
	const longest = time.Minute
	dir := t.TempDir()
	_, found := ReadListLease(dir, longest)
	require.False(t, found, "there is no file")
	require.NoError(t, RemoveListLease(dir))
	for _, expiresIn := range []time.Duration{-time.Hour, -time.Second, 0, 5 * time.Second} {
		require.NoError(t, WriteListLease(dir, expiresIn))
		read, found := ReadListLease(dir, longest)
		require.True(t, found)
		require.InDelta(t, max(expiresIn, -longest).Seconds(), read.Seconds(), 1)
	}
	require.NoError(t, WriteListLease(dir, time.Hour))
	_, found = ReadListLease(dir, longest)
	require.False(t, found, "written before the machine was started")
	for _, text := range []string{"", listLeaseHeader, listLeaseHeader + "\n", listLeaseHeader + "\nNaN\n", "other\n1\n"} {
		require.NoError(t, Write(dir, ListLeaseFile, text))
		_, found = ReadListLease(dir, longest)
		require.False(t, found, "%q", text)
	}
	require.NoError(t, RemoveListLease(dir))
	require.Empty(t, listNames(t, dir))
}

func listNames(t *testing.T, dir string) (names []string) {
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

func TestClientDrainIsKeptUntilItEnds(t *testing.T) {
	dir := t.TempDir()
	for _, on := range []bool{false, true, true, false, false} {
		require.NoError(t, WriteClientDrain(dir, on))
		require.Equal(t, on, ReadClientDrain(dir))
	}
	require.Error(t, WriteClientDrain(filepath.Join(dir, "missing"), true))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "file"), nil, filePerm))
	require.True(t, ReadClientDrain(filepath.Join(dir, "file")), "the folder cannot be examined")
}

func TestSpoolKeepsCommandsOfEachKind(t *testing.T) {
	spool := NewSpool(t.TempDir())
	want := []Command{{Endpoint: "a"}, {ClientDrain: ClientDrainOn}, {Endpoint: "a", Undrain: true}, {ClientDrain: ClientDrainOff}, {Endpoint: "on"}}
	for _, command := range want {
		require.NoError(t, spool.Put(command))
	}
	var read []Command
	for _, name := range spool.Names() {
		command, err := spool.Read(name)
		require.NoError(t, err)
		read = append(read, command)
	}
	require.Equal(t, want, read)
	for _, line := range []string{"", "out", "lameduck", "lameduck perhaps", "other a"} {
		_, ok := parseCommand(line)
		require.False(t, ok, line)
	}
}

func TestPendingDrainsAreKept(t *testing.T) {
	dir := t.TempDir()
	want := map[string]time.Duration{"a": 1500 * time.Millisecond, "an id with spaces": 2 * time.Second}
	require.NoError(t, WritePendingDrains(dir, want))
	require.Equal(t, want, ReadPendingDrains(dir))
	require.NoError(t, Write(dir, PendingDrainsFile, "1.0 a\nx b\n2.0\n\nNaN c\n1e300 d\n-1 e\n"))
	require.Equal(t, map[string]time.Duration{"a": time.Second}, ReadPendingDrains(dir))
	require.Empty(t, ReadPendingDrains(t.TempDir()))
}
