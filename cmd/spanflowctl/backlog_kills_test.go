package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
	"spanflow/internal/emulator"
)

// loadClient submits messages for one destination. It reconnects after the forwarder was killed.
type loadClient struct {
	h    *backlogHarness
	conn *emulator.Client // nil if not connected
	end  <-chan struct{}
}

// run submits rounds of messages until end is closed.
func (l *loadClient) run(destination int) {
	defer l.disconnect()
	for round := 0; ; round++ {
		for _, s := range loadRound(destination, round) {
			if !l.submit(s) {
				return
			}
		}
	}
}

// loadRound returns messages of all types. Even rounds belong to one tenant, and odd rounds to another tenant with
// other keys.
func loadRound(destination, round int) []submission {
	all := []submission{{typ: "status", key: 1}, {typ: "ticket", key: 2}, {typ: "status", key: 3}, {typ: "payment"}}
	for i := range all {
		s := &all[i]
		if s.key != 0 {
			s.key += 10 * destination
		}
		s.destination, s.tenant, s.number = destination, "red", round
		if round%2 == 1 {
			s.tenant, s.key = "green", s.key+1000*min(s.key, 1)
		}
	}
	return all
}

// submit submits a message repeatedly until it is accepted or the connection ends. It returns false once end is closed.
func (l *loadClient) submit(s submission) bool {
	for answer := ""; answer != "+OK"; {
		select {
		case <-l.end:
			return false
		case <-time.After(2 * time.Millisecond):
		}
		if l.conn == nil {
			if l.conn, _ = emulator.NewClient(l.h.listen); l.conn == nil {
				continue
			}
		}
		var err error
		if answer, err = l.conn.Send(s.command()); err != nil { // not submitted again, as it may have been accepted
			if errors.Is(err, os.ErrDeadlineExceeded) {
				l.h.history.recordUnanswered(s)
			}
			l.disconnect()
			return true
		}
	}
	l.h.history.recordAccepted(s)
	return true
}

func (l *loadClient) disconnect() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// runOutages makes endpoints fail in different ways and recover, at random times, until end is closed.
func (h *backlogHarness) runOutages(random *rand.Rand, end <-chan struct{}) {
	replies := []func(emulator.Call) emulator.Reply{
		func(emulator.Call) emulator.Reply {
			return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "0.1"}}
		},
		func(c emulator.Call) emulator.Reply { return h.history.fail(c, emulator.Reply{Status: 500}) },
		func(c emulator.Call) emulator.Reply { return h.history.fail(c, emulator.Reply{Break: true}) },
		h.history.deliver,
		h.history.deliver,
	}
	for {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(20+random.IntN(100)) * time.Millisecond):
			h.endpoints[random.IntN(len(h.endpoints))].Do(replies[random.IntN(len(replies))])
		}
	}
}

// storedMessages returns the number of messages in the backlog. The process must have ended.
func (h *backlogHarness) storedMessages() int {
	h.t.Helper()
	view, err := backlog.Inspect(backlog.OS{}, h.backlogFolder())
	require.NoError(h.t, err)
	defer view.Close()
	stats, err := view.Stats()
	require.NoError(h.t, err)
	return stats.Messages
}

func TestMessagesHaveOneAnswerInKeyOrderAcrossRandomKills(t *testing.T) {
	t.Parallel()
	kills := sizeFromEnvironment(t, killsVariable, 20)
	const seed = 44
	h := newBacklogHarness(t, 3).writeConfig("disk = \"8MiB\"\nwindow = 4\nbehind = 40")
	random := rand.New(rand.NewPCG(seed, 0))
	endLoad, endOutages := make(chan struct{}), make(chan struct{})
	var loads, others sync.WaitGroup
	for destination := 1; destination <= len(h.endpoints); destination++ {
		loads.Go(func() { (&loadClient{h: h, end: endLoad}).run(destination) })
	}
	others.Go(func() { h.runOutages(rand.New(rand.NewPCG(seed, 1)), endOutages) })
	maxStored, inBoth := 0, 0
	for range kills {
		h.start()
		if !h.process.Log.Has(`"in_both":0,`) {
			inBoth++
		}
		time.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
		h.kill()
		maxStored = max(maxStored, h.storedMessages())
	}
	close(endLoad)
	loads.Wait()
	close(endOutages)
	others.Wait()
	h.setReplies(h.history.deliver)
	h.start()
	h.awaitAnswers(2 * time.Minute)
	h.terminate()
	h.history.requireNoNotices(t, "status")
	accepted, runs, notices := h.history.count()
	t.Logf("%d kills: %d accepted, %d runs, %d notices, at most %d stored at a kill; %d starts found interrupted moves",
		kills, accepted, runs, notices, maxStored, inBoth)
	require.Positive(t, maxStored, "the backlog must have stored messages")
}

