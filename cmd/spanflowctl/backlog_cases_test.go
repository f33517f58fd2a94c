package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
	"spanflow/internal/emulator"
)

// The larger sizes of these tests are asked for by the environment.
const (
	killsVariable   = "TEST_KILLS"   // SIGKILLs at random, 20 if not told
	storedVariable  = "TEST_STORED"  // messages stored at a SIGTERM, 100,000 if not told
	backlogVariable = "TEST_BACKLOG" // messages stored for each destination that comes back, 50 if not told
)

func size(t *testing.T, variable string, usual int) int {
	text := os.Getenv(variable)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, variable)
	return n
}

// load hands messages in for one destination, of two tenants with keys of their own and of all types, over connections
// that are made again when the forwarder is killed, until it is told to end.
func (s *scene) load(destination int, end <-chan struct{}) {
	var c *emulator.Client
	for round := 0; ; round++ {
		for i, m := range []message{{typ: "status", key: 1}, {typ: "ticket", key: 2}, {typ: "status", key: 3}, {typ: "payment"}} {
			if i < 3 {
				m.key += 10 * destination
			}
			m.destination, m.tenant, m.number = destination, "red", round
			if round%2 == 1 {
				m.tenant, m.key = "green", m.key+1000*min(m.key, 1)
			}
			for answer := ""; answer != "+OK"; {
				select {
				case <-end:
					if c != nil {
						c.Close()
					}
					return
				case <-time.After(2 * time.Millisecond):
				}
				if c == nil {
					if c, _ = emulator.NewClient(s.listen); c == nil {
						continue
					}
				}
				var err error
				if answer, err = c.Send(m.command()); err != nil { // it may have been taken on: not handed in again
					c.Close()
					c = nil
					break
				}
				if answer == "+OK" {
					s.record.taken(m)
				}
			}
		}
	}
}

// outages has each destination go down and return at random, in different ways, until it is told to end.
func (s *scene) outages(dice *rand.Rand, end <-chan struct{}) {
	ways := []func(emulator.Call) emulator.Reply{
		func(emulator.Call) emulator.Reply {
			return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "0.1"}}
		},
		func(c emulator.Call) emulator.Reply { return s.record.fail(c, emulator.Reply{Status: 500}) },
		func(c emulator.Call) emulator.Reply { return s.record.fail(c, emulator.Reply{Break: true}) },
		s.record.deliver,
		s.record.deliver,
	}
	for {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(20+dice.IntN(100)) * time.Millisecond):
			s.targets[dice.IntN(len(s.targets))].Do(ways[dice.IntN(len(ways))])
		}
	}
}

func TestKilledAtRandomUnderLoadEachMessageHasOneAnswerAndKeysKeepTheirOrder(t *testing.T) {
	t.Parallel()
	kills := size(t, killsVariable, 20)
	const seed = 44
	s := newScene(t, 3).write("disk = \"8MiB\"\nwindow = 4\nbehind = 40")
	dice := rand.New(rand.NewPCG(seed, 0))
	endLoad, endOutages := make(chan struct{}), make(chan struct{})
	var loads, others sync.WaitGroup
	for destination := 1; destination <= len(s.targets); destination++ {
		loads.Go(func() { s.load(destination, endLoad) })
	}
	others.Go(func() { s.outages(rand.New(rand.NewPCG(seed, 1)), endOutages) })
	most, inBoth := 0, 0
	for range kills {
		s.start()
		if !s.log.Has(`"in_both":0,`) {
			inBoth++
		}
		time.Sleep(time.Duration(50+dice.IntN(250)) * time.Millisecond)
		s.kill()
		view, err := backlog.Inspect(backlog.OS{}, s.stored())
		require.NoError(t, err)
		stats, err := view.Stats()
		require.NoError(t, err)
		view.Close()
		most = max(most, stats.Messages)
	}
	close(endLoad)
	loads.Wait()
	close(endOutages)
	others.Wait()
	s.all(s.record.deliver)
	s.start()
	s.settled(2 * time.Minute)
	s.terminate()
	s.record.requireNoNotices(t, "status")
	taken, runs, notices := s.record.count()
	t.Logf("%d kills: %d taken, %d runs, %d notices, at most %d stored at a kill; %d starts found moves cut short",
		kills, taken, runs, notices, most, inBoth)
	require.Positive(t, most, "something was stored")
}

