package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/lab/capacity"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Small versions of the measurements. They judge shapes, bytes and counts, never a time. Where processor time is judged
// it is by the ratio of the best of several tries at sizes far apart, with room for a machine that does other work.

var built string // the forwarder's program

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "measure")
	if err == nil {
		built = filepath.Join(folder, "spanflow")
		build := exec.Command("go", "build", "-o", folder, "spanflow/cmd/spanflow", "spanflow/cmd/spanflowctl")
		var out []byte
		if out, err = build.CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// small is a trial of a role with sizes up to the largest.
func small(t *testing.T, role string, largest int) *trial {
	r, err := Find(role)
	require.NoError(t, err)
	trial := newTrial(t.Context(), r, Options{Seed: 1, Largest: largest, TimeLimit: time.Minute, Program: built, Folder: t.TempDir()})
	trial.quick = true
	t.Cleanup(trial.cancel)
	return trial
}

// of is the curve of a quantity, with its line.
func (t *trial) of(test *testing.T, q quantity) capacity.Curve {
	for _, c := range t.curves {
		if c.Quantity == q.name {
			c.Fit = capacity.FitLine(c.Points)
			test.Logf("%s: %+v %+v", q.name, c.Fit, c.Points)
			return c
		}
	}
	test.Fatalf("no curve of %q", q.name)
	panic("unreachable")
}

// growth is how many times as large the last value of a curve is as its first.
func growth(c capacity.Curve) float64 { return c.Points[len(c.Points)-1].Value / c.Points[0].Value }

// each is the value of the largest size, by that size.
func (t *trial) each(test *testing.T, q quantity) float64 {
	c := t.of(test, q)
	last := c.Points[len(c.Points)-1]
	return last.Value / last.Size
}

func TestMemoryOfAKnownDestinationIsTheSameWhateverTheirNumber(t *testing.T) {
	m := small(t, "known-destination", 20_000)
	require.NoError(t, m.sweep("", 1, linearly, sizes(m.Largest), m.knownInScheduler))
	memory := m.of(t, knownMemory)
	require.Equal(t, capacity.Linear, memory.Fit.Shape)
	require.Greater(t, memory.Fit.Slope, 100.0)
	require.Less(t, memory.Fit.Slope, 4000.0)
	require.Less(t, growth(m.of(t, knownChange)), 30.0, "a list change costs by what changes, not by what is known: 100 times as many are")
	require.Less(t, growth(m.of(t, knownList)), 1000.0, "a whole list costs by its length, of 100 times as much")
}

func TestMemoryAndDiskOfAHeldMessageAreTheSameWhateverTheirNumber(t *testing.T) {
	m := small(t, "held-message", 20_000)
	require.NoError(t, m.sweep("", 1, linearly, sizes(m.Largest), m.heldInLog))
	disk := m.of(t, logDisk)
	require.Equal(t, capacity.Linear, disk.Fit.Shape)
	require.InDelta(t, bodyBytes+120, disk.Fit.Slope, 60)
	require.Greater(t, m.each(t, logMemory), float64(bodyBytes))
	require.Less(t, m.each(t, logMemory), 4.0*bodyBytes)
	few := small(t, "held-message", 2000)
	require.NoError(t, few.sweep("", 1, quadratically, sizes(few.Largest), few.heldInScheduler))
	require.Greater(t, few.each(t, heldMemory), 20.0)
	require.Less(t, few.each(t, heldMemory), 1000.0)
	require.NoError(t, few.sweep("", 1, quadratically, []int{1000, 10_000}, few.drain))
	require.Less(t, growth(few.of(t, heldDrained)), 100.0, "a message that drains of ten times as many is no worse than linear")
	require.Less(t, growth(few.of(t, heldTake)), 1000.0, "taking 100 times as many is linear")
	require.Less(t, growth(few.of(t, heldFresh)), 300.0, "a fresh message beside 100 times as many is no worse than linear")
	require.Less(t, growth(few.of(t, heldGivenUp)), 30_000.0, "giving up 100 times as many is no worse than quadratic")
}

func TestMessagesOfABlockedDestinationStayHeldWhileOthersAreDelivered(t *testing.T) {
	m := small(t, "held-message", 100)
	s, _ := m.hold(100)
	for range 200 {
		s.deliver(s.destinations[0])
	}
	require.Zero(t, s.host.ended)
	s.advance(messageTimeToLive + 1)
	s.Reconcile()
	require.GreaterOrEqual(t, s.host.ended, 100)
}

func TestARestartRecoversAllHeldMessages(t *testing.T) {
	m := small(t, "restart", 2000)
	require.NoError(t, m.openLog(2000))
	require.NoError(t, m.recover(2000, recoverUntried, scheduler.RecoveredState{}))
	require.NoError(t, m.recover(2000, recoverTried, scheduler.RecoveredState{Attempts: 1}))
	require.NoError(t, m.restartForwarder(2000))
	for _, q := range []quantity{openTime, openMemory, recoverUntried, recoverTried, readyAfter, readyWithMemory} {
		require.Positive(t, m.of(t, q).Points[0].Value, q.name)
	}
}

// The budget is that of the operators' pages for N calls: N, twice its root, and two more.
func TestFailedCallsAndRecoveriesAreCountedByForwarders(t *testing.T) {
	require.Equal(t, 26.0, budget(16))
	m := small(t, "down-destination", 100)
	require.NoError(t, measureDownDestination(m))
	vain := m.of(t, vainCalls)
	require.Len(t, vain.Points, 5)
	require.Greater(t, growth(vain), 1.5, "each forwarder learns of the outage on its own")
	require.Equal(t, capacity.Flat, m.of(t, returnBudget).Fit.Shape)
	for _, p := range m.of(t, returnCalls).Points {
		require.Less(t, p.Value, m.of(t, returnBudget).Points[0].Value, "with %.0f forwarders", p.Size)
	}
	again := small(t, "down-destination", 100)
	require.NoError(t, measureDownDestination(again))
	require.Equal(t, vain.Points, again.of(t, vainCalls).Points, "the same seed gives the same figures")
}

func TestBytesOfAMessageOnTheWireGrowWithItsBodyAlone(t *testing.T) {
	m := small(t, "message-path", 100)
	for _, body := range []int{100, 500, 2000, 10_000} {
		require.NoError(t, m.path(pathRate, body, m.recordBody))
	}
	for _, q := range []quantity{pathBytesIn, pathBytesOut} {
		c := m.of(t, q)
		require.Equal(t, capacity.Linear, c.Fit.Shape)
		require.InDelta(t, 1, c.Fit.Slope, 0.02)
		require.Less(t, c.Fit.Intercept, 600.0)
	}
	require.Positive(t, m.of(t, pathBodyCPU).Points[0].Value)
}

func TestAnIdleConnectionTakesOneDescriptor(t *testing.T) {
	m := small(t, "idle-client", 600)
	require.NoError(t, measureIdleClient(m))
	descriptors := m.of(t, idleDescriptors)
	require.Equal(t, capacity.Linear, descriptors.Fit.Shape)
	require.InDelta(t, 1, descriptors.Fit.Slope, 0.01)
	require.Less(t, growth(m.of(t, idleMemory)), 3.0, "a connection takes little beside the process")
}

func TestAScrapeIsAsLongWhateverIsKnown(t *testing.T) {
	m := small(t, "scrape", 2000)
	require.NoError(t, measureScrape(m))
	require.Equal(t, capacity.Flat, m.of(t, scrapeBytes).Fit.Shape)
}

func TestAReloadPutsAChangedListInForce(t *testing.T) {
	m := small(t, "reload", 300)
	require.NoError(t, m.reloadList(300))
	require.Positive(t, m.of(t, reloadTime).Points[0].Value)
	require.NoError(t, m.reloadOther(300))
	require.Positive(t, m.of(t, rereadTime).Points[0].Value)
}

func TestAForwarderLearnsAListSentInParts(t *testing.T) {
	m := small(t, "known-destination", 100)
	require.NoError(t, m.knownInForwarder(2*linesAtOnce+1))
	require.Greater(t, m.of(t, forwarderRSS).Points[0].Value, 1e7)
}

func TestALongListIsSentInPartsOfWhichTheFirstIsAFullList(t *testing.T) {
	d, err := newDiscoveryServer(2*linesAtOnce + 1)
	require.NoError(t, err)
	defer d.close()
	require.Len(t, d.objects, 3)
	known := 0
	for i, o := range d.objects {
		var list transport.EndpointList
		require.NoError(t, json.Unmarshal(o, &list))
		require.Equal(t, i == 0, list.Complete)
		require.EqualValues(t, i+1, list.Revision)
		known += len(list.Endpoints)
	}
	require.Equal(t, 2*linesAtOnce+1, known)
}

func TestAnUnknownRoleIsAnErrorThatNamesTheNearest(t *testing.T) {
	_, err := Find("held-mesage")
	require.EqualError(t, err, `unknown role "held-mesage"; the nearest is "held-message"`)
	for _, name := range Names() {
		r, err := Find(name)
		require.NoError(t, err)
		require.Equal(t, name, r.Name)
	}
}

func TestSizesSpanTwoDecades(t *testing.T) {
	require.Equal(t, []int{1700, 5100, 17_000, 51_000, 170_000}, sizes(170_000))
	require.Equal(t, []int{1, 3, 10}, sizes(10))
}

func TestSizesBeyondABoundAreLeftOut(t *testing.T) {
	tried := func(o Options, one func(m *trial, size int)) (sizes []int) {
		o.Largest = 10_000
		m := newTrial(t.Context(), &Roles[0], o)
		defer m.cancel()
		require.NoError(t, m.sweep("", 1, quadratically, []int{1, 10, 100, 10_000}, func(size int) error {
			sizes = append(sizes, size)
			one(m, size)
			return nil
		}))
		return sizes
	}
	slow := func(_ *trial, size int) {
		if size == 100 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	require.Equal(t, []int{1, 10, 100}, tried(Options{TimeLimit: time.Minute}, slow))
	large := func(m *trial, size int) { m.peak = int64(size) << 10 }
	require.Equal(t, []int{1, 10, 100}, tried(Options{Memory: 1 << 20}, large))
	require.Len(t, tried(Options{}, func(*trial, int) {}), 4)
}

func TestMemoryHasToBeUnderHalfOfTheMachines(t *testing.T) {
	require.NoError(t, CheckMemory(DefaultMemory()))
	require.Error(t, CheckMemory(machineMemory()/2))
	require.Error(t, CheckMemory(0))
}

func TestACancelledMeasurementEndsWithItsError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r, err := Find("down-destination")
	require.NoError(t, err)
	_, err = r.Measure(ctx, Options{Largest: 100})
	require.ErrorIs(t, err, context.Canceled)
}

func TestARoleWhoseTimeIsOverKeepsWhatItHas(t *testing.T) {
	said := ""
	r, err := Find("down-destination")
	require.NoError(t, err)
	curves, err := r.Measure(t.Context(), Options{Largest: 100, TimeLimit: time.Nanosecond, Progress: func(line string) { said = line }})
	require.NoError(t, err)
	require.Empty(t, curves)
	require.Contains(t, said, "stopped")
}

func TestSomeRolesHaveAShape(t *testing.T) {
	r, err := Find("down-destination")
	require.NoError(t, err)
	curves, err := r.Measure(t.Context(), Options{Largest: 10, Seed: 2})
	require.NoError(t, err)
	for _, c := range curves {
		require.NotEmpty(t, c.Fit.Shape)
		require.Equal(t, "down-destination", c.Role)
	}
}

func TestAFreshMessageCostsAsMuchWhateverIsStored(t *testing.T) {
	m := small(t, "backlog", 20_000)
	require.NoError(t, m.freshBesideStored([]int{0, 200, 20_000}))
	ratios := m.of(t, backlogRatio) // to the one with none stored, which has no point of its own
	require.Len(t, ratios.Points, 2)
	for _, p := range ratios.Points {
		require.Less(t, p.Value, 5.0, "%v stored", p.Size)
	}
	windows := small(t, "backlog", 50)
	require.NoError(t, windows.freshBesideWindows([]int{0, 50}, 4))
	require.Len(t, windows.of(t, outRatio).Points, 1)
	require.Positive(t, windows.of(t, outFresh).Points[0].Value)
}

func TestAStoredMessageTakesFewBytesOfMemory(t *testing.T) {
	m := small(t, "backlog-restart", 100_000)
	require.NoError(t, measureBacklogRestart(m))
	memory := m.of(t, backlogMemory)
	require.Len(t, memory.Points, 2)
	perMessage := (memory.Points[1].Value - memory.Points[0].Value) / (memory.Points[1].Size - memory.Points[0].Size)
	require.Less(t, perMessage, 1.5*bodyBytes, "less than the message itself, with what a collection leaves")
	require.InDelta(t, bodyBytes+124, m.each(t, backlogDisk), 30)
}

func TestStoredMessagesDrainAndAreWrittenTwice(t *testing.T) {
	m := small(t, "backlog-drain", 2000)
	require.NoError(t, m.drainStored(2000))
	require.Positive(t, m.of(t, drainRate).Points[0].Value)
	require.InDelta(t, 1, m.of(t, fillWritten).Points[0].Value, 0.1, "a message is written once when it is stored")
}

func TestStoredMessagesThatExpireAtOnceAreAnsweredBeforeTheirTime(t *testing.T) {
	m := small(t, "backlog-expiry", 2000)
	require.NoError(t, m.expireStored(2000))
	require.Zero(t, m.of(t, expiredLate).Points[0].Value)
	require.Positive(t, m.of(t, expiredMargin).Points[0].Value)
}
