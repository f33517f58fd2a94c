package drains

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPendingIDsAreForgotten(t *testing.T) {
	var p Pending
	require.True(t, p.Empty())
	require.True(t, p.Add("a", 10, 20))
	require.True(t, p.Has("a", 19))
	require.False(t, p.Has("a", 20))
	restarted := NewPending(p.All(), 15)
	require.True(t, restarted.Has("a", 19))
	restarted = NewPending(p.All(), 20)
	require.True(t, restarted.Empty())
	require.True(t, p.Remove("a"))
	require.False(t, p.Remove("a"))
}

func TestPendingIDsAreBounded(t *testing.T) {
	var p Pending
	for n := range MaxDrained {
		require.True(t, p.Add(fmt.Sprint(n), 0, time.Duration(10+n)))
	}
	require.False(t, p.Add("another", 0, 20))
	require.True(t, p.Add("1", 0, 30), "it is there already")
	require.True(t, p.Add("another", 10, 20), "the first one is forgotten by now")
	for _, invalid := range []string{"", "a\nb", strings.Repeat("x", maxIDLength+1)} {
		require.False(t, (&Pending{}).Add(invalid, 0, 20))
	}
}