func TestKilledAgainAndAgainInADrainAllIsDeliveredInOrder(t *testing.T) {
	const count, keys, part = 1500, 30, 100
	t.Parallel()
	s := newScene(t, 1).write("disk = \"8MiB\"\nwindow = 8\nbehind = 16")
	s.all(refuse)
	s.start()
	s.putAll(several("status", 1, "", count, keys))
	s.kill()
	s.all(s.record.deliver)
	kills := 0
	for s.record.ended() < count {
		s.start()
		for from := s.record.ended(); s.record.ended() < min(from+part, count); time.Sleep(time.Millisecond) {
		}
		s.kill()
		kills++
	}
	s.start()
	s.settled(time.Minute)
	s.terminate()
	_, runs, _ := s.record.count()
	t.Logf("%d kills, %d messages, %d runs", kills, count, runs)
	require.Greater(t, kills, 5)
}

// several makes messages of so many keys.
func several(typ string, destination int, tenant string, count, keys int) (all []message) {
	for i := range count {
		all = append(all, message{typ: typ, destination: destination, tenant: tenant, key: 1000*destination + 1 + i%keys, number: i})
	}
	return all
}

// fill makes a store with so many messages, as an earlier process has left it.
func (s *scene) fill(count int, bytes int64) {
	s.t.Helper()
	store, err := backlog.Open(backlog.OS{}, s.stored(), backlog.Bounds{Bytes: bytes})
	require.NoError(s.t, err)
	now := time.Now()
	for i := range count {
		m := message{typ: "status", destination: 1 + i%len(s.targets), key: 1 + i%1000, number: i}
		require.NoError(s.t, store.Append(&backlog.Message{Seq: uint64(i + 1), Lane: backlog.Lane{Destination: uint64(m.destination),
			Tenant: 2}, Key: uint64(m.key), Type: m.typ, ID: m.id(), Body: bytes300, Taken: now.UnixMicro(), Expiry: now.Add(time.Hour).UnixMicro()}))
	}
	require.NoError(s.t, store.Close())
}

var bytes300 = bytes.Repeat([]byte("x"), 300)

func TestSIGTERMWithManyStoredEndsInTimeAndTheNextStartHasAll(t *testing.T) {
	const (
		endWithin   = 3700 * time.Millisecond // then the platform may kill it
		readyWithin = 10 * time.Second
	)
	t.Parallel()
	count := size(t, storedVariable, 100_000)
	disk := max(64, count/1_000_000*1024)
	s := newScene(t, 50).write(fmt.Sprintf("disk = \"%dMiB\"\nwindow = 4\nbehind = 8", disk))
	s.all(refuse)
	s.fill(count, int64(disk)<<20)
	for life := range 2 {
		begun := time.Now()
		s.start()
		ready := time.Since(begun)
		require.Less(t, ready, readyWithin)
		answer := s.put(s.client(), message{typ: "status", destination: 1, key: 5_000, number: life})
		require.Equal(t, "+OK", answer)
		ended := s.terminate()
		require.Less(t, ended, endWithin)
		require.Contains(t, s.log.String(), `"message":"end"`)
		t.Logf("%d stored: ready after %v, ended %v after SIGTERM", count, ready.Round(time.Millisecond), ended.Round(time.Millisecond))
	}
	require.Equal(t, count+2, s.inAll())
}

// inAll is how many messages the folders of a process that has ended owe together, each known once.
func (s *scene) inAll() int {
	s.t.Helper()
	ids := map[string]bool{}
	for _, kind := range []string{"ledger", "backlog"} {
		out, code := spanflow(kind, "list", "-c", s.file, "--json", "--limit", "0")
		require.Equal(s.t, 0, code, out)
		for line := range strings.Lines(out) {
			_, rest, found := strings.Cut(line, `"id":"`)
			require.True(s.t, found, line)
			id, _, _ := strings.Cut(rest, `"`)
			ids[id] = true
		}
	}
	return len(ids)
}

