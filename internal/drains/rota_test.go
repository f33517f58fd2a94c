package drains

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
)

func TestAnEndpointOutByHandDrainsWhateverTheListSays(t *testing.T) {
	r := New(nil)
	v, c := r.Drain("s1", true)
	require.Equal(t, Accepted, v)
	require.Equal(t, Drained, c)
	require.Equal(t, scheduler.Draining, r.State("s1", scheduler.Ready))
	require.Equal(t, scheduler.Removed, r.State("s1", scheduler.Removed))
	require.Equal(t, scheduler.Ready, r.State("s2", scheduler.Ready))
}

func TestTwoCallsOutNeedOneCallBack(t *testing.T) {
	r := New(nil)
	r.Drain("s1", true)
	v, c := r.Drain("s1", true)
	require.Equal(t, Accepted, v)
	require.Equal(t, Unchanged, c)
	v, c = r.Restore("s1", true)
	require.Equal(t, Accepted, v)
	require.Equal(t, Restored, c)
	require.False(t, r.Drained("s1"))
	v, c = r.Restore("s1", true) // back already
	require.Equal(t, Accepted, v)
	require.Equal(t, Unchanged, c)
}

func TestAnIDThatNobodyHasIsOwedANo(t *testing.T) {
	r := New(nil)
	v, _ := r.Drain("ghost", false)
	require.Equal(t, Unknown, v)
	v, _ = r.Restore("ghost", false)
	require.Equal(t, Unknown, v)
	r.Drain("s1", true)
	v, c := r.Restore("s1", false) // out by hand and gone from the list meanwhile: it is ours to put back
	require.Equal(t, Accepted, v)
	require.Equal(t, Restored, c)
}

func TestTheBanLastsOverARestart(t *testing.T) {
	r := New(nil)
	r.Drain("s2", true)
	r.Drain("s1", true)
	again := New(r.IDs())
	require.True(t, again.Drained("s1"))
	require.True(t, again.Drained("s2"))
	require.Equal(t, []string{"s1", "s2"}, again.IDs())
}

func TestTheSetIsBounded(t *testing.T) {
	r := New(nil)
	for i := range MaxDrained {
		v, _ := r.Drain(strings.Repeat("x", i%200+1)+string(rune('a'+i/200)), true)
		require.Equal(t, Accepted, v)
	}
	v, _ := r.Drain("one more", true)
	require.Equal(t, TooMany, v)
	v, _ = r.Drain("bad\nid", true)
	require.Equal(t, BadName, v)
	require.Len(t, New(append(r.IDs(), "beyond", "bad\nid")).IDs(), MaxDrained)
}
