package forwarder

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

func TestAFullGateHoldsUpItsOwnFrontendAlone(t *testing.T) {
	x := newEventQueue()
	flood, other := x.newAdmissionQueue("flood", "flood", 1000, 1<<20), x.newAdmissionQueue("other", "other", 10, 100)
	for range 1000 {
		flood.Submit(transport.Request{Ping: true})
	}
	held := make(chan struct{})
	go func() {
		flood.Submit(transport.Request{Malformed: "the last"})
		close(held)
	}()
	other.Submit(transport.Request{Submission: &transport.Submission{Body: make([]byte, 100)}}) // its bytes are full with it
	x.CallEnded(transport.CallResult{})
	news, _ := x.take()
	require.Len(t, news, 1+requestsPerTurn+1, "an end, a share of the flood, all of the other")
	require.Same(t, other, news[len(news)-1].(*request).from)
	<-held // there is room again
	other.Submit(transport.Request{Ping: true})
	other.Withdraw("x")
	n := 0
	for n < 1000-requestsPerTurn+1 {
		<-x.wakeups // what was left over rings it again
		news, _ = x.take()
		for _, a := range news {
			if a, is := a.(*request); is && a.from == flood {
				n++
			}
		}
	}
	last := news[len(news)-1].(*request)
	require.Equal(t, "the last", last.Malformed)
}

func TestAFrontendThatHasEndedIsHeldUpByNothing(t *testing.T) {
	x := newEventQueue()
	g := x.newAdmissionQueue("a", "a", 1, 0)
	g.Submit(transport.Request{Ping: true})
	ended := make(chan struct{})
	go func() {
		g.Submit(transport.Request{Ping: true})
		close(ended)
	}()
	g.close()
	<-ended
	news, _ := x.take()
	require.Empty(t, news)
	g = x.newAdmissionQueue("b", "b", 0, 0)
	require.Equal(t, []int{defaultWaiting, defaultWaitingBytes}, []int{g.maxWaiting, g.maxBytes})
	x.close()
	for range defaultWaiting + 1 { // nobody takes news any more
		g.Submit(transport.Request{Ping: true})
	}
}

func TestDivideConnections(t *testing.T) {
	most, err := divideConnections([]Frontend{{Connections: 50}, {}, {}}, 100)
	require.NoError(t, err)
	require.Equal(t, []int{50, 25, 25}, most)
	_, err = divideConnections([]Frontend{{Connections: 100}, {}}, 100)
	require.ErrorContains(t, err, "more than the 100")
	_, err = divideConnections([]Frontend{{Name: "a", Connections: 4}}, 100)
	require.ErrorContains(t, err, "a: 4 connections are under the least, 5")
}

func TestASampleOfMessagesIsTraced(t *testing.T) {
	of := func(l Log) (n int) {
		tr := newTrace(l)
		for i := range 10_000 {
			if tr.picks(time.Duration(i).String(), uint64(i)) {
				n++
			}
		}
		return n
	}
	require.Zero(t, of(Log{}))
	require.Equal(t, 10_000, of(Log{Sample: 1}))
	require.InDelta(t, 1000, of(Log{Sample: 0.1}), 200)
	require.Equal(t, 2, of(Log{Keys: []uint64{7}, IDs: []string{"9ns"}}))
}

// reconfigured records the addresses that it was moved to.
type reconfigured struct{ to []string }

func (m *reconfigured) Reconfigure(addr string, _ int64) { m.to = append(m.to, addr) }

// PROXY_DISCOVERY takes precedence over the file at the start. A reload with the file as it was changes nothing.
func TestReloadKeepsVariableUntilFileChanges(t *testing.T) {
	read := func(text string, variable string) *Config {
		o, err := ReadConfig([]byte(text), func(name string) string {
			return map[string]string{"PROXY_DISCOVERY": variable}[name]
		})
		require.NoError(t, err)
		return o
	}
	m, notices := &reconfigured{}, &reconfigured{}
	o := &eventLoop{config: read(config, "127.0.0.9:1"), discovery: discoveryState{movable: m}, notices: noticeState{movable: notices}}
	o.configuredScheduler = o.config.Scheduler
	require.Equal(t, "127.0.0.9:1", o.config.Notices())
	require.NoError(t, o.applyConfig(read(config, "")))
	require.Empty(t, m.to)
	other := strings.Replace(config, "127.0.0.5:8500", "127.0.0.6:8500", 1)
	require.NoError(t, o.applyConfig(read(other, "")))
	require.Equal(t, []string{"127.0.0.6:8500"}, m.to)
	require.Equal(t, "127.0.0.6:8500", o.config.Notices())
	o.config.DiscoveryMovable = true
	next := read(other, "")
	next.DiscoveryMovable, next.Seed, next.noticeAddress = true, o.config.Seed, "127.0.0.7:1"
	require.ErrorContains(t, o.applyConfig(next), "discovery.notices")
	o.config.noticeAddress = "127.0.0.8:1"
	require.NoError(t, o.applyConfig(next))
	require.Equal(t, []string{"127.0.0.7:1"}, notices.to)
	require.Len(t, m.to, 1)
}

func TestNoMoreWaitsAtAGateThanItsBound(t *testing.T) {
	x := newEventQueue()
	few, small := x.newAdmissionQueue("few", "few", 3, 0), x.newAdmissionQueue("small", "small", 0, 100)
	const each = 5000
	for _, g := range []*admissionQueue{few, small} {
		go func() {
			for range each {
				g.Submit(transport.Request{Submission: &transport.Submission{Body: make([]byte, 60)}})
			}
		}()
	}
	for left := 2 * each; left > 0; {
		<-x.wakeups
		news, _ := x.take()
		n := map[*admissionQueue]int{}
		for _, a := range news {
			n[a.(*request).from]++
		}
		require.LessOrEqual(t, n[few], 3)
		require.LessOrEqual(t, n[small], 2, "the second goes over its bytes, a third waits")
		left -= len(news)
	}
}
