package measure

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"spanflow/internal/backlog"
)

var (
	backlogFresh  = quantity{"processor time of a fresh message beside stored ones", "messages stored", "s"}
	backlogRatio  = quantity{"processor time of a fresh message, as a multiple of that with none stored", "messages stored", "times"}
	downFresh     = quantity{"processor time of a fresh message beside full head windows", "destinations out", "s"}
	downRatio     = quantity{"processor time of a fresh message, as a multiple of that with none out", "destinations out", "times"}
	downIdle      = quantity{"processor time in a second without load", "destinations out", "s"}
	backlogReady  = quantity{"time to the forwarder's readiness", "messages stored", "s"}
	backlogMemory = quantity{"memory of the forwarder when ready", "messages stored", "bytes"}
	backlogDisk   = quantity{"bytes of the store on disk", "messages stored", "bytes"}
)

const (
	fleetForwarders     = 500
	downDestinations    = 10 // destinations of the stored messages, to which no connection can be established
	downWindow          = 10 // messages of each destination that are kept in memory
	freshRate           = 1000
	freshRounds         = 7
	quickRounds         = 1
	maxDownDestinations = 5950 // destinations that are down at the same time at the size of docs/CAPACITY.md
	maxDownWindow       = 64
	storedBeyondWindow  = 16 // messages of each destination in the store beyond its head window
	downQueueCapacity   = 600_000
	idleDuration        = 3 * time.Second // time without load; long enough for another check of the head windows
	windowsTimeout      = time.Minute
	storeBytesEach      = 650     // bytes of the store's limit for each message, a quarter of which is for compaction
	minStoreDisk        = 8 << 20 // bytes added to the store's limit, regardless of the number of messages
	walBytesEach        = 1500    // bytes of the write-ahead log's limit for each message of a head window
)

var (
	freshSizes = []int{0, 1000, 100_000, 1_000_000}
	readySizes = []int{10_000, 100_000, 1_000_000}
)

// measureBacklog measures the cost of fresh messages beside messages that are stored for destinations that are down.
func measureBacklog(t *trial) error {
	var sizes []int
	for _, size := range freshSizes {
		if size <= t.Largest {
			sizes = append(sizes, size)
		}
	}
	if err := t.freshBesideStored(sizes); err != nil {
		return err
	}
	return t.freshBesideWindows([]int{0, min(maxDownDestinations, t.Largest)}, maxDownWindow)
}

// stored describes the messages that a store is filled with.
type stored struct {
	messages     int
	destinations int                   // number of destinations, to which the messages go in turn
	first        int                   // number of the first destination
	expiry       func(n int) time.Time // expiry of message n; nil means in a day

}

// storeLimit returns a limit in bytes that is large enough for a store with the given number of messages.
func storeLimit(messages int) int64 { return minStoreDisk + storeBytesEach*int64(messages) }

// fillStore writes messages to a new store and closes it. It returns the bytes written for the messages and the store's
// live bytes.
func (t *trial) fillStore(folder string, content stored) (written, live int64, err error) {
	s, err := backlog.Open(backlog.OS{}, folder, backlog.Bounds{Bytes: storeLimit(content.messages)})
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	before := s.Written()
	day := time.Now().Add(24 * time.Hour)
	for n := range content.messages {
		if n%1000 == 0 && t.ctx.Err() != nil {
			return 0, 0, t.ctx.Err()
		}
		m := &backlog.Message{
			Seq:        uint64(n + 1),
			Lane:       backlog.Lane{Destination: uint64(content.first + n%content.destinations)},
			Key:        uint64(n + 1),
			Type:       heldType,
			ID:         storedID(n),
			Body:       bytes.Repeat([]byte("x"), bodyBytes),
			AcceptedAt: time.Now().UnixMicro(),
			Expiry:     day.UnixMicro(),
		}
		if content.expiry != nil {
			m.Expiry = content.expiry(n).UnixMicro()
		}
		if err := s.Append(m); err != nil {
			return 0, 0, fmt.Errorf("message %d of %d: %w", n, content.messages, err)
		}
	}
	return s.Written() - before, s.Bytes(), nil
}

