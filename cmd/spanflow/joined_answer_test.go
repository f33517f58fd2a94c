package main

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The tests in this file guard against an answer to a call of several messages that is believed for some of them although
// another one was over when it came (report 8af0d7). The endpoint may take the whole call to be over by then. Its answer
// counts for no message, and each of them has to get its notice before the next message of its key is sent.

const (
	joinedLife  = 600 * time.Millisecond // of the message that ends while its call is in progress
	answerDelay = 50 * time.Millisecond  // from the end of that message until the endpoint answers
	joinedKey   = "0000000000000005"
)

// joinedCallStage is a forwarder with a call of several messages that its endpoint has not answered yet.
type joinedCallStage struct {
	*harness
	client  *emulator.Client
	slots   chan struct{} // frees the slots of the endpoint once closed
	answer  chan struct{} // makes the endpoint answer the joined call once closed
	arrived chan string   // ids of the notices and of the calls behind the joined call, in the order of their arrival
}

// newJoinedCallStage takes all slots of the endpoint, so that what is submitted then is joined in one call.
func newJoinedCallStage(t *testing.T) *joinedCallStage {
	s := &joinedCallStage{harness: newHarness(t, "several"), slots: make(chan struct{}), answer: make(chan struct{}),
		arrived: make(chan string, 16)}
	s.discovery.OnNotice = func(n emulator.Notice) { s.arrived <- n.State + " " + n.ID }
	s.endpoint.Do(s.reply)
	s.client = s.start()
	time.Sleep(2 * keyCooldown) // a process that has started lets all keys rest
	const slots = 2             // of an endpoint that has not delivered yet
	for n := range slots {
		s.put(s.client, noKey, fmt.Sprint("before", n), "c=status,d=8000,dest=7", "+OK")
		s.nextCall()
	}
	return s
}

func (s *joinedCallStage) reply(call emulator.Call) emulator.Reply {
	switch {
	case len(call.IDs) > 1:
		return emulator.Reply{Hold: s.answer}
	case call.ID == "next":
		s.arrived <- "called next"
		return emulator.Reply{}
	}
	return emulator.Reply{Hold: s.slots}
}

// join frees the slots, and requires that the submitted messages are sent in one call.
func (s *joinedCallStage) join(ids ...string) {
	s.t.Helper()
	close(s.slots)
	call := s.nextCall()
	slices.Sort(call.IDs)
	require.Equal(s.t, ids, call.IDs, "they are joined in one call")
}

// requireArrivals requires notices and calls in an order.
func (s *joinedCallStage) requireArrivals(want ...string) {
	s.t.Helper()
	for _, arrival := range want {
		require.Equal(s.t, arrival, awaitNext(s.harness, s.arrived, arrival))
	}
}

func TestAnswerBehindEndOfOneMessageIsNotBelievedForOthers(t *testing.T) {
	t.Run("its time is up", testAnswerBehindTimeOfOneMessage)
	t.Run("its client has left", testAnswerBehindDepartureOfOneClient)
}

func testAnswerBehindTimeOfOneMessage(t *testing.T) {
	notices := map[string]string{ // of the message that is not over, by its class
		"payment":     "failed long",   // it must not run twice
		"status":      "returned long", // it may be submitted again
		"ticket,k=a1": "returned long",
	}
	for class, notice := range notices {
		for _, first := range []string{"long", "short"} {
			t.Run(class+", first the "+first, func(t *testing.T) {
				t.Parallel()
				s := newJoinedCallStage(t)
				options := map[string]string{
					"long":  "c=" + class + ",d=8000,dest=7",
					"short": fmt.Sprintf("c=status,d=%d,dest=7", joinedLife.Milliseconds()),
				}
				s.put(s.client, joinedKey, first, options[first], "+OK")
				delete(options, first)
				for id, option := range options {
					s.put(s.client, joinedKey, id, option, "+OK")
				}
				s.put(s.client, joinedKey, "next", "c=ticket,d=8000,dest=7,k=a2", "+OK")
				s.joinBeforeNext(class)
				s.requireArrivals("returned short")
				time.Sleep(answerDelay)
				close(s.answer)
				if class == "ticket,k=a1" { // the class whose messages are sent in order
					s.requireArrivals(notice, "called next")
				} else {
					s.requireArrivals(notice)
				}
			})
		}
	}
}

// joinBeforeNext joins the messages before the one with id next, which goes with them unless they are sent in order.
func (s *joinedCallStage) joinBeforeNext(class string) {
	s.t.Helper()
	if class == "ticket,k=a1" {
		s.join("long", "short")
	} else {
		s.join("long", "next", "short")
	}
}

// A message is over for its client, which submits it again under another id, once the client has left without its answer.
func testAnswerBehindDepartureOfOneClient(t *testing.T) {
	s := newJoinedCallStage(t)
	leaving, err := net.Dial("tcp", s.listen)
	require.NoError(t, err)
	_, err = leaving.Write([]byte(emulator.Command("MSG.PUT", noKey, "departed", "c=status,d=8000,dest=7", "body")))
	require.NoError(t, err)
	s.put(s.client, joinedKey, "long", "c=ticket,d=8000,dest=7,k=a1", "+OK")
	s.put(s.client, joinedKey, "next", "c=ticket,d=8000,dest=7,k=a2", "+OK")
	s.join("departed", "long")
	require.NoError(t, leaving.(*net.TCPConn).SetLinger(0))
	require.NoError(t, leaving.Close())
	time.Sleep(answerDelay)
	close(s.answer)
	s.requireArrivals("returned long", "called next")
}
