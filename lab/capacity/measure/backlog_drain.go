package measure

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

var (
	drainRate    = quantity{"messages a second that drain with one core", "messages stored", "messages a second"}
	drainCPU     = quantity{"processor time of a message that drains", "messages stored", "s"}
	drainWritten = quantity{"bytes written for a message, from the store to its end, by byte of its record", "messages stored", "times"}
	fillWritten  = quantity{"bytes written to store a message, by byte of its record", "messages stored", "times"}
	expiryLate   = quantity{"messages answered after their time, of those that expire in one second", "messages stored", "messages"}
	expiryMargin = quantity{"least time left at an answer", "messages stored", "s"}
	expiryFresh  = quantity{"slowest answer to a fresh message meanwhile", "messages stored", "s"}
)

const (
	drainDestinations  = 8
	drainWindow        = 64
	drainQueueCapacity = 60_000
	drainTimeout       = 3 * time.Minute
	expiryRate         = 200                   // fresh messages a second during the expiries
	expiryAfter        = 10 * time.Second      // time from the start of filling the store to the first expiry
	expiryAfterEach    = 50 * time.Microsecond // added to expiryAfter for each message
	expiryLoadLead     = 4 * time.Second       // time from the start of the load to the first expiry
	expiryLoadTail     = time.Second           // time from the last expiry to the end of the load
	expirySpan         = time.Second           // time from the first expiry to the last
	noticesTimeout     = 10 * time.Second
	quickExpiryAfter   = 5 * time.Second
)

// measureBacklogDrain measures how fast stored messages are delivered to endpoints that answer at once.
func measureBacklogDrain(t *trial) error {
	return t.sweep("drains", 1, linearTime, sizes(t.Largest), t.drainStored)
}

func (t *trial) drainStored(size int) error {
	endpoints, err := newEndpointServers(pathEndpoints)
	if err != nil {
		return err
	}
	defer endpoints.close()
	folder, err := os.MkdirTemp(t.Folder, "store")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	written, live, err := t.fillStore(folder, stored{messages: size, destinations: drainDestinations, first: 1})
	if err != nil {
		return err
	}
	began := time.Now()
	p, err := t.start(&configuration{destinations: drainDestinations, endpoints: endpoints.addresses, queueCapacity: drainQueueCapacity, disk: pathDisk, descriptors: 4 * defaultDescriptors,
		settings: backlogSection(folder, size, drainWindow)})
	if err != nil {
		return err
	}
	defer p.kill()
	ready := time.Now()
	cpu, err := processorTimeOf(p.pid())
	if err != nil {
		return err
	}
	before := endpoints.calls.Load()
	for endpoints.calls.Load() < int64(size) {
		if time.Since(ready) > drainTimeout {
			return fmt.Errorf("%d of %d messages have drained in %s", endpoints.calls.Load(), size, drainTimeout)
		}
		if err := t.pause(pollInterval); err != nil {
			return fmt.Errorf("%d of %d messages have drained: %w", endpoints.calls.Load(), size, err)
		}
	}
	took := time.Since(ready).Seconds()
	drained := float64(int64(size) - before)
	after, err := processorTimeOf(p.pid())
	if err != nil {
		return err
	}
	if err := t.pause(settlingTime); err != nil {
		return err
	}
	onDisk, err := diskWritten(p.pid())
	if err != nil {
		return err
	}
	t.reportProgress("%d messages drained; the forwarder was ready %s after its start", size, ready.Sub(began).Round(time.Millisecond))
	t.record(drainRate, float64(size), drained/took)
	t.record(drainCPU, float64(size), (after-cpu)/drained)
	t.record(fillWritten, float64(size), float64(written)/float64(live))
	t.record(drainWritten, float64(size), float64(onDisk)/float64(live))
	return nil
}

