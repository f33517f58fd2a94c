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

// The tests run small versions of the measurements. They check shapes, bytes and counts, but no absolute times.
// Processor time is checked only by the ratio of the best tries at sizes far apart, with a margin for other load on the
// machine.

var forwarderProgram string // path of the built forwarder

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "measure")
	if err == nil {
		forwarderProgram = filepath.Join(folder, "spanflow")
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

// smallTrial returns a quick trial of a role with sizes up to the largest.
func smallTrial(t *testing.T, role string, largest int) *trial {
	r, err := Find(role)
	require.NoError(t, err)
	trial := newTrial(t.Context(), r, Options{Seed: 1, Largest: largest, TimeLimit: time.Minute, Program: forwarderProgram, Folder: t.TempDir()})
	trial.quick = true
	t.Cleanup(trial.cancel)
	return trial
}

// curveOf returns the curve of a quantity with a fitted line.
func (t *trial) curveOf(test *testing.T, q quantity) capacity.Curve {
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

// growth returns the ratio of the last value of a curve to the first.
func growth(c capacity.Curve) float64 { return c.Points[len(c.Points)-1].Value / c.Points[0].Value }

// perUnit returns the value at the largest size divided by that size.
func (t *trial) perUnit(test *testing.T, q quantity) float64 {
	c := t.curveOf(test, q)
	last := c.Points[len(c.Points)-1]
	return last.Value / last.Size
}

func TestMemoryOfKnownDestinationsIsLinear(t *testing.T) {
	m := smallTrial(t, "known-destination", 20_000)
	require.NoError(t, m.sweep("", 1, linearTime, sizes(m.Largest), m.knownInScheduler))
	memory := m.curveOf(t, knownMemory)
	require.Equal(t, capacity.Linear, memory.Fit.Shape)
	require.Greater(t, memory.Fit.Slope, 100.0)
	require.Less(t, memory.Fit.Slope, 4000.0)
	require.Less(t, growth(m.curveOf(t, knownChange)), 30.0, "a list change grows less than linearly with 100 times the destinations")
	require.Less(t, growth(m.curveOf(t, knownFullList)), 1000.0, "a full list that is 100 times as long is no worse than linear")
}

func TestCostOfHeldMessagesByTheirNumber(t *testing.T) {
	m := smallTrial(t, "held-message", 20_000)
	require.NoError(t, m.sweep("", 1, linearTime, sizes(m.Largest), m.heldInLog))
	disk := m.curveOf(t, logDisk)
	require.Equal(t, capacity.Linear, disk.Fit.Shape)
	require.InDelta(t, bodyBytes+120, disk.Fit.Slope, 60)
	require.Greater(t, m.perUnit(t, logMemory), float64(bodyBytes))
	require.Less(t, m.perUnit(t, logMemory), 4.0*bodyBytes)
	few := smallTrial(t, "held-message", 2000)
	require.NoError(t, few.sweep("", 1, quadraticTime, sizes(few.Largest), few.heldInScheduler))
	require.Greater(t, few.perUnit(t, heldMemory), 20.0)
	require.Less(t, few.perUnit(t, heldMemory), 1000.0)
	require.NoError(t, few.sweep("", 1, quadraticTime, []int{1000, 10_000}, few.drainHeld))
	require.Less(t, growth(few.curveOf(t, heldDrained)), 100.0, "a draining message beside 10 times as many is no worse than linear")
	require.Less(t, growth(few.curveOf(t, heldAccept)), 1000.0, "accepting 100 times as many is linear")
	require.Less(t, growth(few.curveOf(t, heldFresh)), 300.0, "a fresh message beside 100 times as many is no worse than linear")
	require.Less(t, growth(few.curveOf(t, heldExpired)), 30_000.0, "the expiry of 100 times as many is no worse than quadratic")
}

func TestBlockedMessagesStayHeldWhileOthersAreDelivered(t *testing.T) {
	m := smallTrial(t, "held-message", 100)
	s, _ := m.hold(100)
	for range 200 {
		s.deliver(s.destinations[0])
	}
	require.Zero(t, s.host.ended)
	s.advance(messageTimeToLive + 1)
	s.Reconcile()
	require.GreaterOrEqual(t, s.host.ended, 100)
}

func TestRestartRecoversAllHeldMessages(t *testing.T) {
	m := smallTrial(t, "restart", 2000)
	require.NoError(t, m.openLog(2000))
	require.NoError(t, m.recover(2000, recoverUntried, scheduler.RecoveredState{}))
	require.NoError(t, m.recover(2000, recoverTried, scheduler.RecoveredState{Attempts: 1}))
	require.NoError(t, m.restartForwarder(2000))
	for _, q := range []quantity{openTime, openMemory, recoverUntried, recoverTried, readyAfter, readyWithMemory} {
		require.Positive(t, m.curveOf(t, q).Points[0].Value, q.name)
	}
}

// The budget for n calls is the one that the operators' pages state: n + 2*sqrt(n) + 2.
func TestOutageCallsByNumberOfForwarders(t *testing.T) {
	require.Equal(t, 26.0, budget(16))
	m := smallTrial(t, "down-destination", 100)
	require.NoError(t, measureDownDestination(m))
	failed := m.curveOf(t, failedCalls)
	require.Len(t, failed.Points, 5)
	require.Greater(t, growth(failed), 1.5, "each forwarder has to detect the outage itself")
	require.Equal(t, capacity.Flat, m.curveOf(t, recoveryBudget).Fit.Shape)
	for _, p := range m.curveOf(t, recoveryCalls).Points {
		require.Less(t, p.Value, m.curveOf(t, recoveryBudget).Points[0].Value, "with %.0f forwarders", p.Size)
	}
	repeated := smallTrial(t, "down-destination", 100)
	require.NoError(t, measureDownDestination(repeated))
	require.Equal(t, failed.Points, repeated.curveOf(t, failedCalls).Points, "the same seed gives the same figures")
}

func TestBytesOnTheWireGrowWithTheBody(t *testing.T) {
	m := smallTrial(t, "message-path", 100)
	for _, body := range []int{100, 500, 2000, 10_000} {
		require.NoError(t, m.path(pathRate, body, m.recordBody))
	}
	for _, q := range []quantity{pathBytesIn, pathBytesOut} {
		c := m.curveOf(t, q)
		require.Equal(t, capacity.Linear, c.Fit.Shape)
		require.InDelta(t, 1, c.Fit.Slope, 0.02)
		require.Less(t, c.Fit.Intercept, 600.0)
	}
	require.Positive(t, m.curveOf(t, pathBodyCPU).Points[0].Value)
}

func TestIdleConnectionTakesOneDescriptor(t *testing.T) {
	m := smallTrial(t, "idle-client", 600)
	require.NoError(t, measureIdleClient(m))
	descriptors := m.curveOf(t, idleDescriptors)
	require.Equal(t, capacity.Linear, descriptors.Fit.Shape)
	require.InDelta(t, 1, descriptors.Fit.Slope, 0.01)
	require.Less(t, growth(m.curveOf(t, idleMemory)), 3.0, "a connection takes little memory compared with the process")
}

func TestScrapeLengthDoesNotDependOnDestinations(t *testing.T) {
	m := smallTrial(t, "scrape", 2000)
	require.NoError(t, measureScrape(m))
	require.Equal(t, capacity.Flat, m.curveOf(t, scrapeBytes).Fit.Shape)
}

func TestReloadAppliesAChangedList(t *testing.T) {
	m := smallTrial(t, "reload", 300)
	require.NoError(t, m.reloadList(300))
	require.Positive(t, m.curveOf(t, reloadTime).Points[0].Value)
	require.NoError(t, m.reloadOther(300))
	require.Positive(t, m.curveOf(t, otherReloadTime).Points[0].Value)
}

func TestForwarderAppliesAListSentInParts(t *testing.T) {
	m := smallTrial(t, "known-destination", 100)
	require.NoError(t, m.knownInForwarder(2*endpointsPerObject+1))
	require.Greater(t, m.curveOf(t, forwarderRSS).Points[0].Value, 1e7)
}

func TestLongListIsSentAsFullListAndChanges(t *testing.T) {
	d, err := newDiscoveryServer(2*endpointsPerObject + 1)
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
	require.Equal(t, 2*endpointsPerObject+1, known)
}

func TestErrorForUnknownRoleSuggestsTheClosest(t *testing.T) {
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

func TestSizesBeyondALimitAreLeftOut(t *testing.T) {
	tried := func(o Options, measureSize func(m *trial, size int)) (sizes []int) {
		o.Largest = 10_000
		m := newTrial(t.Context(), &Roles[0], o)
		defer m.cancel()
		require.NoError(t, m.sweep("", 1, quadraticTime, []int{1, 10, 100, 10_000}, func(size int) error {
			sizes = append(sizes, size)
			measureSize(m, size)
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

func TestMemoryLimitIsUnderHalfOfTheMachine(t *testing.T) {
	require.NoError(t, CheckMemory(DefaultMemory()))
	require.Error(t, CheckMemory(machineMemory()/2))
	require.Error(t, CheckMemory(0))
}

func TestCancelledMeasurementReturnsTheError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r, err := Find("down-destination")
	require.NoError(t, err)
	_, err = r.Measure(ctx, Options{Largest: 100})
	require.ErrorIs(t, err, context.Canceled)
}

func TestTimeLimitOfARoleIsNoError(t *testing.T) {
	progress := ""
	r, err := Find("down-destination")
	require.NoError(t, err)
	curves, err := r.Measure(t.Context(), Options{Largest: 100, TimeLimit: time.Nanosecond, Progress: func(line string) { progress = line }})
	require.NoError(t, err)
	require.Empty(t, curves)
	require.Contains(t, progress, "stopped")
}

func TestMeasuredCurvesHaveAShape(t *testing.T) {
	r, err := Find("down-destination")
	require.NoError(t, err)
	curves, err := r.Measure(t.Context(), Options{Largest: 10, Seed: 2})
	require.NoError(t, err)
	for _, c := range curves {
		require.NotEmpty(t, c.Fit.Shape)
		require.Equal(t, "down-destination", c.Role)
	}
}

func TestCostOfFreshMessagesBesideStoredOnes(t *testing.T) {
	m := smallTrial(t, "backlog", 20_000)
	require.NoError(t, m.freshBesideStored([]int{0, 200, 20_000}))
	ratios := m.curveOf(t, backlogRatio) // relative to size 0, which has no point
	require.Len(t, ratios.Points, 2)
	for _, p := range ratios.Points {
		require.Less(t, p.Value, 5.0, "%v stored", p.Size)
	}
	windows := smallTrial(t, "backlog", 50)
	require.NoError(t, windows.freshBesideWindows([]int{0, 50}, 4))
	require.Len(t, windows.curveOf(t, downRatio).Points, 1)
	require.Positive(t, windows.curveOf(t, downFresh).Points[0].Value)
}

func TestStoredMessageTakesFewBytesOfMemory(t *testing.T) {
	m := smallTrial(t, "backlog-restart", 100_000)
	require.NoError(t, measureBacklogRestart(m))
	memory := m.curveOf(t, backlogMemory)
	require.Len(t, memory.Points, 2)
	perMessage := (memory.Points[1].Value - memory.Points[0].Value) / (memory.Points[1].Size - memory.Points[0].Size)
	require.Less(t, perMessage, 1.5*bodyBytes, "a stored message is not kept in memory; the margin is for garbage")
	require.InDelta(t, bodyBytes+124, m.perUnit(t, backlogDisk), 30)
}

func TestStoredMessagesAreWrittenOnceAndDrain(t *testing.T) {
	m := smallTrial(t, "backlog-drain", 2000)
	require.NoError(t, m.drainStored(2000))
	require.Positive(t, m.curveOf(t, drainRate).Points[0].Value)
	require.InDelta(t, 1, m.curveOf(t, fillWritten).Points[0].Value, 0.1, "a message is written once when it is stored")
}

func TestStoredMessagesAreAnsweredBeforeTheyExpire(t *testing.T) {
	m := smallTrial(t, "backlog-expiry", 2000)
	require.NoError(t, m.expireStored(2000))
	require.Zero(t, m.curveOf(t, expiryLate).Points[0].Value)
	require.Positive(t, m.curveOf(t, expiryMargin).Points[0].Value)
}
