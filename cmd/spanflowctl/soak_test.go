package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The soak starts forwarders and ends them by signals under load. The seed determines the number of forwarders, whether
// they have many idle clients, the outages, the changes of the endpoint list, and for each process which signals it
// gets and when. Clients use each connection until it ends. A process that is still running at the earliest time when
// the platform may kill it after SIGTERM is killed and fails the test. The test checks the history of all messages, the
// time that each start and end takes, and that descriptors and memory do not grow from process to process.
//
//	TEST_SOAK_SEEDS=50 go test ./cmd/spanflowctl -run Soak -timeout 60m     # seeds 1 to 50, four at a time
//	TEST_SOAK_FIRST=17 TEST_SOAK_SEEDS=1 go test ./cmd/spanflowctl -run Soak # one seed
const (
	soakSeedsVariable = "TEST_SOAK_SEEDS" // number of seeds; 4 by default
	soakFirstVariable = "TEST_SOAK_FIRST" // first seed; 1 by default

	soakEndpoints     = 3
	soakProcesses     = 6 // number of processes that each forwarder runs one after another
	soakIdleClients   = 150
	soakAnswerTimeout = 40 * time.Second // after the last signals, for the final answers of all pending messages
	soakFDMargin      = 64               // descriptors that a later process may use in addition to the first ones
	soakMemoryFactor  = 1.5              // maximum peak memory of a later process, as a multiple of the first ones
	soakMemoryKB      = 16 << 10         // added to that maximum
	soakKeyCooldown   = 200 * time.Millisecond
)

func TestSoakOfStartsEndsAndSignals(t *testing.T) {
	seeds, first := sizeFromEnvironment(t, soakSeedsVariable, 4), sizeFromEnvironment(t, soakFirstVariable, 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, uint64(seed)).run()
		})
	}
}

// soak is one run with one seed.
type soak struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	shared     *backlogHarness // the endpoints, the discovery service and the history
	forwarders []*soakForwarder
}

// soakForwarder is one forwarder, which runs as a series of processes.
type soakForwarder struct {
	*backlogHarness
	number int
	random *rand.Rand
	peaks  []usage // of processes that served clients for a while
}

// usage is the resource usage of a process.
type usage struct{ descriptors, memoryKB int }

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), shared: newBacklogHarness(t, soakEndpoints)}
	s.shared.history.keyCooldown = soakKeyCooldown
	for i, endpoint := range s.shared.endpoints {
		s.shared.discovery.Set(soakEntry(i, endpoint, "active"))
	}
	for number := range 1 + s.random.IntN(3) {
		s.forwarders = append(s.forwarders, s.newForwarder(number))
	}
	return s
}

func soakEntry(i int, endpoint *emulator.Endpoint, state string) emulator.Entry {
	return emulator.Entry{UID: fmt.Sprint("t", i), Endpoint: endpoint.Addr, Zone: "a", Destination: i + 1, State: state}
}

// newForwarder returns a forwarder with a new folder, which is kept if the run fails.
func (s *soak) newForwarder(number int) *soakForwarder {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-%d-", s.seed, number))
	require.NoError(s.t, err)
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.t.Logf("forwarder %d: folder %s", number, folder)
			return
		}
		_ = os.RemoveAll(folder)
	})
	h := &harness{t: s.t, folder: folder, configFile: filepath.Join(folder, "c.toml"),
		listen: emulator.FreeAddress(s.t), discovery: s.shared.discovery}
	cooldown := fmt.Sprintf("key_rest = %q", soakKeyCooldown)
	template := strings.NewReplacer("notices =", "address =", `key_rest = "10ms"`, cooldown).Replace(backlogTemplate)
	if s.random.IntN(2) == 0 {
		template += "[backlog]\nfolder = \"stored\"\ndisk = \"8MiB\"\nwindow = 4\nbehind = 40\n"
	}
	h.replaceConfig(fmt.Sprintf(template, h.discovery.Addr, h.listen))
	return &soakForwarder{
		backlogHarness: &backlogHarness{harness: h, endpoints: s.shared.endpoints, history: s.shared.history},
		number:         number,
		random:         rand.New(rand.NewPCG(s.seed, uint64(1+number))),
	}
}