func storedID(n int) string { return fmt.Sprintf("stored-%09d", n) }

// backlogSection returns the section of a configuration that makes a forwarder use a store.
func backlogSection(folder string, messages, window int) string {
	return fmt.Sprintf("[backlog]\nfolder = %q\ndisk = \"%dB\"\nwindow = %d\nbehind = %d\n", folder, storeLimit(messages), window, max(1000, window))
}

// downEndpoints returns the lines of a configuration for destinations to which no connection can be established.
func downEndpoints(first, number int) string {
	var b strings.Builder
	for i := range number {
		fmt.Fprintf(&b, "[[targets]]\nuid = \"out%d\"\naddress = %q\ndest = %d\n", i, discardPort, first+i)
	}
	return b.String()
}

// loadedForwarder is one of several forwarders whose processor time is measured in turn.
type loadedForwarder struct {
	*process
	size       int
	perMessage []float64 // processor time of a fresh message in seconds, for each round
	idle       float64   // seconds of processor time in a second without load
	files      string    // folder of the store
}

func (l *loadedForwarder) end() {
	l.kill()
	os.RemoveAll(l.files)
}

// startStored starts a forwarder with a store of messages for destinations that are down. These are numbered after the
// destinations of the endpoint servers.
func (t *trial) startStored(endpoints *endpointServers, size int, content stored, window, queueCapacity int) (*loadedForwarder, error) {
	folder, err := os.MkdirTemp(t.Folder, "store")
	if err != nil {
		return nil, err
	}
	content.first = pathEndpoints + 1
	if _, _, err = t.fillStore(folder, content); err == nil {
		var p *process
		p, err = t.start(&configuration{destinations: pathEndpoints, endpoints: endpoints.addresses, queueCapacity: queueCapacity, descriptors: 4 * defaultDescriptors,
			forwarders: fleetForwarders, // the forwarders of a fleet share the calls to a destination that is down
			disk:       pathDisk + walBytesEach*int64(window*content.destinations),
			settings:   backlogSection(folder, content.messages, window) + downEndpoints(content.first, content.destinations)})
		if err == nil {
			return &loadedForwarder{process: p, size: size, files: folder}, nil
		}
	}
	os.RemoveAll(folder)
	return nil, err
}

// freshBesideStored measures fresh messages beside several numbers of stored messages.
func (t *trial) freshBesideStored(sizes []int) error {
	return t.alternate(sizes, backlogFresh, backlogRatio, func(endpoints *endpointServers, size int) (*loadedForwarder, error) {
		return t.startStored(endpoints, size, stored{messages: size, destinations: downDestinations}, downWindow, defaultQueueCapacity)
	})
}

// freshBesideWindows measures fresh messages beside several numbers of destinations that are down, each with a full
// head window in memory and more messages in the store.
func (t *trial) freshBesideWindows(sizes []int, window int) error {
	return t.alternate(sizes, downFresh, downRatio, func(endpoints *endpointServers, size int) (*loadedForwarder, error) {
		content := stored{messages: size * (window + storedBeyondWindow), destinations: max(size, 1)}
		l, err := t.startStored(endpoints, size, content, window, max(defaultQueueCapacity, downQueueCapacity))
		if err != nil {
			return nil, err
		}
		if err = t.awaitWindows(l, size*storedBeyondWindow); err == nil {
			err = t.idleTime(l)
		}
		if err != nil {
			l.end()
			return nil, err
		}
		if size > 0 { // a curve has no size 0
			t.record(downIdle, float64(size), l.idle)
		}
		return l, nil
	})
}

// awaitWindows waits until the head windows are full, which means that at most left messages remain in the store.
func (t *trial) awaitWindows(l *loadedForwarder, left int) error {
	for deadline := time.Now().Add(windowsTimeout); ; {
		messages, err := storedIn(l.files)
		if err == nil && messages <= left {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d messages are left in the store, want at most %d: %w", messages, left, err)
		}
		if err := t.pause(settlingTime); err != nil {
			return err
		}
	}
}

