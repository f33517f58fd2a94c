package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The soak of late connections is that of hostile clients with endpoints to which connections come up late, or whose bytes
// are read late, with joined calls, and with messages of little time (report 32b2ab). Endpoints leave calls unanswered, break
// them, answer them late and tell waits; an answer counts for no message of its call if one of them is over (report 8af0d7); the list marks one as leaving; clients leave at once; a process is suspended for a moment, or gets a
// series of signals, SIGKILL at the earliest time. In a third of the runs there is a crowd. The test checks that nothing is
// sent on behind its notice, against a told wait, to an endpoint that drains, twice, or out of the order of its key, that
// nothing is handed back that may have run, and that each accepted message ends.
//
//	TEST_SOAK_SEEDS=50 go test ./cmd/spanflow -run SoakOfLateConnections -timeout 60m
const (
	lateSoakDuration    = 12 * time.Second
	lateSoakLongestHold = 1200 * time.Millisecond // connections come up one second after they were asked for, or three
	lateSoakHoldPause   = 3 * time.Second
	lateSoakSignalPause = 3 * time.Second
	lateSoakSuspension  = 400 * time.Millisecond
	lateSoakShortLife   = 150 * time.Millisecond // least time of a message
	lateSoakLongLife    = 3 * time.Second
	lateSoakCapacity    = 600 // of the queue
	lateSoakBurst       = 12  // messages that are submitted at once
	lateSoakBurstPause  = 400 * time.Millisecond
	lateSoakCrowdSeeds  = 3 // one run in so many has a crowd
	lateSoakLateAnswers = 8 // of twelve calls, in the soak of late answers
)

func TestSoakOfLateConnections(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		t.Parallel()
		newLateConnectionSoak(t, seed).run()
	})
}

// The soak of late answers is that of late connections with endpoints to which connections come up at once, and which answer
// most calls late, often once one of their messages is over (report 8af0d7).
//
//	TEST_SOAK_SEEDS=50 go test ./cmd/spanflow -run SoakOfLateAnswers -timeout 60m
func TestSoakOfLateAnswers(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		t.Parallel()
		s := newLateConnectionSoak(t, seed)
		s.checker.lateAnswers = lateSoakLateAnswers
		s.connectsAtOnce = true
		s.run()
	})
}

// lateConnectionSoak is one run of the soak with one seed.
type lateConnectionSoak struct {
	*hostileSoak
	seed           uint64
	connectsAtOnce bool
	bursts         int // so far; guarded by mu
}

func newLateConnectionSoak(t *testing.T, seed uint64) *lateConnectionSoak {
	s := &lateConnectionSoak{hostileSoak: newHostileSoak(t, seed, "several"), seed: seed}
	s.random = rand.New(rand.NewPCG(seed, 6))
	s.checker.random = rand.New(rand.NewPCG(seed, 7))
	s.checker.tellsLongWaits = true
	s.checker.lateAnswers = 2
	s.queueCapacity = lateSoakCapacity
	return s
}

// run sends signals while connections come up late, and then waits until all accepted messages have a final answer.
func (s *lateConnectionSoak) run() {
	s.startNext()
	end := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { s.submitAll(end) })
	for n := range 2 {
		random := rand.New(rand.NewPCG(s.seed, uint64(10+n)))
		background.Go(func() { s.submitBursts(random, end) })
	}
	background.Go(func() { s.departAll(end) })
	for n, endpoint := range []*emulator.Endpoint{s.endpoint, s.drained} {
		if s.connectsAtOnce {
			continue
		}
		random := rand.New(rand.NewPCG(s.seed, uint64(20+n)))
		background.Go(func() { holdConnections(endpoint, random, end) })
	}
	listRandom := rand.New(rand.NewPCG(s.seed, 30))
	background.Go(func() { s.changeEndpointList(listRandom, end) })
	var crowd *crowdProcess
	if s.seed%lateSoakCrowdSeeds == 0 {
		crowd = s.startRandomCrowd()
	}
	for began := time.Now(); time.Since(began) < lateSoakDuration && !s.t.Failed(); {
		s.pause(lateSoakSignalPause)
		s.disturb()
	}
	if crowd != nil {
		crowd.end()
	}
	close(end)
	background.Wait()
	s.requireAllEnded()
}