// diskWritten returns the bytes that a process has caused to be written to disk, in whole pages.
func diskWritten(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), "\nwrite_bytes: ")
	if !ok {
		return 0, fmt.Errorf("io of process %d has no write_bytes", pid)
	}
	var written int64
	_, err = fmt.Sscan(rest, &written)
	return written, err
}

// measureBacklogExpiry measures whether stored messages that all expire within one second are answered in time, and how
// fast fresh messages are answered meanwhile.
func measureBacklogExpiry(t *trial) error {
	return t.sweep("expiries", 1, constantTime, sizes(t.Largest), t.expireStored)
}

func (t *trial) expireStored(size int) error {
	endpoints, err := newEndpointServers(pathEndpoints)
	if err != nil {
		return err
	}
	defer endpoints.close()
	notices, err := newNotices()
	if err != nil {
		return err
	}
	defer notices.close()
	folder, err := os.MkdirTemp(t.Folder, "store")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	after := expiryAfter + time.Duration(size)*expiryAfterEach
	if t.quick {
		after = quickExpiryAfter
	}
	first := time.Now().Add(after)
	expiry := func(n int) time.Time { return first.Add(expirySpan * time.Duration(n) / time.Duration(size)) }
	content := stored{messages: size, destinations: downDestinations, first: pathEndpoints + 1, expiry: expiry}
	if _, _, err := t.fillStore(folder, content); err != nil {
		return err
	}
	p, err := t.start(&configuration{destinations: pathEndpoints, endpoints: endpoints.addresses, disk: pathDisk,
		settings: backlogSection(folder, size, downWindow) + downEndpoints(content.first, downDestinations) +
			fmt.Sprintf("[discovery]\nnotices = %q\n", notices.address)})
	if err != nil {
		return err
	}
	defer p.kill()
	if err := t.pause(time.Until(first.Add(-expiryLoadLead))); err != nil {
		return err
	}
	duration := time.Until(first) + expirySpan + expiryLoadTail
	w, err := t.loadFor(p, endpoints, expiryRate, pathBody, duration.Seconds())
	if err != nil {
		return err
	}
	if err := t.awaitNotices(notices, size); err != nil {
		return err
	}
	late, margin := notices.late(size, expiry)
	t.record(expiryLate, float64(size), float64(late))
	t.record(expiryMargin, float64(size), margin.Seconds())
	t.record(expiryFresh, float64(size), w.slowest)
	return nil
}

func (t *trial) awaitNotices(n *notices, count int) error {
	for deadline := time.Now().Add(noticesTimeout); n.count() < count; {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d messages were answered by notices", n.count(), count)
		}
		if err := t.pause(pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// notices is a server that receives the notices of final answers and records when the first one of each message
// arrived.
type notices struct {
	address   string
	server    *http.Server
	mu        sync.Mutex
	firstSeen map[string]time.Time // by message id
}

func newNotices() (*notices, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &notices{address: l.Addr().String(), firstSeen: map[string]time.Time{}}
	n.server = &http.Server{Handler: http.HandlerFunc(n.receive)}
	go n.server.Serve(l)
	return n, nil
}

func (n *notices) receive(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	in := json.NewDecoder(r.Body)
	for in.More() {
		var notice struct {
			ID string `json:"id"`
		}
		if err := in.Decode(&notice); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.mu.Lock()
		if _, known := n.firstSeen[notice.ID]; !known {
			n.firstSeen[notice.ID] = now
		}
		n.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *notices) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.firstSeen)
}

// late returns how many of the stored messages were answered after their expiry or not at all, and the shortest time
// from an answer to the message's expiry, which is negative if that answer was late.
func (n *notices) late(messages int, expiry func(n int) time.Time) (late int, margin time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range messages {
		firstSeen, ok := n.firstSeen[storedID(i)]
		if !ok {
			late++
			continue
		}
		left := expiry(i).Sub(firstSeen)
		if left < 0 {
			late++
		}
		if i == 0 || left < margin {
			margin = left
		}
	}
	return late, margin
}

func (n *notices) close() { n.server.Close() }
