package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// Environment variables that set sizes of these tests.
const (
	killsVariable   = "TEST_KILLS"   // number of SIGKILLs at random times; 20 by default
	storedVariable  = "TEST_STORED"  // number of messages stored at a SIGTERM; 100,000 by default
	backlogVariable = "TEST_BACKLOG" // number of messages stored for each recovering destination; 50 by default
)

const (
	deduplicationWindow = 2 * time.Second // of the type ticket in backlogTemplate
	latencyObjective    = 3 * time.Second // of all types
	logTailSize         = 4000            // bytes of the end of the log that a failure message contains
)

const backlogTemplate = `name = "n1"
zones = ["a"]
zone = "a"
[ledger]
folder = "state"
disk = "8MB"
[discovery]
notices = %q
[limits]
memory = "384MB"
cores = 2
[dispatch]
slots = 64
room = 2000
transmissions = 60
key_rest = "10ms"
cold_from = 1.0
come_back = "2s"
[[fronts]]
listen = %q
[[tenants]]
name = "red"
per_second = 100000
[[tenants]]
name = "green"
per_second = 100000
[[types]]
name = "status"
repeat = "replayable"
in_order = true
agreed = "3s"
life = "300s"
[[types]]
name = "ticket"
repeat = "numbered"
in_order = true
agreed = "3s"
life = "300s"
memory = "2s"
[[types]]
name = "payment"
repeat = "binding"
agreed = "3s"
life = "300s"
`

// backlogHarness is a forwarder with a backlog and several destinations with one endpoint each. It records the history
// of messages as observed by clients, endpoints and the receiver of notices.
type backlogHarness struct {
	*harness
	endpoints []*emulator.Endpoint // of destinations 1, 2, ..., one each, or all of destination 1
	history   *history

	oneDestination bool // all endpoints belong to destination 1
}

func newBacklogHarness(t *testing.T, endpoints int) *backlogHarness {
	h := &backlogHarness{harness: newHarness(t), history: newHistory()}
	h.discovery.OnNotice = h.history.recordNotice
	go discard(h.discovery.Notices)
	for range endpoints {
		endpoint := h.newEndpoint()
		endpoint.Do(h.history.deliver)
		go discard(endpoint.Calls)
		h.endpoints = append(h.endpoints, endpoint)
	}
	return h
}

// discard receives items that no test waits for.
func discard[T any](items chan T) {
	for range items {
	}
}

// writeConfig writes the configuration with a backlog section.
func (h *backlogHarness) writeConfig(backlog string) *backlogHarness {
	h.t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, backlogTemplate, h.discovery.Addr, h.listen)
	for i, endpoint := range h.endpoints {
		destination := i + 1
		if h.oneDestination {
			destination = 1
		}
		fmt.Fprintf(&text, "[[targets]]\nuid = \"t%d\"\naddress = %q\nzone = \"a\"\ndest = %d\n",
			i+1, endpoint.Addr, destination)
	}
	fmt.Fprintf(&text, "[backlog]\nfolder = \"stored\"\n%s\n", backlog)
	h.replaceConfig(text.String())
	return h
}

// reload makes the forwarder apply a changed backlog section and waits until it has.
func (h *backlogHarness) reload(backlog string) {
	h.t.Helper()
	h.writeConfig(backlog)
	h.process.Reload(h.t, logReloaded)
}

// setReplies replaces the reply function of all endpoints.
func (h *backlogHarness) setReplies(reply func(emulator.Call) emulator.Reply) {
	for _, endpoint := range h.endpoints {
		endpoint.Do(reply)
	}
}

// reject answers 503, which means that the call was not run.
func reject(emulator.Call) emulator.Reply { return emulator.Reply{Status: 503} }

// put submits a message over a connection and returns the answer.
func (h *backlogHarness) put(c *emulator.Client, s submission) string {
	h.t.Helper()
	answer, err := c.Send(s.command())
	require.NoError(h.t, err)
	if answer == "+OK" {
		h.history.recordAccepted(s)
	}
	return answer
}

// putAll submits messages over one connection without waiting for each answer, and requires that all are accepted.
func (h *backlogHarness) putAll(all []submission) {
	h.t.Helper()
	c := h.client()
	go func() {
		for _, s := range all {
			if _, err := io.WriteString(c, s.command()); err != nil {
				return
			}
		}
	}()
	for _, s := range all {
		answer, err := c.ReadReply()
		require.NoError(h.t, err)
		require.Equal(h.t, "+OK", answer, s.id())
		h.history.recordAccepted(s)
	}
}

// putDelivered submits a message and requires that it is delivered within the latency objective.
func (h *backlogHarness) putDelivered(c *emulator.Client, s submission) {
	h.t.Helper()
	require.Equal(h.t, "+OK", h.put(c, s))
	require.Eventually(h.t, func() bool { return h.history.delivered(s) }, latencyObjective, time.Millisecond,
		"must be delivered within the latency objective")
}

// awaitAnswers waits until all accepted messages have a final answer, and checks the history.
func (h *backlogHarness) awaitAnswers(within time.Duration) {
	h.t.Helper()
	deadline := time.Now().Add(within)
	for pending := h.history.pending(); len(pending) > 0; pending = h.history.pending() {
		if time.Now().After(deadline) {
			log := h.process.Log.String()
			require.Fail(h.t, "not all messages have ended", "%d are pending, among them %s\n%s",
				len(pending), pending[0], log[max(0, len(log)-logTailSize):])
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.history.requireNoViolations(h.t)
}

// submission is a message that a test submits. Messages of a key are numbered from 0 in the order of submission.
type submission struct {
	typ         string
	destination int
	tenant      string
	key         int // 0 means none
	number      int
	timeToLive  time.Duration // 0 means 5 minutes
	body        string        // empty means "hello"
}

func (s submission) id() string {
	return fmt.Sprintf("%s-%d-%s-%d-%d", s.typ, s.destination, s.tenant, s.key, s.number)
}

// command encodes the submission as clients send it.
func (s submission) command() string {
	timeToLive := s.timeToLive
	if timeToLive == 0 {
		timeToLive = 5 * time.Minute
	}
	options := fmt.Sprintf("c=%s,d=%d,dest=%d,k=%s", s.typ, timeToLive.Milliseconds(), s.destination, s.id())
	if s.tenant != "" {
		options += ",t=" + s.tenant
	}
	body := s.body
	if body == "" {
		body = "hello"
	}
	return emulator.Command("MSG.PUT", fmt.Sprintf("%016x", s.key), s.id(), options, body)
}

// submissions returns count messages that are spread evenly over a number of keys.
func submissions(typ string, destination int, tenant string, count, keys int) (all []submission) {
	for i := range count {
		all = append(all, submission{typ: typ, destination: destination, tenant: tenant,
			key: 1000*destination + 1 + i%keys, number: i})
	}
	return all
}

var body300 = strings.Repeat("x", 300)

// sizeFromEnvironment returns the number in an environment variable, or a default value if the variable is not set.
func sizeFromEnvironment(t *testing.T, variable string, defaultValue int) int {
	text := os.Getenv(variable)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, variable)
	return n
}
