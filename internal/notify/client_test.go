package notify

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/peertest"
	"spanflow/transport"
)

// recordingListener passes the reports of a client to the test.
type recordingListener struct {
	failures     chan string
	acknowledged chan []uint64
}

func (l *recordingListener) NoticesUnanswered(reason string)  { l.failures <- reason }
func (l *recordingListener) NoticesAcknowledged(ids []uint64) { l.acknowledged <- ids }

// harness is a client with an emulated receiver of notices. The test fires the timers, so that a pause of the machine
// has no effect.
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

func TestNoticesAreRepeatedUntilAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Rejected, RetryAfterMs: 500})
	conn, request := h.peer.Accept(t)
	require.Contains(t, request, `{"id":"a","state":"returned","after_ms":500}`+"\n")
	require.Equal(t, answerTimeout, h.timers.Next(t).Wait)
	h.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Failed}) // while a call is in progress
	conn.Close()
	peertest.Next(t, h.failures)
	retry := h.timers.Next(t)
	require.Equal(t, retryDelay, retry.Wait)
	retry.Fire()
	conn, request = h.peer.Accept(t)
	require.Contains(t, request, `{"id":"a","state":"returned","after_ms":500}`+"\n"+`{"id":"b","state":"failed"}`+"\n")
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1, 2}, peertest.Next(t, h.acknowledged))
}

func TestUnansweredCallIsRepeatedOnNewConnection(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	h.peer.Accept(t) // no answer follows
	h.timers.Next(t).Fire()
	require.Equal(t, "no answer", peertest.Next(t, h.failures))
	conn, _ := h.peer.Accept(t)
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
}

func TestAnswerTimeoutInRealTime(t *testing.T) {
	h := newHarness(t) // the connection is not accepted, so nothing answers
	h.afterFunc = time.AfterFunc
	start := time.Now()
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	require.Equal(t, "no answer", peertest.Next(t, h.failures))
	require.GreaterOrEqual(t, time.Since(start), answerTimeout)
}

func TestReconfiguredClientSendsToNewAddress(t *testing.T) {
	h := newHarness(t)
	h.Reconfigure(h.addr, 7)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	conn, request := h.peer.Accept(t)
	require.Contains(t, request, "POST /v1/notices")
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
}

func TestLateTimerDoesNotRepeatCall(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	conn, _ := h.peer.Accept(t)
	h.mu.Lock()
	c := h.conn
	h.mu.Unlock()
	conn.Write([]byte(answerNoContent))
	peertest.Next(t, h.acknowledged)
	h.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Failed})
	c.timedOut()
	require.Empty(t, h.failures)
	_, request := h.peer.Accept(t)
	require.Contains(t, request, `"b"`)
}

func TestNoticeOnDeadConnectionIsRepeatedInTime(t *testing.T) {
	require.Less(t, 2*answerTimeout, 300*time.Millisecond, "a message counts as lost 300 ms after its expiry")
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	for i := range 3 { // each timeout is longer, as the round trip may be long
		h.peer.Accept(t)
		timer := h.timers.Next(t)
		require.Equal(t, answerTimeout<<i, timer.Wait)
		timer.Fire()
		require.Equal(t, "no answer", peertest.Next(t, h.failures))
		h.mu.Lock()
		unanswered := h.unanswered
		h.mu.Unlock()
		require.Equal(t, i+1, unanswered)
	}
	conn, request := h.peer.Accept(t) // opened when the last timer fired; no other timer has fired since
	require.Contains(t, request, `"a"`)
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
	require.Empty(t, h.failures)
}

// An answer on the old connection arrives after the notice was sent again on a new one. It must not acknowledge
// anything, in particular no notice queued meanwhile. The repeated notice keeps its message ID.
func TestAnswerOnOldConnectionAcknowledgesNothing(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Rejected})
	old, _ := h.peer.Accept(t)
	h.timers.Next(t).Fire()
	require.Equal(t, "no answer", peertest.Next(t, h.failures))
	conn, request := h.peer.Accept(t)
	require.Contains(t, request, `{"id":"a","state":"returned"}`)
	h.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Rejected})
	old.Write([]byte(answerNoContent)) // the client has closed this connection
	conn.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
}

// A second copy of an acknowledgement arrives while the next notice is on its way. It must not acknowledge that one.
func TestSecondCopyOfAnswerAcknowledgesNothing(t *testing.T) {
	h := newHarness(t)
	h.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	first, _ := h.peer.Accept(t)
	first.Write([]byte(answerNoContent))
	require.Equal(t, []uint64{1}, peertest.Next(t, h.acknowledged))
	h.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Failed})
	second, request := h.peer.Accept(t)
	require.Contains(t, request, `"b"`)
	first.Write([]byte(answerNoContent))
	second.Close()
	require.NotEmpty(t, peertest.Next(t, h.failures))
	require.Empty(t, h.acknowledged)
}

// Guards against a request over what a body holds, with ids of the greatest length (review case 7).
func TestNoticesOfOneRequestFitIntoBody(t *testing.T) {
	for _, id := range []string{"9b1f03aa5c7e2d41", strings.Repeat("x", 128), strings.Repeat("<", 128)} {
		var notices []transport.FinalAnswer
		for range 2 * maxNoticesPerCall {
			notices = append(notices, transport.FinalAnswer{ID: id, Outcome: transport.Rejected, RetryAfterMs: 9_999_999})
		}
		calls := 0
		for ; len(notices) > 0; calls++ {
			n := noticesInCall(notices)
			require.LessOrEqual(t, len(appendNotices(nil, notices[:n])), transport.MaxBodyBytes)
			require.Positive(t, n)
			notices = notices[n:]
		}
		require.LessOrEqual(t, calls, 2+2*maxNoticesPerCall*len(id)*7/transport.MaxBodyBytes)
	}
}
