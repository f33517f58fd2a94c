package discovery

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/emulator"
	"spanflow/transport"
)

type desk struct {
	lists  chan *transport.EndpointList
	ended  chan string
	how    chan transport.WatchEnd // the same ends
	lost   chan string
	told   chan []uint64
	timers chan scriptedTimer // that the directory started, in their order
}

func (d *desk) EndpointsUpdated(l *transport.EndpointList) { d.lists <- l }
func (d *desk) WatchEnded(why string, how transport.WatchEnd) {
	if how == transport.WatchSilent {
		why += ", having told"
	}
	d.how <- how
	d.ended <- why
}
func (d *desk) NoticesUnanswered(why string)       { d.lost <- why }
func (d *desk) NoticesAcknowledged(doors []uint64) { d.told <- doors }

// scriptedTimer is a timer of the directory that fires at a test's word and at no time of its own.
type scriptedTimer struct {
	wait time.Duration
	fire func()
}

// afterFunc takes the place of time.AfterFunc.
func (d *desk) afterFunc(wait time.Duration, fire func()) *time.Timer {
	d.timers <- scriptedTimer{wait, fire}
	unused := time.NewTimer(time.Hour)
	unused.Stop()
	return unused
}

const patience = 15 * time.Second // a bound on what would otherwise hang; nothing is judged by it

// next waits for what has to come.
func next[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(patience):
		require.FailNow(t, "nothing came")
		panic("unreachable")
	}
}

// scene is a directory, its desk, and a peer that accepts its next connection and reads what it asks. The timers are
// scripted: a pause of the machine changes nothing.
func scene(t *testing.T) (*Client, *desk, func() (net.Conn, string)) {
	ln, err := net.Listen("tcp", "127.5.0.1:0")
	require.NoError(t, err)
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close(); dialer.Stop() })
	k := &desk{make(chan *transport.EndpointList, 9), make(chan string, 9), make(chan transport.WatchEnd, 9), make(chan string, 9),
		make(chan []uint64, 9), make(chan scriptedTimer, 99)}
	d := New(dialer, ln.Addr().String(), time.Second, k)
	d.afterFunc = k.afterFunc
	t.Cleanup(d.Stop)
	// A connection that a test lets go of is closed by the garbage collector, and the directory hears its end in place of
	// silence: all are held until the test is over.
	var accepted []net.Conn
	t.Cleanup(func() {
		for _, c := range accepted {
			c.Close()
		}
	})
	return d, k, func() (net.Conn, string) {
		require.NoError(t, ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience)))
		c, err := ln.Accept()
		require.NoError(t, err)
		accepted = append(accepted, c)
		b := make([]byte, 4000)
		n, err := c.Read(b)
		require.NoError(t, err)
		return c, string(b[:n])
	}
}

const open = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestAWatchTellsChangesAndItsEnd(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(41)
	c, asked := accept()
	require.Contains(t, asked, "GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n")
	c.Write([]byte(open + "1\r\n\n\r\n" + "1a\r\n{\"rev\":43,\"all\":false,\"tar\r\n"))
	c.Write([]byte("2d\r\ngets\":[{\"uid\":\"s1\",\"state\":\"left\"}]}\n{\"rev\":\r\n"))
	l := <-k.lists
	require.Equal(t, transport.EndpointList{Revision: 43, Endpoints: []transport.Endpoint{{UID: "s1", State: "left"}}}, *l)
	c.Close()
	<-k.ended
}

func TestALineThatCannotBeReadEndsTheWatchAndTellsNothing(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(1)
	c, _ := accept()
	c.Write([]byte(open + "5\r\n{bad\n\r\n"))
	require.Contains(t, <-k.ended, "cannot be read")
	d.Watch(1)
	c, _ = accept()
	c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	require.Equal(t, "answered 503", <-k.ended)
	require.Empty(t, k.lists)
}

func TestNoticesAreSentAgainUntilAnswered(t *testing.T) {
	d, k, accept := scene(t)
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Rejected, RetryAfterMs: 500})
	c, said := accept()
	require.Contains(t, said, `{"id":"a","state":"returned","after_ms":500}`+"\n")
	require.Equal(t, noticeIn, next(t, k.timers).wait)
	d.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Failed}) // while a call is out
	c.Close()
	next(t, k.lost)
	again := next(t, k.timers)
	require.Equal(t, againIn, again.wait)
	again.fire()
	c, said = accept()
	require.Contains(t, said, `{"id":"a","state":"returned","after_ms":500}`+"\n"+`{"id":"b","state":"failed"}`+"\n")
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1, 2}, next(t, k.told))
}

func TestANoticeOnASilentConnectionIsSentOnANewOne(t *testing.T) {
	d, k, accept := scene(t)
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	accept() // and no word
	next(t, k.timers).fire()
	require.Equal(t, "no answer", next(t, k.lost))
	c, _ := accept()
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1}, next(t, k.told))
}

