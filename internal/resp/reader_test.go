package resp

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// read feeds text in pieces of size bytes and returns the commands.
func read(text string, size int) ([]string, error) {
	var r Reader
	var got []string
	for len(text) > 0 {
		n := min(size, len(text))
		err := r.Feed([]byte(text[:n]), func(args [][]byte) error {
			got = append(got, fmt.Sprintf("%q", args))
			return nil
		})
		if err != nil {
			return got, err
		}
		text = text[n:]
	}
	return got, nil
}

func TestCommandsAreParsedInPiecesOfAnySize(t *testing.T) {
	text := "*1\r\n$4\r\nPING\r\n*3\r\n$1\r\na\r\n$0\r\n\r\n$5\r\n\x00\r\n\r\n\r\n*1\r\n$4\r\nPING\r\n"
	want := []string{`["PING"]`, `["a" "" "\x00\r\n\r\n"]`, `["PING"]`}
	for size := 1; size <= len(text); size++ {
		got, err := read(text, size)
		require.NoError(t, err)
		require.Equal(t, want, got, "pieces of %d", size)
	}
}

func TestMalformedAndOversizedCommandsAreErrors(t *testing.T) {
	for text, want := range map[string]error{"GET / HTTP/1.1\r\n": ErrFraming, "*x\r\n": ErrFraming,
		"*0\r\n": ErrFraming, "*-1\r\n": ErrFraming, "*1\r\n:1\r\n": ErrFraming,
		"*1\r\n$3\r\nabcd\r\n": ErrFraming, "*1\r\n$-1\r\n": ErrFraming, "*" + strings.Repeat("1", 40): ErrFraming,
		"*99\r\n": ErrSize, "*1\r\n$70000\r\n": ErrSize} {
		_, err := read(text, 7)
		require.ErrorIs(t, err, want, text)
	}
}

func TestOnlyUnfinishedCommandIsBuffered(t *testing.T) {
	var r Reader
	none := func([][]byte) error { return nil }
	require.NoError(t, r.Feed([]byte("*1\r\n$4\r\nPI"), none))
	require.Equal(t, 10, r.Buffered())
	require.NoError(t, r.Feed([]byte("NG\r\n"), none))
	require.Zero(t, r.Buffered())
}

func FuzzFeed(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n", 3)
	f.Add("*2\r\n$1\r\na\r\n$3\r\n\r\n\r\r\n*", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		atOnce, err := read(text, len(text)+1)
		pieces, again := read(text, max(1, size))
		require.Equal(t, err == nil, again == nil)
		require.Equal(t, atOnce, pieces)
	})
}

func TestPauseKeepsRestForLater(t *testing.T) {
	var r Reader
	var got []string
	one := func(args [][]byte) error {
		got = append(got, string(args[0]))
		return ErrPause
	}
	text := "*1\r\n$1\r\na\r\n*1\r\n$1\r\nb\r\n*1\r\n$5\r\nxy"
	require.ErrorIs(t, r.Feed([]byte(text), one), ErrPause)
	require.Equal(t, []string{"a"}, got)
	require.ErrorIs(t, r.Feed(nil, one), ErrPause)
	require.Equal(t, []string{"a", "b"}, got)
	require.NoError(t, r.Feed(nil, one))
	require.Equal(t, len("*1\r\n$5\r\nxy"), r.Buffered())
	require.Equal(t, len("abc\r\n"), r.Missing())
	require.ErrorIs(t, r.Feed([]byte("abc\r\n"), one), ErrPause)
	require.Equal(t, []string{"a", "b", "xyabc"}, got)
	require.Zero(t, r.Buffered())
}

// Guards against memory of a multiple of what has arrived of a command (report 5ef372).
func TestBufferIsAtMostTwiceWhatArrived(t *testing.T) {
	var r Reader
	none := func([][]byte) error { return nil }
	data := "*1\r\n$65536\r\n" + strings.Repeat("x", 65536) + "\r\n"
	for at := 0; at+1000 < len(data); at += 1000 {
		require.NoError(t, r.Feed([]byte(data[at:at+1000]), none))
		require.LessOrEqual(t, r.Held(), max(minBufferBytes, 2*r.Buffered()))
		require.LessOrEqual(t, r.Held(), MaxBytes)
	}
	require.NoError(t, r.Feed([]byte(data[len(data)/1000*1000:]+"*"), none))
	require.Equal(t, minBufferBytes, r.Held(), "a command that is complete leaves no large buffer")
}

func TestCommandEndIsThatOfCurrentCommand(t *testing.T) {
	none := func([][]byte) error { return nil }
	ping := "*1\r\n$4\r\nPING\r\n"
	for cut := range len(ping) {
		var r Reader
		require.NoError(t, r.Feed([]byte(ping[:cut]), none))
		for more := range len(ping) {
			data := (ping[cut:] + ping + ping)[:more]
			n, complete := r.CommandEnd([]byte(data))
			require.Equal(t, more >= len(ping)-cut, complete, "%d kept, %d more", cut, more)
			require.Equal(t, min(more, len(ping)-cut), n)
		}
	}
	var r Reader
	require.NoError(t, r.Feed([]byte("*1\r\n"), none))
	n, complete := r.CommandEnd([]byte("GET / HTTP/1.1\r\n"))
	require.Equal(t, 16, n)
	require.True(t, complete, "no more data makes it a command")
}