// limited is a destination that takes so many calls in a window of time and turns others away with a time to stay away.
type limited struct {
	mu     sync.Mutex
	s      *scene
	since  time.Time
	calls  int
	told   time.Time // when the latest wait was told
	until  time.Time // its end
	inside int       // calls that came within a Retry-After time
	waits  int
}

const (
	limitCalls  = 3
	limitWindow = 500 * time.Millisecond
	toldWait    = time.Second
	onTheWay    = toldWait / 2 // calls that were out when the wait was told have come by then
)

func (l *limited) serve(c emulator.Call) emulator.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.until) && now.After(l.told.Add(onTheWay)) {
		l.inside++
	}
	if now.Sub(l.since) > limitWindow {
		l.since, l.calls = now, 0
	}
	if l.calls++; l.calls > limitCalls {
		if now.After(l.until) {
			l.told, l.until = now, now.Add(toldWait)
			l.waits++
		}
		left := strconv.FormatFloat(l.until.Sub(now).Seconds(), 'f', 3, 64)
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": left}}
	}
	return l.s.record.deliver(c)
}

func TestManyDestinationsBackAtOnceKeepTheirLimitsAndHarmNoOthers(t *testing.T) {
	const destinations = 200
	t.Parallel()
	each := size(t, backlogVariable, 50)
	s := newScene(t, destinations+1).write(fmt.Sprintf("disk = \"%dMiB\"\nwindow = 4\nbehind = 8", max(64, each/2)))
	s.all(refuse)
	s.targets[destinations].Do(s.record.deliver)
	s.start()
	var all []message
	for destination := 1; destination <= destinations; destination++ {
		all = append(all, several("status", destination, "", each, 5)...)
	}
	s.putAll(all)
	out, code := spanflow("backlog", "stat", "-c", s.file)
	require.Equal(t, 0, code, out)
	limits := make([]*limited, destinations)
	for i := range limits {
		limits[i] = &limited{s: s}
		s.targets[i].Do(limits[i].serve)
	}
	// Traffic of the other destination goes on meanwhile: each message arrives before the next is handed in.
	c := s.client()
	before, fresh := s.record.ended(), 0
	for ; s.record.ended() < before+destinations*each/2 && fresh < 200; fresh++ {
		m := message{typ: "status", destination: destinations + 1, key: 9, number: fresh}
		require.Equal(t, "+OK", s.put(c, m))
		require.Eventually(t, func() bool { return s.record.delivered(m) }, 3*time.Second, time.Millisecond, "its agreed time")
	}
	require.Greater(t, fresh, 20)
	s.settled(2 * time.Minute)
	inside, waits := 0, 0
	for _, l := range limits {
		inside += l.inside
		waits += l.waits
	}
	t.Logf("%d stored, %d told waits, %d fresh ones for another destination meanwhile; %s", destinations*each, waits, fresh,
		strings.Join(strings.Fields(strings.Split(out, "\n")[0]), " "))
	require.Positive(t, waits)
	require.Zero(t, inside, "calls within a told wait")
	s.terminate()
}

func (r *record) delivered(m message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.course(m.id()).delivered > 0
}

const (
	segmentHeader = 32 // bytes of a segment before its first record
	tornBytes     = 37 // more than a record's header, less than the record
)

// bytesOf gives the content of all files of a folder, by name.
func bytesOf(t *testing.T, folder string) map[string]string {
	all := map[string]string{}
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(folder, e.Name()))
		require.NoError(t, err)
		if !strings.HasSuffix(e.Name(), ".lock") {
			all[e.Name()] = string(text)
		}
	}
	return all
}