func TestTheClockEndsTheWaitForANoticesAnswer(t *testing.T) {
	d, k, _ := scene(t) // nobody accepts, and so nobody answers
	d.afterFunc = time.AfterFunc
	begun := time.Now()
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	require.Equal(t, "no answer", next(t, k.lost))
	require.GreaterOrEqual(t, time.Since(begun), noticeIn)
}

func TestASilentWatchEnds(t *testing.T) {
	d, k, accept := scene(t)
	d.afterFunc = time.AfterFunc
	d.Watch(1)
	c, _ := accept()
	c.Write([]byte(open + "1\r\n\n\r\n"))
	require.Equal(t, "silent, having told", next(t, k.ended))
}

func TestWhereOnlyNoticesGoTheListIsNotAskedForAfterAMove(t *testing.T) {
	d, k, accept := scene(t)
	d.Reconfigure(d.addr, 7)
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	c, said := accept()
	require.Contains(t, said, "POST /v1/notices")
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1}, <-k.told)
	require.Nil(t, d.watch)
}

func TestAListMayBeIndentedOverSeveralLines(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(1)
	c, _ := accept()
	list := "{\n  \"rev\": 7,\n  \"all\": true,\n  \"targets\": [\n    {\n      \"uid\": \"a}\\\"{\",\n      \"state\": \"active\"\n    }\n  ]\n}\n\n"
	c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	for i := range list { // cut anywhere
		c.Write([]byte(list[i : i+1]))
	}
	require.Equal(t, transport.EndpointList{Revision: 7, Complete: true, Endpoints: []transport.Endpoint{{UID: `a}"{`, State: "active"}}}, *<-k.lists)
	c.Write([]byte(`{"rev":8,"all":false,"targets":[]}` + "\n" + `{"rev":9,"all":false,"targets":[]}` + "\n"))
	require.Equal(t, []int64{8, 9}, []int64{(<-k.lists).Revision, (<-k.lists).Revision})
}

func TestAWatchOnWhichBytesTrickleAndNoLineComesIsSilent(t *testing.T) {
	d, k, accept := scene(t)
	d.afterFunc = time.AfterFunc
	d.Watch(1)
	c, _ := accept()
	c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{\"rev\":1,\"all\":true,\"targets\":[]}\n{"))
	<-k.lists
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				c.Write([]byte(" "))
			}
		}
	}()
	defer close(stop)
	select {
	case why := <-k.ended:
		require.Equal(t, "silent, having told", why)
	case <-time.After(15 * time.Second):
		t.Fatal("kept for ever")
	}
}

func TestATimerThatFiredWhileALineWasTakenEndsNothing(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(1)
	c, _ := accept()
	d.mu.Lock()
	w := d.watch
	late := w.turn
	d.mu.Unlock()
	c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{\"rev\":1,\"all\":true,\"targets\":[]}\n"))
	<-k.lists
	d.mu.Lock() // the reader has gone on to wait anew
	turn := w.turn
	d.mu.Unlock()
	require.Greater(t, turn, late)
	w.silent(late)
	require.Empty(t, k.ended)
	c.Write([]byte("{\"rev\":2,\"all\":false,\"targets\":[]}\n"))
	require.Equal(t, int64(2), (<-k.lists).Revision)
}

func TestATimerThatFiredWhileANoticeWasAnsweredSendsNothingAgain(t *testing.T) {
	d, k, accept := scene(t)
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	c, _ := accept()
	d.mu.Lock()
	r := d.out
	late := r.turn
	d.mu.Unlock()
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	<-k.told
	d.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Failed})
	r.silent(late)
	require.Empty(t, k.lost)
	b := make([]byte, 4000)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Contains(t, string(b[:n]), `"b"`)
}

func TestANoticeAtExpiryOnADeadConnectionIsInTime(t *testing.T) {
	require.Less(t, 2*noticeIn, 300*time.Millisecond, "so long after its expiry a document is lost")
	d, k, accept := scene(t)
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Failed})
	for i := range 3 { // each is waited for longer: the way may be a long one
		accept()
		timer := next(t, k.timers)
		require.Equal(t, noticeIn<<i, timer.wait)
		timer.fire()
		require.Equal(t, "no answer", next(t, k.lost))
		d.mu.Lock()
		lost := d.lost
		d.mu.Unlock()
		require.Equal(t, i+1, lost)
	}
	c, said := accept() // begun by the last timer itself: no other has fired
	require.Contains(t, said, `"a"`)
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1}, next(t, k.told))
	require.Empty(t, k.lost)
}

