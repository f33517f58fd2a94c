package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	protocolBodyBytes = 64 << 10 // limit of a body
	clumpMessages     = 40
	clumpBodyBytes    = 8 << 10
)

// receiver is an endpoint that turns calls away whose bodies are over its limit.
type receiver struct {
	limit  int // bytes
	status int // of the answer to those that are over it

	mu        sync.Mutex
	calls     int
	refused   int
	delivered map[string]int
	largest   int
}

func (r *receiver) reply(c emulator.Call) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	r.largest = max(r.largest, len(c.Body))
	if len(c.Body) > r.limit {
		r.refused++
		return emulator.Reply{Status: r.status}
	}
	for _, id := range c.IDs {
		r.delivered[id]++
	}
	return emulator.Reply{}
}

// evenly returns the size of bodies that all have the same.
func evenly(bytes int) func(n int) int { return func(int) int { return bytes } }

// upTo62KB returns the sizes of a clump's bodies from 1 to 62 KB.
func upTo62KB(n int) int { return 1000 + n*n*61000/1521 }

// Guards against review case 7: a clump of messages for a healthy destination was joined in calls of over 64 KiB, which it
// turned away until no attempt was left.
func TestClumpOfLargeMessagesIsDelivered(t *testing.T) {
	for name, test := range map[string]struct {
		limit, status int
		bodyBytes     func(n int) int
		mayRefuse     int // calls that may be turned away, as the limit is lower than the protocol's
		kindOfTwo     bool
	}{
		"8 KiB each":      {limit: protocolBodyBytes, status: http.StatusBadRequest, bodyBytes: evenly(clumpBodyBytes)},
		"1 to 62 KB":      {limit: protocolBodyBytes, status: http.StatusRequestEntityTooLarge, bodyBytes: upTo62KB},
		"at the limit":    {limit: protocolBodyBytes, status: http.StatusBadRequest, bodyBytes: evenly(protocolBodyBytes)},
		"300 bytes":       {limit: protocolBodyBytes, status: http.StatusBadRequest, bodyBytes: evenly(300)},
		"two, 1 to 62 KB": {limit: protocolBodyBytes, status: http.StatusBadRequest, bodyBytes: upTo62KB, kindOfTwo: true},
		"two, 8 KiB, a receiver of 20 KB, 413": {limit: 20000, status: http.StatusRequestEntityTooLarge,
			bodyBytes: evenly(clumpBodyBytes), mayRefuse: 8, kindOfTwo: true},
		"a receiver of 20 KB, 413": {limit: 20000, status: http.StatusRequestEntityTooLarge,
			bodyBytes: evenly(clumpBodyBytes), mayRefuse: 8},
		"a receiver of 20 KB, 400": {limit: 20000, status: http.StatusBadRequest,
			bodyBytes: evenly(clumpBodyBytes), mayRefuse: 8},
		"a receiver of one, 413": {limit: clumpBodyBytes, status: http.StatusRequestEntityTooLarge,
			bodyBytes: evenly(clumpBodyBytes), mayRefuse: 8},
		"a receiver of 1 KB, joined": {limit: 1000, status: http.StatusRequestEntityTooLarge,
			bodyBytes: evenly(300), mayRefuse: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "several")
			h.diskMB = 20
			if test.kindOfTwo {
				h.replacements = []string{`"KindBatch":[1,10]`, `"KindBatch":[1,2]`}
			}
			r := &receiver{limit: test.limit, status: test.status, delivered: map[string]int{}}
			h.endpoint.Do(r.reply)
			c := h.start()
			var commands strings.Builder
			for n := range clumpMessages {
				commands.WriteString(emulator.Command("MSG.PUT", noKey, fmt.Sprint("m", n), "c=payment,d=15000,dest=7",
					strings.Repeat("x", test.bodyBytes(n))))
			}
			go func() { _, _ = c.Write([]byte(commands.String())) }()
			for range clumpMessages {
				reply, err := c.ReadReply()
				require.NoError(t, err)
				require.Equal(t, "+OK", reply)
			}
			delivered := func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return len(r.delivered) == clumpMessages
			}
			require.Eventually(t, delivered, arrivalTimeout, 5*time.Millisecond, "log:\n%s", h.process.Log)
			r.mu.Lock()
			defer r.mu.Unlock()
			for id, times := range r.delivered {
				require.Equal(t, 1, times, id)
			}
			require.LessOrEqual(t, r.largest, protocolBodyBytes)
			require.LessOrEqual(t, r.refused, test.mayRefuse)
			require.Empty(t, h.discovery.Notices)
		})
	}
}

// A message that no receiver may get is refused at once, with the limit and its size.
func TestMessageOverBodyLimitIsRefused(t *testing.T) {
	h := newHarness(t, "several")
	c := h.start()
	reply, err := c.Put(noKey, "large", "c=status,d=8000,dest=7", strings.Repeat("x", protocolBodyBytes+1))
	require.NoError(t, err)
	require.Equal(t, "-ERR the body has 65537 bytes, over the limit of 65536", reply)
	h.put(c, noKey, "small", "c=status,d=8000,dest=7", "+OK")
}

// A receiver that turns away a single message for its size will not take it later either.
func TestMessageTooLargeForReceiverIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, "several")
	r := &receiver{limit: 5, status: http.StatusRequestEntityTooLarge, delivered: map[string]int{}}
	h.endpoint.Do(r.reply)
	c := h.start()
	h.put(c, noKey, "a", "c=status,d=20000,dest=7", "+OK")
	notice := h.nextNotice()
	require.Equal(t, "a", notice.ID)
	require.Equal(t, "returned", notice.State)
	require.Len(t, h.endpoint.Calls, 1)
}
