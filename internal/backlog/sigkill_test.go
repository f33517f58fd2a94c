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

const childDirEnv = "SPANFLOW_BACKLOG_CHILD" // set to the folder in processes that the test kills

var killBounds = Bounds{Bytes: 4 << 20, SegmentBytes: 64 << 10}

// TestMain runs the process that a test kills if childDirEnv or forwarderDirEnv is set, and the tests otherwise.
func TestMain(m *testing.M) {
	for name, run := range map[string]func(dir string) error{childDirEnv: storeForever, forwarderDirEnv: forwardForever} {
		if dir := os.Getenv(name); dir != "" {
			fmt.Fprintln(os.Stderr, run(dir))
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// storeForever stores and releases messages and prints each step: "+" means that a message was stored, "-" that it is
// about to be released.
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

// A process that uses the real filesystem is killed repeatedly by SIGKILL.
func TestSIGKILLLosesNothing(t *testing.T) {
	dir := t.TempDir()
	stored, releasing := map[uint64]bool{}, map[uint64]bool{}
	for round := range 8 {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), childDirEnv+"="+dir)
		var childErrors strings.Builder
		child.Stderr = &childErrors
		out, err := child.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, child.Start())
		lines := bufio.NewScanner(out)
		for steps := 200 + rand.IntN(4000); steps > 0 && lines.Scan(); steps-- { // limited by steps, not by time
			readStep(lines.Text(), stored, releasing)
		}
		require.NoError(t, child.Process.Kill())
		for lines.Scan() {
			readStep(lines.Text(), stored, releasing)
		}
		_ = child.Wait()
		require.Empty(t, childErrors.String())

		s, err := Open(OS{}, dir, killBounds)
		require.NoError(t, err, "round %d", round)
		checkStore(t, s)
		found := map[uint64]bool{}
		for _, lane := range s.Lanes() {
			for _, seq := range headSeqs(t, s, lane, 1<<20) {
				found[seq] = true
			}
		}
		unreported := 0
		for seq := range found {
			if !stored[seq] && !releasing[seq] {
				unreported++ // it was stored, but the process was killed before it could report that
			}
			stored[seq] = true
		}
		require.LessOrEqual(t, unreported, 1)
		for seq := range stored {
			require.True(t, found[seq] || releasing[seq], "message %d", seq)
		}
		for seq := range releasing { // an interrupted release may or may not have taken effect
			if !found[seq] {
				delete(stored, seq)
			}
		}
		clear(releasing)
		require.NoError(t, s.Close())
	}
	require.NotEmpty(t, stored)
}

func readStep(line string, stored, releasing map[uint64]bool) {
	var event string
	var seq uint64
	if n, _ := fmt.Sscan(line, &event, &seq); n < 2 {
		if line == "released" {
			for seq := range releasing {
				delete(stored, seq)
			}
			clear(releasing)
		}
		return
	}
	if event == "+" {
		stored[seq] = true
	} else {
		releasing[seq] = true
	}
}