func TestAVersionOlderThanWhatIsHeldEndsTheWatchUnheard(t *testing.T) {
	for name, told := range map[string][]string{
		"in answer to the question": {`{"rev":6,"all":false,"targets":[]}`},
		"later":                     {`{"rev":8,"all":false,"targets":[]}`, `{"rev":7,"all":true,"targets":[]}`},
	} {
		t.Run(name, func(t *testing.T) {
			d, k, accept := scene(t)
			d.Watch(7)
			c, _ := accept()
			c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + strings.Join(told, "\n") + "\n"))
			require.Contains(t, <-k.ended, "of the list came after version")
			require.Len(t, k.lists, len(told)-1)
		})
	}
	d, k, accept := scene(t)
	d.Watch(7)
	c, _ := accept()
	c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + `{"rev":2,"all":true,"targets":[]}` + "\n" + `{"rev":2,"all":false,"targets":[]}` + "\n"))
	require.Equal(t, []int64{2, 2}, []int64{(<-k.lists).Revision, (<-k.lists).Revision}, "counted anew; and a version told twice is no older")
}

func TestAWatchThatIsSilentFromTheStartEnds(t *testing.T) {
	d, k, accept := scene(t)
	d.afterFunc = time.AfterFunc
	d.Watch(1)
	accept()
	require.Equal(t, "silent", next(t, k.ended))
}

// Reason the old watch's reader had in hand when the list was asked for anew is told by nobody: the new one brings it.
func TestNewsOfAnOldWatchIsNotToldBehindTheNewOne(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(1)
	c, _ := accept()
	d.mu.Lock()
	c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{\"rev\":2,\"all\":true,\"targets\":[]}\n"))
	emulator.AwaitAtLock(t, "discovery.(*watch).Data(")
	d.watch.close() // what WatchEndpoints and Reconfigure do first, with the lock held
	d.mu.Unlock()
	d.Watch(1)
	c, _ = accept()
	c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{\"rev\":3,\"all\":true,\"targets\":[]}\n"))
	require.Equal(t, int64(3), (<-k.lists).Revision)
	require.Empty(t, k.lists)
	require.Empty(t, k.ended)
}

// A notice that is answered on the old connection after it was sent anew is told once more than need be, and each time by
// its own number: nothing else counts as heard.
func TestANoticeAnsweredLateOnTheOldConnectionIsHeardOnTheNew(t *testing.T) {
	d, k, accept := scene(t)
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "a", Outcome: transport.Rejected})
	old, _ := accept()
	next(t, k.timers).fire()
	require.Equal(t, "no answer", next(t, k.lost))
	c, said := accept()
	require.Contains(t, said, `{"id":"a","state":"returned"}`)
	d.Notify(transport.FinalAnswer{MessageID: 2, ID: "b", Outcome: transport.Rejected})
	old.Write([]byte("HTTP/1.1 204 None\r\n\r\n")) // nobody listens there any more
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1}, <-k.told)
}

// How a question failed decides when the next one follows: one that waited in vain shows that discovery has more of them
// than it can answer; no other end does.
func TestAWatchThatEndsTellsIfDiscoveryHadTooManyQuestions(t *testing.T) {
	const busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	const told = "HTTP/1.1 200 OK\r\n\r\n{\"rev\":2,\"all\":true,\"targets\":[]}\n"
	for name, c := range map[string]struct {
		waited time.Duration // for the answer
		answer string        // then the connection ends
		want   transport.WatchEnd
	}{
		"turned away at once":      {0, busy, transport.WatchBroken},
		"turned away after a wait": {2 * time.Second, busy, transport.WatchTimeout},
		"reset at once":            {0, "", transport.WatchBroken},
		"reset after a wait":       {2 * time.Second, "", transport.WatchTimeout},
		"ended having told":        {2 * time.Second, told, transport.WatchBroken},
	} {
		t.Run(name, func(t *testing.T) {
			d, k, accept := scene(t)
			began := time.Now()
			d.now = func() time.Time { return began }
			d.Watch(1)
			connection, _ := accept()
			d.mu.Lock()
			d.now = func() time.Time { return began.Add(c.waited) }
			d.mu.Unlock()
			connection.Write([]byte(c.answer))
			connection.Close()
			require.Equal(t, c.want, next(t, k.how))
		})
	}
	t.Run("out of reach", func(t *testing.T) {
		d, k, _ := scene(t)
		began := time.Now()
		d.now = func() time.Time { return began }
		d.dialer.Connect = func(context.Context, string) (net.Conn, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.now = func() time.Time { return began.Add(2 * time.Second) }
			return nil, syscall.ETIMEDOUT
		}
		d.Watch(1)
		require.Equal(t, transport.WatchBroken, next(t, k.how))
	})
	t.Run("no answer in time", func(t *testing.T) {
		d, k, accept := scene(t)
		d.Watch(1)
		accept()
		next(t, k.timers).fire()
		require.Equal(t, transport.WatchTimeout, next(t, k.how))
	})
}
