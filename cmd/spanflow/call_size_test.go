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

// Guards against review case 7: a clump of messages for a healthy destination was joined in calls of over 64 KiB, which it
// turned away until no attempt was left.
func TestClumpOfLargeMessagesIsDelivered(t *testing.T) {
	for name, test := range map[string]struct {
		limit, status int
		bodyBytes     func(n int) int
		mayRefuse     int // calls that may be turned away, as the limit is lower than the protocol's
	}{
		"8 KiB each":                 {protocolBodyBytes, http.StatusBadRequest, func(int) int { return clumpBodyBytes }, 0},
		"1 to 62 KB":                 {protocolBodyBytes, http.StatusRequestEntityTooLarge, func(n int) int { return 1000 + n*n*61000/1521 }, 0},
		"at the limit":               {protocolBodyBytes, http.StatusBadRequest, func(int) int { return protocolBodyBytes }, 0},
		"300 bytes":                  {protocolBodyBytes, http.StatusBadRequest, func(int) int { return 300 }, 0},
		"a receiver of 20 KB, 413":   {20000, http.StatusRequestEntityTooLarge, func(int) int { return clumpBodyBytes }, 8},
		"a receiver of 20 KB, 400":   {20000, http.StatusBadRequest, func(int) int { return clumpBodyBytes }, 8},
		"a receiver of one, 413":     {clumpBodyBytes, http.StatusRequestEntityTooLarge, func(int) int { return clumpBodyBytes }, 8},
		"a receiver of 1 KB, joined": {1000, http.StatusRequestEntityTooLarge, func(int) int { return 300 }, 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "several")
			h.diskMB = 20
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
