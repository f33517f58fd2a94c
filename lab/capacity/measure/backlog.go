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
	outFresh      = quantity{"processor time of a fresh message beside full head windows", "destinations out", "s"}
	outRatio      = quantity{"processor time of a fresh message, as a multiple of that with none out", "destinations out", "times"}
	outIdle       = quantity{"processor time in a second without load", "destinations out", "s"}
	backlogReady  = quantity{"time to the forwarder's readiness", "messages stored", "s"}
	backlogMemory = quantity{"memory of the forwarder when ready", "messages stored", "bytes"}
	backlogDisk   = quantity{"bytes of the store on disk", "messages stored", "bytes"}
)

const (
	fleetForwarders     = 500
	outDestinations     = 10 // that the stored messages are for; the forwarder gets no connection to them
	outWindow           = 10 // messages of each that are in memory
	freshRate           = 1000
	freshRounds         = 7
	quickRounds         = 1
	mostOutDestinations = 5950 // destinations that are out at once at the size of docs/CAPACITY.md
	mostOutWindow       = 64
	mostOutStored       = 16 // messages of each destination beyond its head window
	largestOutQueue     = 600_000
	reloadPause         = 3 * time.Second // after which the head windows are looked at again
	windowsWithin       = time.Minute
	storedOnDisk        = 650     // bytes of the store's bound for each message, a quarter of it being for compaction
	leastStoreDisk      = 8 << 20 // bytes of the store's bound beside that
	walBytesEach        = 1500    // bytes of the write-ahead log's bound for each message of a head window
)

var (
	freshSizes = []int{0, 1000, 100_000, 1_000_000}
	readySizes = []int{10_000, 100_000, 1_000_000}
)

// measureBacklog measures what fresh messages cost beside those that are stored for destinations that are out.
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
	return t.freshBesideWindows([]int{0, min(mostOutDestinations, t.Largest)}, mostOutWindow)
}

// stored is what a store is filled with.
type stored struct {
	messages     int
	destinations int                   // that they are for in turn, numbered from first
	first        int                   // number of the first destination
	expiry       func(n int) time.Time // of the message with this number; nil: in a day

}

// storeDisk is the bound in bytes of a store with so many messages.
func storeDisk(messages int) int64 { return leastStoreDisk + storedOnDisk*int64(messages) }

// fillStore writes messages to a new store that no process has open. It returns the bytes that were written for them
// and the live ones among them.
func (t *trial) fillStore(folder string, what stored) (written, live int64, err error) {
	s, err := backlog.Open(backlog.OS{}, folder, backlog.Bounds{Bytes: storeDisk(what.messages)})
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	begin := s.Written()
	day := time.Now().Add(24 * time.Hour)
	for n := range what.messages {
		if n%1000 == 0 && t.ctx.Err() != nil {
			return 0, 0, t.ctx.Err()
		}
		m := &backlog.Message{
			Seq:        uint64(n + 1),
			Lane:       backlog.Lane{Destination: uint64(what.first + n%what.destinations)},
			Key:        uint64(n + 1),
			Type:       heldType,
			ID:         storedID(n),
			Body:       bytes.Repeat([]byte("x"), bodyBytes),
			AcceptedAt: time.Now().UnixMicro(),
			Expiry:     day.UnixMicro(),
		}
		if what.expiry != nil {
			m.Expiry = what.expiry(n).UnixMicro()
		}
		if err := s.Append(m); err != nil {
			return 0, 0, fmt.Errorf("message %d of %d: %w", n, what.messages, err)
		}
	}
	return s.Written() - begin, s.Bytes(), nil
}

func storedID(n int) string { return fmt.Sprintf("stored-%09d", n) }

// backlogSection is the part of a configuration that makes a forwarder use a store.
func backlogSection(folder string, messages, window int) string {
	return fmt.Sprintf("[backlog]\nfolder = %q\ndisk = \"%dB\"\nwindow = %d\nbehind = %d\n", folder, storeDisk(messages), window, max(1000, window))
}

// outTargets are the lines of destinations to which no connection comes up.
func outTargets(first, number int) string {
	var b strings.Builder
	for i := range number {
		fmt.Fprintf(&b, "[[targets]]\nuid = \"out%d\"\naddress = %q\ndest = %d\n", i, discardPort, first+i)
	}
	return b.String()
}

// loadedForwarder is a forwarder whose processor time is measured in turn with that of others.
type loadedForwarder struct {
	*process
	size  int
	each  []float64 // processor time of a fresh message in seconds, by round
	idle  float64   // processor time in a second without load
	files string    // folder of its store
}

func (l *loadedForwarder) end() {
	l.kill()
	os.RemoveAll(l.files)
}