func TestATornEndOfTheStoreIsPassedOverAndDamageWithinNamedInOneLine(t *testing.T) {
	const count, keys = 1500, 7
	t.Parallel()
	s := newScene(t, 1).write("disk = \"4MiB\"\nwindow = 8\nbehind = 16")
	s.all(refuse)
	s.start()
	messages := several("status", 1, "", count, keys)
	for i := range messages {
		messages[i].body = string(bytes300)
	}
	s.putAll(messages)
	s.kill()
	names, err := filepath.Glob(filepath.Join(s.stored(), "*.backlog"))
	require.NoError(t, err)
	require.Greater(t, len(names), 1)
	last := names[len(names)-1]

	sound, err := os.ReadFile(names[0])
	require.NoError(t, err)
	damaged := bytes.Clone(sound)
	damaged[len(damaged)/2] ^= 1
	require.NoError(t, os.WriteFile(names[0], damaged, 0o600))
	for _, missing := range []bool{false, true} {
		if missing && len(names) > 2 {
			require.NoError(t, os.WriteFile(names[0], sound, 0o600))
			require.NoError(t, os.Rename(names[1], filepath.Join(s.folder, "aside")))
		}
		before := bytesOf(t, s.stored())
		out, code := spanflow("run", "-c", s.file)
		require.Equal(t, 1, code, out)
		name := names[0]
		if missing && len(names) > 2 {
			name = names[1]
		}
		var says []string
		for line := range strings.Lines(out) {
			if strings.HasPrefix(line, "spanflow: ") {
				says = append(says, line)
			}
		}
		require.Len(t, says, 1, out)
		require.Contains(t, says[0], "spanflow: backlog: "+name)
		require.Equal(t, before, bytesOf(t, s.stored()), "nothing is altered")
	}
	if len(names) > 2 {
		require.NoError(t, os.Rename(filepath.Join(s.folder, "aside"), names[1]))
	}
	require.NoError(t, os.WriteFile(names[0], sound, 0o600))

	// A write that a kill has cut short: the beginning of a record.
	f, err := os.OpenFile(last, os.O_WRONLY|os.O_APPEND, 0)
	require.NoError(t, err)
	_, err = f.Write(sound[segmentHeader:][:tornBytes])
	require.NoError(t, err)
	require.NoError(t, f.Close())
	s.all(s.record.deliver)
	s.start()
	s.settled(time.Minute)
	s.terminate()
}

// full hands messages in until one is turned away, and gives how many were taken.
func (s *scene) full(c *emulator.Client, m message, most int) (taken int, answer string) {
	for ; taken < most; taken++ {
		m.number++
		if answer = s.put(c, m); answer != "+OK" {
			return taken, answer
		}
	}
	return taken, answer
}

func requireComeBack(t *testing.T, answer string) {
	t.Helper()
	word, wait, _ := strings.Cut(answer, " ")
	require.Equal(t, "-BUSY", word)
	ms, err := strconv.Atoi(wait)
	require.NoError(t, err)
	require.Positive(t, ms, "a time to come back")
}

func TestAFullStoreTurnsAwayWithATimeToComeBackAndLosesNothing(t *testing.T) {
	t.Parallel()
	s := newScene(t, 2).write("disk = \"2MiB\"\nwindow = 8\nbehind = 16")
	s.all(refuse)
	s.start()
	c := s.client()
	m := message{typ: "status", destination: 1, key: 1, number: -1, body: strings.Repeat("x", 4000)}
	taken, answer := s.full(c, m, 2000)
	requireComeBack(t, answer)
	require.Greater(t, taken, 100)
	m.number = taken
	for range 20 {
		requireComeBack(t, s.put(c, m))
	}
	s.kill() // and it is as full after
	s.start()
	c = s.client()
	requireComeBack(t, s.put(c, m))
	s.targets[1].Do(s.record.deliver)
	require.Equal(t, "+OK", s.put(c, message{typ: "status", destination: 2, key: 2}), "nothing is stored for this one")
	s.all(s.record.deliver)
	s.settled(time.Minute)
	require.Equal(t, "+OK", s.put(s.client(), m), "there is room again")
	s.settled(time.Minute)
	s.terminate()
}

