package notify

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/peertest"
	"spanflow/transport"
)

// recordingListener holds what a client reported.
type recordingListener struct {
	lost         chan string
	acknowledged chan []uint64
}

func (l *recordingListener) NoticesUnanswered(reason string)  { l.lost <- reason }
func (l *recordingListener) NoticesAcknowledged(ids []uint64) { l.acknowledged <- ids }

// harness is a client of a receiver of notices that the test emulates. The timers fire when the test says so: a pause
// of the machine changes nothing.
type harness struct {
	*Client
	*recordingListener
	peer   *peertest.Peer
	timers *peertest.Timers
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	h := &harness{
		recordingListener: &recordingListener{make(chan string, 9), make(chan []uint64, 9)},
		peer:              peertest.NewPeer(t, "127.5.0.3"),
		timers:            peertest.NewTimers(),
	}
	h.Client = New(dialer, h.peer.Addr, time.Second, h.recordingListener)
	h.afterFunc = h.timers.AfterFunc
	t.Cleanup(h.Stop)
	return h
}

const answerNoContent = "HTTP/1.1 204 None\r\n\r\n"

func TestNoticesAreSentAgainUntilAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Rejected, RetryAfterMs: 500})
	conn, request := h.peer.Accept(t)
	require.Contains(t, request, `{"id":"a","state":"returned","after_ms":500}`+"\n")
	require.Equal(t, answerTimeout, h.timers.Next(t).Wait)
	h.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Failed}) // while a call is in progress
	conn.Close()
	peertest.Next(t, h.lost)
	retry := h.timers.Next(t)
	require.Equal(t, retryDelay, retry.Wait)
	retry.Fire()
	conn, request = h.peer.Accept(t)
	require.Contains(t, request, `{"id":"a","state":"returned","after_ms":500}`+"\n"+`{"id":"b","state":"failed"}`+"\n")
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1, 2}, peertest.Next(t, h.acknowledged))
}

func TestUnansweredCallIsMadeAgainOnANewConnection(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	h.peer.Accept(t) // and no answer
	h.timers.Next(t).Fire()
	require.Equal(t, "no answer", peertest.Next(t, h.lost))
	conn, _ := h.peer.Accept(t)
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
}

func TestAnswerTimeoutGoesByTheClock(t *testing.T) {
	h := newHarness(t) // nobody accepts, and so nobody answers
	h.afterFunc = time.AfterFunc
	begun := time.Now()
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	require.Equal(t, "no answer", peertest.Next(t, h.lost))
	require.GreaterOrEqual(t, time.Since(begun), answerTimeout)
}

func TestReconfiguredClientSendsToTheNewAddress(t *testing.T) {
	h := newHarness(t)
	h.Reconfigure(h.addr, 7)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	conn, request := h.peer.Accept(t)
	require.Contains(t, request, "POST /v1/notices")
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
}

func TestLateTimerSendsNothingAgain(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	conn, _ := h.peer.Accept(t)
	h.mu.Lock()
	c := h.conn
	late := c.calls
	h.mu.Unlock()
	conn.Write([]byte(answerNoContent))
	peertest.Next(t, h.acknowledged)
	h.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Failed})
	c.timedOut(late)
	require.Empty(t, h.lost)
	require.Contains(t, peertest.Read(t, conn), `"b"`)
}

func TestNoticeAtExpiryOnADeadConnectionIsInTime(t *testing.T) {
	require.Less(t, 2*answerTimeout, 300*time.Millisecond, "so long after its expiry a message is lost")
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	for i := range 3 { // each is waited for longer: the round trip may be long
		h.peer.Accept(t)
		timer := h.timers.Next(t)
		require.Equal(t, answerTimeout<<i, timer.Wait)
		timer.Fire()
		require.Equal(t, "no answer", peertest.Next(t, h.lost))
		h.mu.Lock()
		unanswered := h.unanswered
		h.mu.Unlock()
		require.Equal(t, i+1, unanswered)
	}
	conn, request := h.peer.Accept(t) // begun by the last timer itself: no other has fired
	require.Contains(t, request, `"a"`)
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
	require.Empty(t, h.lost)
}

// A notice that is answered on the old connection after it was sent again is sent once more than need be, and each time
// under its own number: nothing else counts as acknowledged.
func TestAnswerOnAnOldConnectionAcknowledgesNothing(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Rejected})
	old, _ := h.peer.Accept(t)
	h.timers.Next(t).Fire()
	require.Equal(t, "no answer", peertest.Next(t, h.lost))
	conn, request := h.peer.Accept(t)
	require.Contains(t, request, `{"id":"a","state":"returned"}`)
	h.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Rejected})
	old.Write([]byte(answerNoContent)) // the client has closed this connection
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
}