// startStored starts a forwarder on a store with messages for destinations that are out, numbered after those
// of the endpoint servers.
func (t *trial) startStored(targets *endpointServers, size int, what stored, window, room int) (*loadedForwarder, error) {
	folder, err := os.MkdirTemp(t.Folder, "store")
	if err != nil {
		return nil, err
	}
	what.first = pathTargets + 1
	if _, _, err = t.fillStore(folder, what); err == nil {
		var p *process
		p, err = t.start(&configuration{destinations: pathTargets, targets: targets.addresses, queueCapacity: room, descriptors: 4 * defaultDescriptors,
			forwarders: fleetForwarders, // a destination that is out is tried by all of them together
			disk:       pathDisk + walBytesEach*int64(window*what.destinations),
			settings:   backlogSection(folder, what.messages, window) + outTargets(what.first, what.destinations)})
		if err == nil {
			return &loadedForwarder{process: p, size: size, files: folder}, nil
		}
	}
	os.RemoveAll(folder)
	return nil, err
}

// freshBesideStored measures fresh messages with several amounts stored, in turn.
func (t *trial) freshBesideStored(sizes []int) error {
	return t.alternate(sizes, backlogFresh, backlogRatio, func(targets *endpointServers, size int) (*loadedForwarder, error) {
		return t.startStored(targets, size, stored{messages: size, destinations: outDestinations}, outWindow, defaultQueueCapacity)
	})
}

// freshBesideWindows measures fresh messages with several numbers of destinations out, each with a full head window in
// memory and more in the store, in turn.
func (t *trial) freshBesideWindows(sizes []int, window int) error {
	return t.alternate(sizes, outFresh, outRatio, func(targets *endpointServers, size int) (*loadedForwarder, error) {
		what := stored{messages: size * (window + mostOutStored), destinations: max(size, 1)}
		l, err := t.startStored(targets, size, what, window, max(defaultQueueCapacity, largestOutQueue))
		if err != nil {
			return nil, err
		}
		if err = t.awaitWindows(l, size*mostOutStored); err == nil {
			err = t.idleTime(l)
		}
		if err != nil {
			l.end()
			return nil, err
		}
		if size > 0 { // a curve has no size of 0
			t.record(outIdle, float64(size), l.idle)
		}
		return l, nil
	})
}

// awaitWindows waits until no more than so many messages are in the store.
func (t *trial) awaitWindows(l *loadedForwarder, left int) error {
	for late := time.Now().Add(windowsWithin); ; {
		messages, err := storedIn(l.files)
		if err == nil && messages <= left {
			return nil
		}
		if time.Now().After(late) {
			return fmt.Errorf("%d messages are in the store and not %d: %w", messages, left, err)
		}
		if err := t.pause(settlingTime); err != nil {
			return err
		}
	}
}

// storedIn is how many messages a store has that another process has open.
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

// idleTime measures the processor time that a forwarder needs without load.
func (t *trial) idleTime(l *loadedForwarder) error {
	if err := t.pause(settlingTime); err != nil {
		return err
	}
	before, err := processorTimeOf(l.pid())
	if err != nil {
		return err
	}
	began, lasts := time.Now(), reloadPause
	if t.quick {
		lasts = settlingTime
	}
	if err := t.pause(lasts); err != nil {
		return err
	}
	after, err := processorTimeOf(l.pid())
	l.idle = (after - before) / time.Since(began).Seconds()
	return err
}

// alternate starts a forwarder for each size and loads them in turn, in rounds. It records the median of each and the
// median of its ratios to the first, whose size is 0.
func (t *trial) alternate(sizes []int, each, ratio quantity, start func(*endpointServers, int) (*loadedForwarder, error)) error {
	targets, err := newEndpointServers(pathTargets)
	if err != nil {
		return err
	}
	defer targets.close()
	var all []*loadedForwarder
	defer func() {
		for _, l := range all {
			l.end()
		}
	}()
	for _, size := range sizes {
		l, err := start(targets, size)
		if err != nil {
			return err
		}
		all = append(all, l)
	}
	rounds := freshRounds
	if t.quick {
		rounds = quickRounds
	}
	for round := range rounds + 1 { // the first warms up
		for i := range all {
			l := all[(i+round)%len(all)]
			w, err := t.load(l.process, targets, freshRate, pathBody)
			if err != nil {
				return fmt.Errorf("with %d: %w", l.size, err)
			}
			if round > 0 {
				l.each = append(l.each, (w.cpu-l.idle*w.seconds)/w.delivered)
			}
		}
	}
	for _, l := range all[1:] { // a curve has no size of 0: that one is in the ratios
		t.record(each, float64(l.size), median(l.each))
		t.record(ratio, float64(l.size), median(ratios(l.each, all[0].each)))
	}
	return nil
}

func ratios(of, to []float64) []float64 {
	var all []float64
	for i := range of {
		all = append(all, of[i]/to[i])
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

// measureBacklogRestart measures a start by what is stored.
func measureBacklogRestart(t *trial) error {
	var sizes []int
	for _, size := range append(slices.Clone(readySizes), t.Largest) {
		if size <= t.Largest && !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
	}
	return t.sweep("starts", 1, linearly, sizes, t.restartStored)
}

func (t *trial) restartStored(size int) error {
	folder, err := os.MkdirTemp(t.Folder, "store")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	_, live, err := t.fillStore(folder, stored{messages: size, destinations: outDestinations, first: 2})
	if err != nil {
		return err
	}
	c := &configuration{destinations: 1, settings: backlogSection(folder, size, outWindow) + outTargets(2, outDestinations)}
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
