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
	drainRate     = quantity{"messages a second that drain with one core", "messages stored", "messages a second"}
	drainCPU      = quantity{"processor time of a message that drains", "messages stored", "s"}
	drainWritten  = quantity{"bytes written for a message, from the store to its end, by byte of its record", "messages stored", "times"}
	fillWritten   = quantity{"bytes written to store a message, by byte of its record", "messages stored", "times"}
	expiredLate   = quantity{"messages answered after their time, of those that expire in one second", "messages stored", "messages"}
	expiredMargin = quantity{"least time left at an answer", "messages stored", "s"}
	expiredFresh  = quantity{"slowest answer to a fresh message meanwhile", "messages stored", "s"}
)

const (
	drainDestinations  = 8
	drainWindow        = 64
	drainQueueCapacity = 60_000
	drainWithin        = 3 * time.Minute
	expiryRate         = 200              // fresh messages a second meanwhile
	expiryAfter        = 10 * time.Second // from the filling of the store to the first expiry; more for many messages
	expiryAfterEach    = 50 * time.Microsecond
	expiryLoadLead     = 4 * time.Second // before the first expiry
	expiryLoadTail     = time.Second     // after the last
	expiryWithin       = time.Second     // in which all expire
	noticesWithin      = 10 * time.Second
	quickExpiryAfter   = 5 * time.Second
)

// measureBacklogDrain measures how fast stored messages go out to endpoints that answer at once.
func measureBacklogDrain(t *trial) error {
	return t.sweep("drains", 1, linearly, sizes(t.Largest), t.drainStored)
}

func (t *trial) drainStored(size int) error {
	targets, err := newEndpointServers(pathTargets)
	if err != nil {
		return err
	}
	defer targets.close()
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
	p, err := t.start(&configuration{destinations: drainDestinations, targets: targets.addresses, queueCapacity: drainQueueCapacity, disk: pathDisk, descriptors: 4 * defaultDescriptors,
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
	before := targets.calls.Load()
	for targets.calls.Load() < int64(size) {
		if time.Since(ready) > drainWithin {
			return fmt.Errorf("%d of %d messages have drained in %s", targets.calls.Load(), size, drainWithin)
		}
		if err := t.pause(pollInterval); err != nil {
			return fmt.Errorf("%d of %d messages have drained: %w", targets.calls.Load(), size, err)
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
	t.say("%d drained, ready %s after the start", size, ready.Sub(began).Round(time.Millisecond))
	t.record(drainRate, float64(size), drained/took)
	t.record(drainCPU, float64(size), (after-cpu)/drained)
	t.record(fillWritten, float64(size), float64(written)/float64(live))
	t.record(drainWritten, float64(size), float64(onDisk)/float64(live))
	return nil
}

// diskWritten is how many bytes a process has caused to be written to disk, in whole pages.
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

// measureBacklogExpiry measures what becomes of stored messages that all expire in one second.
func measureBacklogExpiry(t *trial) error {
	return t.sweep("expiries", 1, equally, sizes(t.Largest), t.expireStored)
}

func (t *trial) expireStored(size int) error {
	targets, err := newEndpointServers(pathTargets)
	if err != nil {
		return err
	}
	defer targets.close()
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
	expiry := func(n int) time.Time { return first.Add(expiryWithin * time.Duration(n) / time.Duration(size)) }
	what := stored{messages: size, destinations: outDestinations, first: pathTargets + 1, expiry: expiry}
	if _, _, err := t.fillStore(folder, what); err != nil {
		return err
	}
	p, err := t.start(&configuration{destinations: pathTargets, targets: targets.addresses, disk: pathDisk,
		settings: backlogSection(folder, size, outWindow) + outTargets(what.first, outDestinations) +
			fmt.Sprintf("[discovery]\nnotices = %q\n", notices.address)})
	if err != nil {
		return err
	}
	defer p.kill()
	if err := t.pause(time.Until(first.Add(-expiryLoadLead))); err != nil {
		return err
	}
	lasts := time.Until(first) + expiryWithin + expiryLoadTail
	w, err := t.loadFor(p, targets, expiryRate, pathBody, lasts.Seconds())
	if err != nil {
		return err
	}
	if err := t.awaitNotices(notices, size); err != nil {
		return err
	}
	late, margin := notices.late(size, expiry)
	t.record(expiredLate, float64(size), float64(late))
	t.record(expiredMargin, float64(size), margin.Seconds())
	t.record(expiredFresh, float64(size), w.slowest)
	return nil
}

func (t *trial) awaitNotices(n *notices, count int) error {
	for late := time.Now().Add(noticesWithin); n.count() < count; {
		if time.Now().After(late) {
			return fmt.Errorf("%d of %d messages were answered", n.count(), count)
		}
		if err := t.pause(pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// notices takes final answers and keeps when each came first.
type notices struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	came    map[string]time.Time // by message id
}

func newNotices() (*notices, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &notices{address: l.Addr().String(), came: map[string]time.Time{}}
	n.server = &http.Server{Handler: http.HandlerFunc(n.take)}
	go n.server.Serve(l)
	return n, nil
}

func (n *notices) take(w http.ResponseWriter, r *http.Request) {
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
		if _, known := n.came[notice.ID]; !known {
			n.came[notice.ID] = now
		}
		n.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *notices) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.came)
}

// late is how many of the stored messages were answered after their time or not at all, and the least time that was
// left at an answer.
func (n *notices) late(messages int, expiry func(n int) time.Time) (late int, margin time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range messages {
		came, ok := n.came[storedID(i)]
		if !ok {
			late++
			continue
		}
		left := expiry(i).Sub(came)
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