// run runs the processes of all forwarders under load, and then waits until all messages have a final answer.
func (s *soak) run() {
	endLoad, endFaults := make(chan struct{}), make(chan struct{})
	var load, faults, processes sync.WaitGroup
	for _, f := range s.forwarders {
		for destination := 1; destination <= soakEndpoints; destination++ {
			load.Go(func() { f.submitAll(destination, endLoad) })
		}
		if s.random.IntN(3) == 0 {
			load.Go(func() { f.holdIdleConnections(endLoad) })
		}
	}
	faults.Go(func() { s.shared.runOutages(rand.New(rand.NewPCG(s.seed, 100)), endFaults) })
	faults.Go(func() { s.changeEndpointList(rand.New(rand.NewPCG(s.seed, 101)), endFaults) })
	problems := make(chan string, len(s.forwarders)*soakProcesses)
	for _, f := range s.forwarders {
		processes.Go(func() {
			for process := range soakProcesses {
				if problem := f.runProcess(process); problem != "" {
					problems <- fmt.Sprintf("forwarder %d, process %d: %s", f.number, process, problem)
					return
				}
			}
		})
	}
	processes.Wait()
	close(endLoad)
	load.Wait()
	close(endFaults)
	faults.Wait()
	close(problems)
	for problem := range problems {
		s.t.Errorf("seed %d: %s", s.seed, problem)
	}
	if !s.t.Failed() {
		s.finish()
	}
}

// finish makes all endpoints deliver, starts each forwarder once more and checks the history.
func (s *soak) finish() {
	s.shared.setReplies(s.shared.history.deliver)
	for i, endpoint := range s.shared.endpoints {
		s.shared.discovery.Set(soakEntry(i, endpoint, "active"))
	}
	for _, f := range s.forwarders {
		f.start()
		f.peaks = append(f.peaks, f.usage())
		f.requireNoGrowth()
	}
	s.forwarders[0].awaitAnswers(soakAnswerTimeout)
	s.shared.history.requireInTime(s.t)
	for _, f := range s.forwarders {
		require.Less(s.t, f.terminate(), terminationBound)
	}
	accepted, runs, notices := s.shared.history.count()
	s.t.Logf("seed %d: %d forwarders, %d processes, %d messages, %d runs, %d notices",
		s.seed, len(s.forwarders), len(s.forwarders)*(soakProcesses+1), accepted, runs, notices)
}

// changeEndpointList marks endpoints in the list as leaving or active at random until end is closed.
func (s *soak) changeEndpointList(random *rand.Rand, end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(300+random.IntN(900)) * time.Millisecond):
		}
		i := random.IntN(soakEndpoints)
		state := [...]string{"active", "active", "leaving"}[random.IntN(3)]
		s.shared.discovery.Set(soakEntry(i, s.shared.endpoints[i], state))
	}
}

// submitAll submits messages for a destination, with keys that no other forwarder gets, until end is closed.
func (f *soakForwarder) submitAll(destination int, end <-chan struct{}) {
	client := &loadClient{h: f.backlogHarness, end: end}
	defer client.disconnect()
	for round := 0; ; round++ {
		for _, s := range loadRound(destination, round) {
			s.number += f.number * numbersPerForwarder
			if s.key != 0 {
				s.key += f.number * 100_000
			}
			s.timeToLive = 2 * time.Minute
			if !client.submit(s) {
				return
			}
		}
	}
}

// holdIdleConnections keeps connections of mostly idle clients open, and connects again when they end.
func (f *soakForwarder) holdIdleConnections(end <-chan struct{}) {
	conns := make([]*emulator.Client, soakIdleClients)
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}()
	for i := 0; ; i = (i + 1) % soakIdleClients {
		select {
		case <-end:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if conns[i] != nil {
			if _, err := conns[i].Send(emulator.Command("PING")); err == nil {
				continue
			}
			_ = conns[i].Close()
		}
		conns[i], _ = emulator.NewClient(f.listen)
	}
}

// delayedSignal is a signal and the time between the previous signal and this one.
type delayedSignal struct {
	signal syscall.Signal
	delay  time.Duration
}

// soakSignals holds the sequences of signals that a process may get. Each sequence ends the process.
var soakSignals = [][]syscall.Signal{
	{syscall.SIGKILL},
	{syscall.SIGTERM},
	{syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGKILL},
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGTERM},
	{syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGKILL},
	{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGHUP, syscall.SIGCONT, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT},
}

// drawSignals chooses a sequence of signals and the delays between them, which may be zero.
func (f *soakForwarder) drawSignals() (signals []delayedSignal) {
	for _, signal := range soakSignals[f.random.IntN(len(soakSignals))] {
		at := delayedSignal{signal: signal}
		if signal == syscall.SIGCONT || f.random.IntN(2) == 0 {
			at.delay = time.Duration(f.random.IntN(400)) * time.Millisecond
		}
		signals = append(signals, at)
	}
	return signals
}