func TestAReloadLowersAndRaisesTheBoundsOfAStoreInUse(t *testing.T) {
	t.Parallel()
	const wide, tight = "disk = \"8MiB\"\nwindow = 8\nbehind = 16", "disk = \"8MiB\"\ndestination = \"20kB\"\nwindow = 4\nbehind = 8"
	s := newScene(t, 2).write(wide)
	s.all(refuse)
	s.start()
	c := s.client()
	m := message{typ: "status", destination: 1, key: 1, number: -1, body: string(bytes300)}
	taken, answer := s.full(c, m, 400)
	require.Equal(t, []any{400, "+OK"}, []any{taken, answer})
	s.reload(tight)
	m.number = taken
	requireComeBack(t, s.put(c, m))
	require.Equal(t, "+OK", s.put(c, message{typ: "status", destination: 2, key: 2}), "the other destination has room")
	s.reload(wide)
	require.Equal(t, "+OK", s.put(c, m))
	s.reload("disk = \"2MiB\"\nwindow = 8\nbehind = 16")
	m.number++
	require.Equal(t, "+OK", s.put(c, m), "there is room below a lower bound")
	s.reload(tight)
	m.number++
	requireComeBack(t, s.put(c, m))
	s.all(s.record.deliver)
	s.settled(time.Minute)
	require.Equal(t, "+OK", s.put(s.client(), m), "there is room again")
	s.settled(time.Minute)
	s.terminate()
}

func TestAFloodOfOneTenantLeavesTheOthersPartOfTheStoreFree(t *testing.T) {
	t.Parallel()
	s := newScene(t, 2).write("disk = \"8MiB\"\ntenant = \"100kB\"\nwindow = 8\nbehind = 16")
	s.all(refuse)
	s.start()
	c := s.client()
	flood := message{typ: "status", destination: 1, tenant: "red", key: 1, number: -1, body: string(bytes300)}
	taken, answer := s.full(c, flood, 2000)
	requireComeBack(t, answer)
	require.Greater(t, taken, 100)
	flood.destination, flood.key = 2, 2
	_, answer = s.full(c, flood, 100)
	requireComeBack(t, answer)
	for _, destination := range []int{1, 2} {
		calm := message{typ: "status", destination: destination, tenant: "green", key: 10 + destination, number: -1, body: string(bytes300)}
		taken, answer = s.full(c, calm, 100)
		require.Equal(t, []any{100, "+OK"}, []any{taken, answer}, "the other tenant's part")
	}
	s.all(s.record.deliver)
	s.settled(time.Minute)
	s.terminate()
}

func TestManyThatExpireTogetherAreAnsweredBeforeTheirTimeAndFreshOnesServedMeanwhile(t *testing.T) {
	const count, life = 2000, 8 * time.Second
	t.Parallel()
	s := newScene(t, 2).write("disk = \"8MiB\"\nwindow = 8\nbehind = 16")
	s.targets[0].Do(refuse)
	s.start()
	all := several("status", 1, "", count, 50)
	end := time.Now().Add(life)
	for i := range all {
		all[i].life = time.Until(end) - time.Duration(i%1000)*time.Millisecond
	}
	s.putAll(all)
	late := time.Now().Add(life) // of the last one that was handed in
	c := s.client()
	fresh := 0
	for ; s.record.ended() < count+fresh; fresh++ {
		m := message{typ: "status", destination: 2, key: 2, number: fresh}
		require.Equal(t, "+OK", s.put(c, m))
		require.Eventually(t, func() bool { return s.record.delivered(m) }, 3*time.Second, time.Millisecond, "its agreed time")
		require.True(t, time.Now().Before(late), "%d of %d answered", s.record.ended()-fresh, count)
	}
	require.Greater(t, fresh, 100)
	s.settled(time.Second)
	_, _, notices := s.record.count()
	require.Equal(t, count, notices)
	s.record.requireInTime(t)
	s.terminate()
}

// heldFailures is a destination that runs calls and answers all of them with an error, but none before so many messages
// have come: until then the forwarder knows of no failure.
type heldFailures struct {
	record *record
	all    int
	answer chan struct{} // closed when all have come

	mu   sync.Mutex
	came map[string]bool // messages, by id
}

func newHeldFailures(r *record, all int) *heldFailures {
	return &heldFailures{record: r, all: all, answer: make(chan struct{}), came: map[string]bool{}}
}

