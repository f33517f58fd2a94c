package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/seam"
)

func TestAFullGateHoldsUpItsOwnFrontAlone(t *testing.T) {
	x := newExchange()
	flood, other := x.gate("flood", "flood", 1000, 1<<20), x.gate("other", "other", 10, 100)
	for range 1000 {
		flood.Ask(seam.Asked{Alive: true})
	}
	held := make(chan struct{})
	go func() {
		flood.Ask(seam.Asked{Why: "the last"})
		close(held)
	}()
	other.Ask(seam.Asked{Paper: &seam.Handed{Body: make([]byte, 100)}}) // its bytes are full with it
	x.CallEnded(seam.Ended{})
	news, _ := x.take()
	require.Len(t, news, 1+turnShare+1, "an end, a share of the flood, all of the other")
	require.Same(t, other, news[len(news)-1].(*asked).front)
	<-held // there is room again
	other.Ask(seam.Asked{Alive: true})
	other.Withdraw("x")
	n := 0
	for n < 1000-turnShare+1 {
		<-x.bell // what was left over rings it again
		news, _ = x.take()
		for _, a := range news {
			if a, is := a.(*asked); is && a.front == flood {
				n++
			}
		}
	}
	last := news[len(news)-1].(*asked)
	require.Equal(t, "the last", last.Why)
}

func TestAFrontThatHasEndedIsHeldUpByNothing(t *testing.T) {
	x := newExchange()
	g := x.gate("a", "a", 1, 0)
	g.Ask(seam.Asked{Alive: true})
	ended := make(chan struct{})
	go func() {
		g.Ask(seam.Asked{Alive: true})
		close(ended)
	}()
	x.shutGate(g)
	<-ended
	news, _ := x.take()
	require.Empty(t, news)
	g = x.gate("b", "b", 0, 0)
	require.Equal(t, []int{mostWaiting, waitingBytes}, []int{g.most, g.mostBytes})
	x.close()
	for range mostWaiting + 1 { // nobody takes news any more
		g.Ask(seam.Asked{Alive: true})
	}
}

func TestConnectionsAreSharedOut(t *testing.T) {
	most, err := shares([]Front{{Connections: 50}, {}, {}}, 100)
	require.NoError(t, err)
	require.Equal(t, []int{50, 25, 25}, most)
	_, err = shares([]Front{{Connections: 100}, {}}, 100)
	require.ErrorContains(t, err, "more than the 100")
	_, err = shares([]Front{{Name: "a", Connections: 4}}, 100)
	require.ErrorContains(t, err, "a: 4 connections are under the least, 5")
}

func TestASampleOfDocumentsIsTraced(t *testing.T) {
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
