package drains

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
)

func TestATargetOutByHandDrainsWhateverTheListSays(t *testing.T) {
	r := New(nil)
	v, c := r.Detach("s1", true)
	require.Equal(t, Yes, v)
	require.Equal(t, TakenOut, c)
	require.Equal(t, scheduler.Draining, r.Standing("s1", scheduler.Ready))
	require.Equal(t, scheduler.Removed, r.Standing("s1", scheduler.Removed))
	require.Equal(t, scheduler.Ready, r.Standing("s2", scheduler.Ready))
}

func TestTwoCallsOutNeedOneCallBack(t *testing.T) {
	r := New(nil)
	r.Detach("s1", true)
	v, c := r.Detach("s1", true)
	require.Equal(t, Yes, v)
	require.Equal(t, Same, c)
	v, c = r.Attach("s1", true)
	require.Equal(t, Yes, v)
	require.Equal(t, Returned, c)
	require.False(t, r.Out("s1"))
	v, c = r.Attach("s1", true) // back already
	require.Equal(t, Yes, v)
	require.Equal(t, Same, c)
}

func TestAnIDThatNobodyHasIsOwedANo(t *testing.T) {
	r := New(nil)
	v, _ := r.Detach("ghost", false)
	require.Equal(t, Unknown, v)
	v, _ = r.Attach("ghost", false)
	require.Equal(t, Unknown, v)
	r.Detach("s1", true)
	v, c := r.Attach("s1", false) // out by hand and gone from the list meanwhile: it is ours to put back
	require.Equal(t, Yes, v)
	require.Equal(t, Returned, c)
}

func TestTheBanLastsOverARestart(t *testing.T) {
	r := New(nil)
	r.Detach("s2", true)
	r.Detach("s1", true)
	again := New(r.Kept())
	require.True(t, again.Out("s1"))
	require.True(t, again.Out("s2"))
	require.Equal(t, []string{"s1", "s2"}, again.Kept())
}

func TestTheSetIsBounded(t *testing.T) {
	r := New(nil)
	for i := range Most {
		v, _ := r.Detach(strings.Repeat("x", i%200+1)+string(rune('a'+i/200)), true)
		require.Equal(t, Yes, v)
	}
	v, _ := r.Detach("one more", true)
	require.Equal(t, TooMany, v)
	v, _ = r.Detach("bad\nid", true)
	require.Equal(t, BadName, v)
	require.Len(t, New(append(r.Kept(), "beyond", "bad\nid")).Kept(), Most)
}