func TestBacklogDrainsInOrderAcrossRepeatedKills(t *testing.T) {
	const count, keys, part = 1500, 30, 100
	t.Parallel()
	h := newBacklogHarness(t, 1).writeConfig("disk = \"8MiB\"\nwindow = 8\nbehind = 16")
	h.setReplies(reject)
	h.start()
	h.putAll(submissions("status", 1, "", count, keys))
	h.kill()
	h.setReplies(h.history.deliver)
	kills := 0
	for h.history.answered() < count {
		h.start()
		for from := h.history.answered(); h.history.answered() < min(from+part, count); time.Sleep(time.Millisecond) {
		}
		h.kill()
		kills++
	}
	h.start()
	h.awaitAnswers(time.Minute)
	h.terminate()
	_, runs, _ := h.history.count()
	t.Logf("%d kills, %d messages, %d runs", kills, count, runs)
	require.Greater(t, kills, 5)
}

// delayedFailures provides the reply of endpoints that run all calls and answer them with an error. No call is answered
// before the expected number of messages has been received, so the forwarder does not observe a failure earlier.
type delayedFailures struct {
	history  *history
	expected int
	release  chan struct{} // closed when all expected messages have been received

	mu       sync.Mutex
	received map[string]bool // message ids
}

func newDelayedFailures(h *history, expected int) *delayedFailures {
	return &delayedFailures{history: h, expected: expected, release: make(chan struct{}), received: map[string]bool{}}
}

func (f *delayedFailures) reply(c emulator.Call) emulator.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.received) < f.expected {
		if f.received[c.ID] = true; len(f.received) == f.expected {
			close(f.release)
		}
	}
	return f.history.fail(c, emulator.Reply{Status: 500, Hold: f.release})
}

func (f *delayedFailures) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%d of %d messages arrived", len(f.received), f.expected)
}

// storedIDs returns the ids in the output of a list command with --json.
func storedIDs(t *testing.T, output string) (ids []string) {
	t.Helper()
	for line := range strings.Lines(output) {
		var stored struct{ ID string }
		require.NoError(t, json.Unmarshal([]byte(line), &stored), line)
		ids = append(ids, stored.ID)
	}
	return ids
}

// The backlog stores whether a message may have run, so that after a kill the message does not run again once its
// deduplication window is over.
//
// All messages are attempted before the forwarder observes the first failure, so that all stored messages have run.
// With an earlier failure, the destination would count as failing, and all messages beyond the window of one message
// would be stored untried. The oldest message stays in memory, as the window is one message, and may be repeated for
// minutes, so that no stored message is loaded from the store before the kill.
func TestStoredMessageIsNotRepeatedAfterDeduplicationWindow(t *testing.T) {
	const (
		endpoints = 10
		count     = 2 * endpoints // a new endpoint gets two concurrent calls
	)
	t.Parallel()
	h := newBacklogHarness(t, endpoints)
	h.oneDestination = true
	h.writeConfig("disk = \"8MiB\"\nwindow = 1\nbehind = 20")
	failures := newDelayedFailures(h.history, count)
	h.setReplies(failures.reply)
	h.start()
	all := []submission{{typ: "status", destination: 1, key: 1}}
	for i := 1; i < count; i++ {
		all = append(all, submission{typ: "ticket", destination: 1, key: 1 + i})
	}
	h.putAll(all)
	var out string
	require.Eventually(t, func() bool {
		out, _ = spanflow("backlog", "list", "-c", h.configFile, "--json", "--state", "may-have-run")
		return out != ""
	}, 10*time.Second, 20*time.Millisecond, "%v", failures)
	h.kill()
	time.Sleep(deduplicationWindow + 2*time.Second)
	h.setReplies(h.history.deliver)
	h.start()
	h.awaitAnswers(time.Minute)
	h.history.mu.Lock()
	for _, id := range storedIDs(t, out) {
		require.Empty(t, h.history.messages[id].delivered, id)
		require.Equal(t, noticeFailed, h.history.messages[id].notices[0], id)
	}
	h.history.mu.Unlock()
	h.terminate()
}