// disturb suspends the process for a moment or sends it a series of signals.
func (s *lateConnectionSoak) disturb() {
	s.checker.setRestarting(true)
	defer s.checker.setRestarting(false)
	if s.random.IntN(2) == 0 {
		s.signal(s.current, syscall.SIGSTOP)
		s.pause(lateSoakSuspension)
		s.signal(s.current, syscall.SIGCONT)
	} else {
		s.signalSeries()
	}
}

// requireAllEnded waits until all accepted messages have a final answer, and requires that no rule was broken.
func (s *lateConnectionSoak) requireAllEnded() {
	s.endpointAnswersAll()
	ended := func() bool { return s.checker.allEnded(s.accepted) }
	require.Eventually(s.t, ended, soakAnswerTimeout, 10*time.Millisecond)
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.t.Logf("upgrades %v: %d messages, %d notices, %d answers that did not count", s.upgrades, len(s.accepted),
		len(s.checker.notices), s.checker.void)
	require.Empty(s.t, s.checker.violations)
	require.Empty(s.t, s.unanswered, "submissions without an answer")
}

// holdConnections holds connections to an endpoint back from time to time until end is closed.
func holdConnections(endpoint *emulator.Endpoint, random *rand.Rand, end <-chan struct{}) {
	for !stopped(end) {
		pause(time.Duration(random.Int64N(int64(lateSoakHoldPause))), end)
		release := endpoint.HoldConnections()
		pause(time.Duration(random.Int64N(int64(lateSoakLongestHold))), end)
		release()
	}
}

// submitBursts submits several messages at once, with little time each, over connections that it uses until they end.
func (s *lateConnectionSoak) submitBursts(random *rand.Rand, end <-chan struct{}) {
	var client *emulator.Client
	for !stopped(end) {
		pause(time.Duration(random.Int64N(int64(lateSoakBurstPause))), end)
		if client == nil {
			var err error
			if client, err = emulator.NewClient(s.listen); err != nil {
				client = nil
				continue
			}
		}
		if s.submitBurst(client, random) != nil {
			_ = client.Close()
			client = nil
		}
	}
	if client != nil {
		_ = client.Close()
	}
}

// submitBurst submits some messages of all types in one write. It returns the error of the connection.
func (s *lateConnectionSoak) submitBurst(c *emulator.Client, random *rand.Rand) error {
	s.mu.Lock()
	s.bursts++
	burst := s.bursts
	s.mu.Unlock()
	var ids []string
	lives := map[string]time.Duration{}
	var commands strings.Builder
	for n := range 1 + random.IntN(lateSoakBurst) {
		life := lateSoakShortLife + time.Duration(random.Int64N(int64(lateSoakLongLife)))
		kind := random.IntN(3)
		id := fmt.Sprintf("%c-burst%d-%d", "psk"[kind], burst, n)
		options := fmt.Sprintf("c=%s,d=%d,dest=7", []string{"payment", "status", "ticket,k=" + id}[kind], life.Milliseconds())
		ids = append(ids, id)
		lives[id] = life
		commands.WriteString(emulator.Command("MSG.PUT", noKey, id, options, "body"))
	}
	if _, err := c.Write([]byte(commands.String())); err != nil {
		return err
	}
	for _, id := range ids {
		answer, err := c.ReadReply()
		if err != nil {
			return err
		}
		if answer == "+OK" {
			s.checker.setTimeUp(id, lives[id])
			s.mu.Lock()
			s.accepted = append(s.accepted, id)
			s.mu.Unlock()
		}
	}
	return nil
}