// runProcess runs one process of the forwarder until its end and returns a description of the problem, if any.
func (f *soakForwarder) runProcess(process int) (problem string) {
	signals := f.drawSignals()
	f.launch()
	switch moment := f.random.IntN(5); {
	case moment == 0: // while it starts
		if !f.awaitFolder() {
			return "did not take ownership of its folder in time\n" + f.logTail()
		}
		signals[0].delay = time.Duration(f.random.IntN(5)) * time.Millisecond
	default:
		if !f.awaitReadiness() {
			return "not ready in time\n" + f.logTail()
		}
		if moment > 1 { // not right after startup
			time.Sleep(time.Duration(f.random.IntN(1200)) * time.Millisecond)
			f.peaks = append(f.peaks, f.usage())
		}
	}
	defer func() {
		f.history.recordProcessEnd(f.number)
		f.history.readDecisions(f.process.Log.String())
	}()
	return f.end(signals)
}

// awaitReadiness waits until clients are served and reports whether that happens in time.
func (f *soakForwarder) awaitReadiness() bool {
	for startedAt := time.Now(); !f.process.Log.Has(emulator.ReadyLine); time.Sleep(time.Millisecond) {
		select {
		case <-f.process.Ended():
			return false
		default:
		}
		if time.Since(startedAt) > readyBound {
			return false
		}
	}
	return true
}

// awaitFolder waits until the process owns its folder. At that point it handles signals and has not recovered yet. It
// returns false if that takes too long.
func (f *soakForwarder) awaitFolder() bool {
	for startedAt := time.Now(); time.Since(startedAt) < readyBound; time.Sleep(100 * time.Microsecond) {
		owner, _ := os.ReadFile(filepath.Join(f.folder, "state", "owner"))
		if strings.TrimSpace(string(owner)) == fmt.Sprint(f.process.Pid()) {
			return true
		}
	}
	return false
}

// end sends the signals and waits for the process to end. After SIGTERM, the process has to end within
// terminationBound, not counting the time for which it was suspended.
func (f *soakForwarder) end(signals []delayedSignal) (problem string) {
	var terminated time.Time
	stopped := time.Duration(0)
	for _, s := range signals {
		time.Sleep(s.delay)
		if s.signal == syscall.SIGTERM && terminated.IsZero() {
			terminated = time.Now()
		}
		if s.signal == syscall.SIGCONT {
			stopped += s.delay
		}
		_ = f.process.Signal(s.signal) // fails if the process has ended
	}
	if terminated.IsZero() {
		<-f.process.Ended()
		return ""
	}
	select {
	case <-f.process.Ended():
	case <-time.After(time.Until(terminated.Add(terminationBound + stopped))):
		f.kill()
		return fmt.Sprintf("not ended %v after SIGTERM; signals %v\n%s", terminationBound+stopped, signals, f.logTail())
	}
	if err := f.process.Wait(); err != nil {
		return fmt.Sprintf("%v after signals %v\n%s", err, signals, f.logTail())
	}
	return ""
}

func (f *soakForwarder) logTail() string {
	log := f.process.Log.String()
	return log[max(0, len(log)-logTailSize):]
}

// usage reads the resource usage of the process.
func (f *soakForwarder) usage() (u usage) {
	folder := fmt.Sprintf("/proc/%d/", f.process.Pid())
	descriptors, _ := os.ReadDir(folder + "fd")
	u.descriptors = len(descriptors)
	status, _ := os.ReadFile(folder + "status")
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	_, _ = fmt.Sscan(rest, &u.memoryKB)
	return u
}

// requireNoGrowth requires that the later half of the processes used no more resources than the first half, except for
// a margin for random variation.
func (f *soakForwarder) requireNoGrowth() {
	f.t.Helper()
	half := (len(f.peaks) + 1) / 2
	var first, later usage
	for i, u := range f.peaks {
		peak := &first
		if i >= half {
			peak = &later
		}
		peak.descriptors, peak.memoryKB = max(peak.descriptors, u.descriptors), max(peak.memoryKB, u.memoryKB)
	}
	maxDescriptors := first.descriptors + soakFDMargin + soakIdleClients
	require.LessOrEqual(f.t, later.descriptors, maxDescriptors, "descriptors; usage of the processes: %v", f.peaks)
	maxMemory := int(soakMemoryFactor*float64(first.memoryKB)) + soakMemoryKB
	require.LessOrEqual(f.t, later.memoryKB, maxMemory, "memory; usage of the processes: %v", f.peaks)
}
