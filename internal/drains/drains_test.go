package drains

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
)

func TestStateOfDrainedEndpoint(t *testing.T) {
	set := New(nil)
	result, change := set.Drain("s1", true)
	require.Equal(t, Accepted, result)
	require.Equal(t, Drained, change)
	require.Equal(t, scheduler.Draining, set.State("s1", scheduler.Ready))
	require.Equal(t, scheduler.Removed, set.State("s1", scheduler.Removed))
	require.Equal(t, scheduler.Ready, set.State("s2", scheduler.Ready))
}

func TestDrainingTwiceNeedsOneRestore(t *testing.T) {
	set := New(nil)
	set.Drain("s1", true)
	result, change := set.Drain("s1", true)
	require.Equal(t, Accepted, result)
	require.Equal(t, Unchanged, change)
	result, change = set.Restore("s1", true)
	require.Equal(t, Accepted, result)
	require.Equal(t, Restored, change)
	require.False(t, set.Drained("s1"))
	result, change = set.Restore("s1", true) // not drained any more
	require.Equal(t, Accepted, result)
	require.Equal(t, Unchanged, change)
}

func TestUnknownIDIsRejected(t *testing.T) {
	set := New(nil)
	result, _ := set.Drain("ghost", false)
	require.Equal(t, Unknown, result)
	result, _ = set.Restore("ghost", false)
	require.Equal(t, Unknown, result)
	set.Drain("s1", true)
	result, change := set.Restore("s1", false) // removed from the list while it was drained
	require.Equal(t, Accepted, result)
	require.Equal(t, Restored, change)
}

func TestDrainsSurviveRestart(t *testing.T) {
	set := New(nil)
	set.Drain("s2", true)
	set.Drain("s1", true)
	restarted := New(set.IDs())
	require.True(t, restarted.Drained("s1"))
	require.True(t, restarted.Drained("s2"))
	require.Equal(t, []string{"s1", "s2"}, restarted.IDs())
}

func TestSetIsBounded(t *testing.T) {
	set := New(nil)
	for i := range MaxDrained {
		result, _ := set.Drain(strings.Repeat("x", i%200+1)+string(rune('a'+i/200)), true)
		require.Equal(t, Accepted, result)
	}
	result, _ := set.Drain("one more", true)
	require.Equal(t, TooMany, result)
	result, _ = set.Drain("bad\nid", true)
	require.Equal(t, InvalidID, result)
	require.Len(t, New(append(set.IDs(), "beyond", "bad\nid")).IDs(), MaxDrained)
}

// New used to search an unsorted list. From a file with unordered or repeated ids, for example one edited by operators,
// it could keep an id twice. A restore then lasted only until the next start.
func TestNewSortsAndDeduplicatesIDs(t *testing.T) {
	set := New([]string{"s3", "s1", "s2", "s3", "s1", "", "s2"})
	require.Equal(t, []string{"s1", "s2", "s3"}, set.IDs())
	_, change := set.Restore("s3", true)
	require.Equal(t, Restored, change)
	require.False(t, set.Drained("s3"))
}
