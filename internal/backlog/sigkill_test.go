package backlog

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const childDir = "SPANFLOW_BACKLOG_CHILD" // set for the process that the test kills

var killBounds = Bounds{Bytes: 4 << 20, SegmentBytes: 64 << 10}

// TestMain runs as one of the processes that are killed if it is given a folder, else it runs the tests.
func TestMain(m *testing.M) {
	for name, run := range map[string]func(dir string) error{childDir: storeForever, forwarderDir: forwardForever} {
		if dir := os.Getenv(name); dir != "" {
			fmt.Fprintln(os.Stderr, run(dir))
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// storeForever stores and releases messages and says each step on its output: "+" stored, "-" about to be released.
func storeForever(dir string) error {
	s, err := Open(OS{}, dir, killBounds)
	if err != nil {
		return err
	}
	for seq := s.LastSeq() + 1; ; seq++ {
		lane := testLanes[seq%3]
		if err := s.Append(testMessage(lane, seq)); err != nil {
			return err
		}
		fmt.Printf("+ %d\n", seq)
		if seq%40 != 0 {
			continue
		}
		ms, err := s.Head(lane, 39)
		if err != nil {
			return err
		}
		for _, m := range ms {
			fmt.Printf("- %d\n", m.Seq)
		}
		if err := s.Release(refsOf(ms)); err != nil {
			return err
		}
		fmt.Println("released")
	}
}

// A real process on the machine's filesystem, killed by SIGKILL again and again.
func TestSIGKILLLosesNothing(t *testing.T) {
	dir := t.TempDir()
	stored, leaving := map[uint64]bool{}, map[uint64]bool{}
	for round := range 8 {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), childDir+"="+dir)
		var faults strings.Builder
		child.Stderr = &faults
		out, err := child.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, child.Start())
		lines := bufio.NewScanner(out)
		for most := 200 + rand.IntN(4000); most > 0 && lines.Scan(); most-- { // by what it did, not by the clock
			readStep(lines.Text(), stored, leaving)
		}
		require.NoError(t, child.Process.Kill())
		for lines.Scan() {
			readStep(lines.Text(), stored, leaving)
		}
		_ = child.Wait()
		require.Empty(t, faults.String())

		s, err := Open(OS{}, dir, killBounds)
		require.NoError(t, err, "round %d", round)
		checkStore(t, s)
		found := map[uint64]bool{}
		for _, lane := range s.Lanes() {
			for _, seq := range headSeqs(t, s, lane, 1<<20) {
				found[seq] = true
			}
		}
		unsaid := 0
		for seq := range found {
			if !stored[seq] && !leaving[seq] {
				unsaid++ // stored and killed before it could say so
			}
			stored[seq] = true
		}
		require.LessOrEqual(t, unsaid, 1)
		for seq := range stored {
			require.True(t, found[seq] || leaving[seq], "message %d", seq)
		}
		for seq := range leaving { // a release that was under way has happened whole or not at all
			if !found[seq] {
				delete(stored, seq)
			}
		}
		clear(leaving)
		require.NoError(t, s.Close())
	}
	require.NotEmpty(t, stored)
}

func readStep(line string, stored, leaving map[uint64]bool) {
	var what string
	var seq uint64
	if n, _ := fmt.Sscan(line, &what, &seq); n < 2 {
		if line == "released" {
			for seq := range leaving {
				delete(stored, seq)
			}
			clear(leaving)
		}
		return
	}
	if what == "+" {
		stored[seq] = true
	} else {
		leaving[seq] = true
	}
}
