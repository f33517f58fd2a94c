package wal

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each process begins a file. Those of processes that wrote less than a file holds are freed too, before they fill the
// log: it would take nothing more and record no end, whatever little is owed.
func TestManyShortProcessesDoNotFillTheWriteAheadLog(t *testing.T) {
	dir := t.TempDir()
	kept := 0
	for process := range 120 {
		l := open(t, dir)
		require.Len(t, l.Pending(), kept)
		take(t, l, fmt.Sprint("kept ", process), 100)
		kept++
		for i := range 30 {
			e := take(t, l, fmt.Sprintf("%d of %d", i, process), 1000)
			require.NoError(t, l.RecordDone(e.Seq), "process %d", process)
		}
		require.LessOrEqual(t, l.Used(), int64(limit))
		require.NoError(t, l.Close())
	}
	require.Len(t, owed(t, dir), kept)
}