// storedIn returns the number of messages in a store that another process has open.
func storedIn(folder string) (int, error) {
	view, err := backlog.Inspect(backlog.OS{}, folder)
	if err != nil {
		return 0, err
	}
	defer view.Close()
	stats, err := view.Stats()
	if err != nil {
		return 0, err
	}
	return stats.Messages, nil
}

// idleTime measures the processor time that a forwarder takes per second without load.
func (t *trial) idleTime(l *loadedForwarder) error {
	if err := t.pause(settlingTime); err != nil {
		return err
	}
	before, err := processorTimeOf(l.pid())
	if err != nil {
		return err
	}
	began, duration := time.Now(), idleDuration
	if t.quick {
		duration = settlingTime
	}
	if err := t.pause(duration); err != nil {
		return err
	}
	after, err := processorTimeOf(l.pid())
	l.idle = (after - before) / time.Since(began).Seconds()
	return err
}

// alternate starts a forwarder for each size and loads them in turn, for several rounds. The first size is 0, for
// comparison. It records the median for each other size, and the median of its ratios to the first one.
func (t *trial) alternate(sizes []int, perMessage, ratio quantity, start func(*endpointServers, int) (*loadedForwarder, error)) error {
	endpoints, err := newEndpointServers(pathEndpoints)
	if err != nil {
		return err
	}
	defer endpoints.close()
	var all []*loadedForwarder
	defer func() {
		for _, l := range all {
			l.end()
		}
	}()
	for _, size := range sizes {
		l, err := start(endpoints, size)
		if err != nil {
			return err
		}
		all = append(all, l)
	}
	rounds := freshRounds
	if t.quick {
		rounds = quickRounds
	}
	for round := range rounds + 1 { // the first round is a warm-up
		for i := range all {
			l := all[(i+round)%len(all)]
			w, err := t.load(l.process, endpoints, freshRate, pathBody)
			if err != nil {
				return fmt.Errorf("size %d: %w", l.size, err)
			}
			if round > 0 {
				l.perMessage = append(l.perMessage, (w.cpu-l.idle*w.seconds)/w.delivered)
			}
		}
	}
	for _, l := range all[1:] { // a curve has no size 0; the ratios are relative to it
		t.record(perMessage, float64(l.size), median(l.perMessage))
		t.record(ratio, float64(l.size), median(ratios(l.perMessage, all[0].perMessage)))
	}
	return nil
}

func ratios(values, bases []float64) []float64 {
	var all []float64
	for i := range values {
		all = append(all, values[i]/bases[i])
	}
	return all
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if n := len(sorted); n%2 == 0 {
		return (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return sorted[len(sorted)/2]
}

// measureBacklogRestart measures starts with several numbers of stored messages.
func measureBacklogRestart(t *trial) error {
	var sizes []int
	for _, size := range append(slices.Clone(readySizes), t.Largest) {
		if size <= t.Largest && !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
	}
	return t.sweep("starts", 1, linearTime, sizes, t.restartStored)
}

func (t *trial) restartStored(size int) error {
	folder, err := os.MkdirTemp(t.Folder, "store")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	_, live, err := t.fillStore(folder, stored{messages: size, destinations: downDestinations, first: 2})
	if err != nil {
		return err
	}
	c := &configuration{destinations: 1, settings: backlogSection(folder, size, downWindow) + downEndpoints(2, downDestinations)}
	var memory []float64
	took, err := t.bestOf(func() (float64, error) {
		p, err := t.start(c)
		if err != nil {
			return 0, err
		}
		defer p.kill()
		resident, err := t.memoryOf(p)
		memory = append(memory, float64(resident))
		return p.readyAfter.Seconds(), err
	})
	if err != nil {
		return err
	}
	t.record(backlogReady, float64(size), took)
	t.record(backlogMemory, float64(size), median(memory))
	t.record(backlogDisk, float64(size), float64(live))
	return nil
}