func (h *heldFailures) serve(c emulator.Call) emulator.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if before := len(h.came); before < h.all {
		if h.came[c.ID] = true; len(h.came) == h.all {
			close(h.answer)
		}
	}
	return h.record.fail(c, emulator.Reply{Status: 500, Hold: h.answer})
}

func (h *heldFailures) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%d of %d messages came", len(h.came), h.all)
}

// Reason may have run and is stored keeps that with it, also beyond a kill: it does not run again once its number is
// forgotten.
//
// All messages are tried before the first failure is known, so that whichever are stored have run: once a destination
// counts as out, all but the window's one message would be stored untried. The oldest message, which stays in memory
// for the window, may be repeated for minutes, so that no stored one comes back before the kill.
func TestAStoredMessageThatMayHaveRunDoesNotRunOnceItsNumberIsForgotten(t *testing.T) {
	const (
		endpoints = 10
		count     = 2 * endpoints // a new endpoint gets two calls at once
	)
	t.Parallel()
	s := newScene(t, endpoints)
	s.oneDestination = true
	s.write("disk = \"8MiB\"\nwindow = 1\nbehind = 20")
	failures := newHeldFailures(s.record, count)
	s.all(failures.serve)
	s.start()
	all := []message{{typ: "status", destination: 1, key: 1}}
	for i := 1; i < count; i++ {
		all = append(all, message{typ: "ticket", destination: 1, key: 1 + i})
	}
	s.putAll(all)
	var out string
	require.Eventually(t, func() bool {
		out, _ = spanflow("backlog", "list", "-c", s.file, "--json", "--state", "may-have-run")
		return out != ""
	}, 10*time.Second, 20*time.Millisecond, "%v", failures)
	s.kill()
	time.Sleep(sceneMemory + 2*time.Second)
	s.all(s.record.deliver)
	s.start()
	s.settled(time.Minute)
	var forgotten []string
	for line := range strings.Lines(out) {
		var stored struct{ ID string }
		require.NoError(t, json.Unmarshal([]byte(line), &stored), line)
		forgotten = append(forgotten, stored.ID)
	}
	s.record.mu.Lock()
	for _, id := range forgotten {
		require.Zero(t, s.record.courses[id].delivered, id)
		require.Equal(t, mayHaveRun, s.record.courses[id].notices[0], id)
	}
	s.record.mu.Unlock()
	s.terminate()
}

// The windows of the destinations that are down are together more than memory holds: one that is well is served all
// the same.
func TestManyDestinationsDownLeaveMemoryToThoseThatAreWell(t *testing.T) {
	const down, each = 40, 100
	t.Parallel()
	s := newScene(t, down+1).write("disk = \"64MiB\"\nwindow = 64\nbehind = 128")
	s.all(refuse)
	s.targets[down].Do(s.record.deliver)
	s.start()
	var all []message
	for destination := 1; destination <= down; destination++ {
		all = append(all, several("status", destination, "", each, 5)...)
	}
	s.putAll(all)
	c := s.client()
	for fresh := range 20 {
		m := message{typ: "status", destination: down + 1, key: 9, number: fresh}
		require.Equal(t, "+OK", s.put(c, m))
		require.Eventually(t, func() bool { return s.record.delivered(m) }, 3*time.Second, time.Millisecond, "its agreed time")
	}
}

// Two destinations that turn calls away, with the usual bounds: one that is well is served all the same.
func TestTwoDestinationsFarBehindLeaveMemoryToThoseThatAreWell(t *testing.T) {
	const each = 1100
	t.Parallel()
	s := newScene(t, 3).write("")
	s.all(refuse)
	s.targets[2].Do(s.record.deliver)
	s.start()
	s.putAll(append(several("status", 1, "", each, 50), several("status", 2, "", each, 50)...))
	c := s.client()
	for fresh := range 20 {
		m := message{typ: "status", destination: 3, key: 9, number: fresh}
		require.Equal(t, "+OK", s.put(c, m))
		require.Eventually(t, func() bool { return s.record.delivered(m) }, 3*time.Second, time.Millisecond, "its agreed time")
	}
}
