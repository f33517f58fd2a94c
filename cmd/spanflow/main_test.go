package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The tests start the built program and speak to it over sockets.

var (
	program string
	raced   = "-race=false" // for the build of the program
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "spanflow")
	if err == nil {
		program = filepath.Join(dir, "spanflow")
		var out []byte
		if out, err = exec.Command("go", "build", raced, "-o", program, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const settings = `{"Azs":["a"],"Kinds":["single","several"],"Classes":[
{"Name":"ticket","Group":"all","Idempotency":"dedup","Sequential":true,"Slo":3000,"HardLimit":24000,"MemorySpan":15000},
{"Name":"payment","Idempotency":"fragile","Slo":3000,"HardLimit":20000},
{"Name":"status","Idempotency":"retryable","Slo":3000,"HardLimit":20000}],
"Extra":{"CallsOut":8,"KindBatch":[1,10]},"Guarantees":{"Cold":10000,"ColdFrom":0.2,"FallMultiple":2,"KeyRest":100},
"Limits":{"AttemptsCap":6,"MaxOpen":%d,"RetryAfter":true,"MaxRetryAfter":2000,"ConnIdle":10000,"ConnectTimeout":1500},
"Report":{"Fields":["x0","x1"]},"Discovery":"ask","WeightKind":"silent","NInstances":1,"Tenants":[]}`

// stage is a forwarder with those around it.
type stage struct {
	t         *testing.T
	discovery *emulator.Discovery
	target    *emulator.Endpoint
	folder    string
	file      string
	listen    string
	room      int
	diskMB    int
	sockets   int
	moved     []string // pairs: what the settings say, and what they say instead
	socket    *os.File // of the clients, handed down
	cmd       *exec.Cmd
	log       *emulator.Log
	ended     chan error
}

func (s *stage) await(word string) {
	s.t.Helper()
	s.log.Await(s.t, word)
}

func newStage(t *testing.T, kind string) *stage {
	s := &stage{t: t, folder: t.TempDir(), room: 100, diskMB: 3, sockets: 256}
	var err error
	s.target, err = emulator.NewEndpoint("", nil)
	require.NoError(t, err)
	s.discovery, err = emulator.NewDiscovery("", emulator.Entry{UID: "s1", Endpoint: s.target.Addr, Zone: "a", Kind: kind, Destination: 7, State: "active"},
		emulator.Entry{UID: "s0", Endpoint: "127.0.0.1:9", Zone: "a", Kind: kind, Destination: 9, State: "leaving"})
	require.NoError(t, err)
	return s
}

// order writes the program's configuration and returns its environment.
func (s *stage) order() []string {
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": s.discovery.Addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": s.sockets, "disk_mb": s.diskMB},
		"known":  json.RawMessage(s.discovery.Known()), "settings": json.RawMessage(strings.NewReplacer(s.moved...).Replace(fmt.Sprintf(settings, s.room)))})
	require.NoError(s.t, err)
	s.file = filepath.Join(s.t.TempDir(), "config.json")
	require.NoError(s.t, os.WriteFile(s.file, config, 0o600))
	return []string{"PROXY_CONFIG=" + s.file, "PROXY_STATE=" + s.folder, "PROXY_DISCOVERY=" + s.discovery.Addr}
}

func (s *stage) start() *emulator.Client {
	s.t.Helper()
	s.log = emulator.NewLog()
	s.cmd = exec.Command(program)
	s.cmd.Env, s.cmd.Stderr = append(os.Environ(), s.order()...), s.log
	require.NoError(s.t, s.cmd.Start())
	s.ended = make(chan error, 1)
	cmd, ended := s.cmd, s.ended
	go func() { ended <- cmd.Wait() }()
	s.t.Cleanup(func() { cmd.Process.Kill() })
	s.await(`"message":"ready"`)
	_, text, _ := strings.Cut(s.log.String(), `"listen":"`)
	s.listen, _, _ = strings.Cut(text, `"`)
	return s.client()
}

func (s *stage) client() *emulator.Client {
	c, err := emulator.NewClient(s.listen)
	require.NoError(s.t, err)
	s.say(c, emulator.Command("PING"), "+PONG")
	return c
}

func (s *stage) say(c *emulator.Client, raw, want string) {
	s.t.Helper()
	got, err := c.Send(raw)
	require.NoError(s.t, err)
	require.Equal(s.t, want, got)
}

func (s *stage) put(c *emulator.Client, key, id, names, want string) {
	s.t.Helper()
	s.say(c, emulator.Command("MSG.PUT", key, id, names, "body of "+id), want)
}

func (s *stage) kill() {
	s.cmd.Process.Kill()
	<-s.ended
}

func (s *stage) call() emulator.Call {
	s.t.Helper()
	select {
	case c := <-s.target.Calls:
		return c
	case <-time.After(20 * time.Second):
		s.t.Fatalf("no call came; log:\n%s", s.log.String())
	}
	panic("unreachable")
}

func (s *stage) notice() emulator.Notice {
	s.t.Helper()
	select {
	case n := <-s.discovery.Notices:
		return n
	case <-time.After(20 * time.Second):
		s.t.Fatalf("no notice came; log:\n%s", s.log.String())
	}
	panic("unreachable")
}

const zero = "0000000000000000"

func TestAMessageReachesItsEndpointUnchanged(t *testing.T) {
	s := newStage(t, "single")
	c := s.start()
	body := "any\x00bytes\r\n\xff" + strings.Repeat("x", 60<<10)
	s.say(c, emulator.Command("MSG.PUT", zero, "d1", "c=status,d=8000,dest=7", body), "+OK")
	require.Equal(t, emulator.Call{Endpoint: s.target.Addr, ID: "d1", IDs: []string{"d1"}, Body: body, Path: "/hook"}, s.call())
	s.put(c, "5", "d2", "c=ticket,d=8000,dest=7,k=m2,r=1,again=1", "+OK")
	require.Equal(t, "m2", s.call().IdempotencyKey)
}

func TestCommandsMayComeInPiecesOrSeveralAtOnce(t *testing.T) {
	s := newStage(t, "single")
	c := s.start()
	raw := emulator.Command("MSG.PUT", zero, "d1", "c=status,d=8000,dest=7", "b")
	c.Write([]byte(raw[:20]))
	s.say(s.client(), emulator.Command("PING"), "+PONG") // the piece has been read by now
	s.say(c, raw[20:]+emulator.Command("PING")+emulator.Command("NONSENSE"), "+OK")
	for _, want := range []string{"+PONG", "-ERR unknown command"} {
		got, err := c.ReadReply()
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.Equal(t, "d1", s.call().ID)
}

func TestBadInputTakesNothingOnAndHarmsNobody(t *testing.T) {
	s := newStage(t, "single")
	c := s.start()
	for names, want := range map[string]string{
		"c=unheard,d=8000,dest=7": "-ERR unknown type of document", "c=status,d=soon,dest=7": "-ERR d is not a time in milliseconds",
		"c=status,dest=7": "-ERR d or dest is missing", "c=status,d=0,dest=7": "-BUSY 2000",
		"c=ticket,d=8000,dest=7": "-ERR k is missing, by which a repeat is known"} {
		s.put(c, zero, "d1", names, want)
	}
	s.say(s.client(), "GET / HTTP/1.1\r\n\r\n", "-ERR not an array of bulk strings")
	s.say(s.client(), "*5\r\n$99999999\r\n", "-ERR command over the limit")
	s.put(c, zero, "d2", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "d2", s.call().ID)
	s.put(c, zero, "d2", "c=status,d=8000,dest=7", "-ERR a document with this id was taken on")
	s.put(c, zero, "d3", "c=status,d=8000,dest=9", "+OK") // held: its only endpoint is leaving
	s.put(s.client(), zero, "d3", "c=payment,d=8000,dest=7", "-ERR a document with this id was taken on")
	require.Eventually(t, func() bool { // once discovery has told its list
		got, err := c.Put(zero, "d4", "c=status,d=8000,dest=8", "b")
		return err == nil && got == "-ERR unknown destination"
	}, 10*time.Second, 5*time.Millisecond)
	require.Empty(t, s.target.Calls)
}

// All places are taken by clients that asked once and stay; the first commands of others are slow to come.
func TestAClientThatIsSlowToAskIsNotClosedForOnesThatWereServed(t *testing.T) {
	s := newStage(t, "single")
	s.sockets = 64 // a third of it for clients
	s.start()
	for range 30 {
		s.client()
	}
	var fresh []*emulator.Client
	for range 3 {
		c, err := emulator.NewClient(s.listen)
		require.NoError(t, err)
		fresh = append(fresh, c)
	}
	for range 30 {
		s.client()
	}
	for i, c := range fresh {
		s.put(c, zero, fmt.Sprint("d", i), "c=status,d=8000,dest=7", "+OK")
	}
}

// Connections that say nothing or stop within a command come by hundreds; usual clients find room and are served.
func TestThoseWhoSayNothingAreClosedAndLeaveRoom(t *testing.T) {
	s := newStage(t, "single")
	s.start()
	var silent []*emulator.Client
	for i := range 150 {
		q, err := emulator.NewClient(s.listen)
		require.NoError(t, err)
		if i == 149 {
			q.Write([]byte("*5\r\n$7\r\nMSG"))
		}
		silent = append(silent, q)
	}
	c := s.client()
	s.put(c, zero, "d1", "c=status,d=8000,dest=7", "+OK")
	s.put(c, zero, "d2", "c=status,d=8000,dest=7", "+OK")
	began := time.Now()
	for i, q := range silent {
		said, err := q.ReadReply()
		if i == 149 {
			require.Equal(t, "-ERR the command did not go on in time", said)
			require.Less(t, time.Since(began), 3*time.Second)
			_, err = q.ReadReply()
		}
		require.Error(t, err)
	}
}

func TestANewOrderMovesToAnotherDiscoveryAndDisturbsNothing(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	s.discovery.SetUnresponsive(true)
	c := s.start()
	s.put(c, zero, "out", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "out", s.call().ID)
	s.put(c, zero, "s1", "c=status,d=200,dest=9", "+OK")
	s.await("notices not answered")
	text, err := os.ReadFile(s.file)
	require.NoError(t, err)
	for _, bad := range []string{"", string(text[:len(text)/2]), strings.Replace(string(text), s.discovery.Addr, "there", 1)} {
		require.NoError(t, os.WriteFile(s.file, []byte(bad), 0o600))
		s.again("configuration not reloaded")
	}
	second, err := emulator.NewDiscovery("", emulator.Entry{UID: "s0", Endpoint: s.target.Addr, Zone: "a", Kind: "single", Destination: 9, State: "active"})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(s.file, []byte(strings.Replace(string(text), s.discovery.Addr, second.Addr, 1)), 0o600))
	s.again("configuration reloaded")
	require.Equal(t, "s1", (<-second.Notices).ID)
	close(hold)
	s.put(c, zero, "d2", "c=status,d=8000,dest=9", "+OK")
	require.Equal(t, "d2", s.call().ID)
	require.Empty(t, s.discovery.Notices)
	s.stop()
	require.True(t, s.log.Has(`"delivered":2`), s.log.String())
}

// again tells the program to read its order once more and waits for a line about it.
func (s *stage) again(word string) {
	s.t.Helper()
	before := s.log.Count(word)
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(s.t, func() bool { return s.log.Count(word) > before }, 10*time.Second, 5*time.Millisecond)
}

func TestSeveralMessagesTravelAsOneCallWithAnEndForEach(t *testing.T) {
	s := newStage(t, "several")
	hold := make(chan struct{})
	s.target.Do(func(c emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := s.start()
	var first []string
	for i := range 2 { // both places of the endpoint are taken
		s.put(c, zero, fmt.Sprint("d", i), "c=status,d=8000,dest=7", "+OK")
		first = append(first, s.call().ID)
	}
	for i := range 3 {
		s.put(c, zero, fmt.Sprint("e", i), "c=status,d=8000,dest=7", "+OK")
	}
	s.target.Do(func(c emulator.Call) emulator.Reply {
		if len(c.IDs) < 3 {
			return emulator.Reply{}
		}
		return emulator.Reply{Body: `[{"id":"e0","state":"ok"},{"id":"e1","state":"later"},{"id":"e2","state":"gone"}]`}
	})
	close(hold)
	require.Equal(t, []string{"d0", "d1"}, first)
	require.Equal(t, []string{"e0", "e1", "e2"}, s.call().IDs)
	require.Equal(t, []string{"e1"}, s.call().IDs)
}

func TestWhatIsNotDeliveredEndsByANoticeSentUntilItIsAnswered(t *testing.T) {
	s := newStage(t, "single")
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Break: true} })
	s.discovery.SetUnresponsive(true)
	c := s.start()
	s.put(c, zero, "p1", "c=payment,d=8000,dest=7", "+OK") // it may have run and must not run twice
	s.call()
	s.await("notices not answered")
	s.discovery.SetUnresponsive(false)
	require.Equal(t, emulator.Notice{ID: "p1", State: "failed"}, s.notice())
	s.put(c, zero, "s1", "c=status,d=300,dest=9", "+OK") // a destination whose only endpoint is leaving
	n := s.notice()
	require.Equal(t, "returned", n.State)
	require.Empty(t, s.target.Calls)
}

func TestAFullRoomAndAFullWriteAheadLogAreRefusals(t *testing.T) {
	s := newStage(t, "single")
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: make(chan struct{})} })
	s.room, s.diskMB = 20, 1
	c := s.start()
	big, answers := strings.Repeat("x", 60<<10), map[string]int{}
	for i := range 10 {
		got, err := c.Put(zero, fmt.Sprint("d", i), "c=status,d=8000,dest=7", big)
		require.NoError(t, err)
		answers[got]++
	}
	require.Greater(t, answers["+OK"], 2)
	require.Greater(t, answers["-BUSY 2000"], 2)
	files, err := os.ReadDir(s.folder)
	require.NoError(t, err)
	size := int64(0)
	for _, f := range files {
		info, err := f.Info()
		require.NoError(t, err)
		size += info.Size()
	}
	require.Less(t, size, int64(1_000_000))
}

func TestQuietClientsMakeRoomForNewOnes(t *testing.T) {
	s := newStage(t, "single")
	s.sockets = 64 // clients get two thirds of what the program's own files leave
	first := s.start()
	var last *emulator.Client
	for range 40 {
		last = s.client()
	}
	_, err := first.ReadReply()
	require.Error(t, err)
	s.put(last, zero, "d1", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "d1", s.call().ID)
}

// The process is killed with a message delivered, one out that may run again, one out that may not, and one held
// behind another of its key; the next process ends each exactly once and in order.
func TestAKilledForwarderOwesWhatItHadTakenOn(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	s.target.Do(func(c emulator.Call) emulator.Reply {
		if c.ID == "done" {
			return emulator.Reply{}
		}
		return emulator.Reply{Hold: hold}
	})
	c := s.start()
	s.put(c, zero, "done", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "done", s.call().ID)
	s.put(c, "5", "k1", "c=ticket,d=20000,dest=7,k=m1", "+OK")
	require.Equal(t, "k1", s.call().ID)
	s.put(c, zero, "pay", "c=payment,d=20000,dest=7", "+OK")
	require.Equal(t, "pay", s.call().ID)
	s.put(c, "5", "k2", "c=ticket,d=20000,dest=7,k=m2", "+OK")
	s.kill()
	s.target.Do(nil)
	s.start()
	require.Equal(t, emulator.Notice{ID: "pay", State: "failed"}, s.notice())
	require.Equal(t, []string{"k1", "k2"}, []string{s.call().ID, s.call().ID})
	s.stop()
	require.Empty(t, s.target.Calls)
	require.Empty(t, s.discovery.Notices)
	require.True(t, s.log.Has(`"owed":0`), s.log.String())
}

func (s *stage) stop() {
	s.t.Helper()
	asked := time.Now()
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(s.t, <-s.ended, "the program ends by itself with status 0")
	require.Less(s.t, time.Since(asked), 3700*time.Millisecond)
}

func TestAnAnswerThatWasNotHeardIsToldAgainByTheNextProcess(t *testing.T) {
	s := newStage(t, "single")
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Break: true} })
	s.discovery.SetUnresponsive(true)
	c := s.start()
	s.put(c, zero, "p1", "c=payment,d=20000,dest=7", "+OK")
	s.call()
	s.await("notices not answered")
	s.kill()
	s.discovery.SetUnresponsive(false)
	s.start()
	require.Equal(t, emulator.Notice{ID: "p1", State: "failed"}, s.notice())
	require.Empty(t, s.target.Calls)
}

func TestAStoppingForwarderServesFinishesAndKeepsTheRest(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	s.target.Do(func(c emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := s.start()
	s.put(c, zero, "out", "c=status,d=20000,dest=7", "+OK")
	s.call()
	s.put(c, zero, "far", "c=status,d=20000,dest=9", "+OK") // no endpoint yet
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	s.await(`"message":"stopping"`)
	s.put(c, zero, "late", "c=status,d=20000,dest=7", "+OK")
	s.put(s.client(), zero, "later", "c=status,d=20000,dest=7", "+OK")
	close(hold)
	require.ElementsMatch(t, []string{"late", "later"}, []string{s.call().ID, s.call().ID})
	_, err := c.ReadReply()
	require.Error(t, err, "the client is to go elsewhere")
	require.NoError(t, <-s.ended)
	require.True(t, s.log.Has(`"owed":1`), s.log.String())
	s.discovery.Set(emulator.Entry{UID: "s2", Endpoint: s.target.Addr, Zone: "a", Kind: "single", Destination: 9, State: "active"})
	s.start()
	require.Equal(t, "far", s.call().ID)
}

// The switch of a move: another fleet and other terms from one process to the next on the same folder. Reason is owed and
// call times carry over; the first messages go out at once, at several endpoints.
func TestTheFirstSecondsAfterASwitch(t *testing.T) {
	s := newStage(t, "single")
	c := s.start()
	for _, id := range []string{"d1", "d2", "d3"} {
		s.put(c, zero, id, "c=status,d=8000,dest=7", "+OK")
		require.Equal(t, id, s.call().ID)
	}
	s.put(c, zero, "owed", "c=status,d=20000,dest=9", "+OK")
	s.stop()
	s.moved = []string{`"NInstances":1`, `"NInstances":218`, `"CallsOut":8`, `"CallsOut":3,"Decay":"halves"`,
		`"WeightKind":"silent"`, `"WeightKind":"nominal"`, `"RetryAfter":true`, `"RetryAfter":false,"SecondCopies":true`}
	s.discovery.Set(emulator.Entry{UID: "s2", Endpoint: s.target.Addr, Zone: "a", Kind: "single", Destination: 9, State: "active"})
	c = s.start()
	s.await("learned latencies restored")
	began := time.Now()
	s.put(c, zero, "first", "c=status,d=8000,dest=7", "+OK")
	require.ElementsMatch(t, []string{"owed", "first"}, []string{s.call().ID, s.call().ID})
	require.Less(t, time.Since(began), 3*time.Second)
	s.stop()
	require.NoError(t, os.WriteFile(filepath.Join(s.folder, "learnt"), []byte("spanflow learnt 1\n cut"), 0o600))
	c = s.start()
	s.await("learned latencies ignored")
	s.put(c, zero, "last", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "last", s.call().ID)
}

func TestChangesOfTheListAreFollowed(t *testing.T) {
	s := newStage(t, "single")
	c := s.start()
	s.put(c, zero, "d1", "c=status,d=20000,dest=9", "+OK")
	s.discovery.Set(emulator.Entry{UID: "s2", Endpoint: s.target.Addr, Zone: "a", Kind: "single", Destination: 9, State: "active"})
	require.Equal(t, "d1", s.call().ID)
}

func TestWithDiscoveryDownTheKnownListServes(t *testing.T) {
	s := newStage(t, "single")
	down, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, down.Close())
	up := s.discovery.Addr
	s.discovery.Addr = down.Addr().String()
	c := s.start()
	s.await("watch ended")
	s.put(c, zero, "d1", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "d1", s.call().ID)
	s.put(c, zero, "d2", "c=status,d=200,dest=9", "+OK")
	s.await("notices not answered")
	s.kill()
	s.discovery.Addr = up
	s.start()
	require.Equal(t, emulator.Notice{ID: "d2", State: "returned", AfterMs: 2000}, s.notice())
}

func TestAWrongOrderIsOnePlainLineBeforeAnythingListens(t *testing.T) {
	s := newStage(t, "single")
	for _, c := range []struct{ env, says string }{{"PROXY_CONFIG=", "PROXY_CONFIG is not set"},
		{"PROXY_CONFIG=/nowhere", "PROXY_CONFIG: open /nowhere"}, {"PROXY_STATE=/nowhere", "PROXY_STATE: stat /nowhere"},
		{"PROXY_DISCOVERY=here", `discovery: "here" is not an address with a port`}} {
		cmd := exec.Command(program)
		cmd.Env = append(append(os.Environ(), s.order()...), c.env)
		out, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Contains(t, string(out), "spanflow: "+c.says)
		require.Equal(t, 1, strings.Count(string(out), "\n"))
	}
}

// witness is an endpoint's memory: it answers by chance and notes what no forwarder may do.
type witness struct {
	mu     sync.Mutex
	dice   *rand.Rand
	over   map[string]bool // delivered, or told by a notice
	mayRun map[string]bool
	wrong  []string
	calls  int
}

func (w *witness) call(c emulator.Call) emulator.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	for _, id := range c.IDs { // an id is type, key and number
		if id[0] == 'p' && w.mayRun[id] {
			w.wrong = append(w.wrong, id+" may have run and must not run twice")
		}
		var key, number int
		fmt.Sscanf(id[1:], "%d-%d", &key, &number)
		for n := range number {
			if before := fmt.Sprintf("t%d-%d", key, n); id[0] == 't' && !w.over[before] {
				w.wrong = append(w.wrong, id+" before "+before)
			}
		}
	}
	switch w.dice.IntN(12) {
	case 0:
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "0.05"}}
	case 1:
		w.ran(c, false)
		return emulator.Reply{Status: 500}
	case 2:
		w.ran(c, false)
		return emulator.Reply{Break: true}
	}
	w.ran(c, true)
	return emulator.Reply{}
}

func (w *witness) ran(c emulator.Call, over bool) {
	for _, id := range c.IDs {
		w.mayRun[id] = true
		w.over[id] = w.over[id] || over
	}
}

func TestKilledAgainAndAgainEveryMessageEndsOnceAndInOrder(t *testing.T) {
	s := newStage(t, "several")
	w := &witness{dice: rand.New(rand.NewPCG(3, 4)), over: map[string]bool{}, mayRun: map[string]bool{}}
	s.target.Do(w.call)
	s.discovery.OnNotice = func(n emulator.Notice) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.over[n.ID] = true
	}
	var ids []string
	for life := range 3 {
		c := s.start()
		for n := range 6 {
			for key := range 3 {
				id := fmt.Sprintf("t%d-%d", key, life*6+n)
				s.put(c, fmt.Sprint(key+1), id, "c=ticket,d=20000,dest=7,k="+id, "+OK")
				ids = append(ids, id)
			}
			id := fmt.Sprintf("p9-%d", life*6+n)
			s.put(c, zero, id, "c=payment,d=20000,dest=7", "+OK")
			ids = append(ids, id)
		}
		for range 3 {
			s.call()
		}
		s.kill()
	}
	s.start()
	late := time.After(25 * time.Second)
	for open := true; open; {
		w.mu.Lock()
		open = false
		for _, id := range ids {
			open = open || !w.over[id]
		}
		w.mu.Unlock()
		if open {
			select {
			case <-s.discovery.Notices:
			case <-s.target.Calls:
			case <-late:
				t.Fatalf("not all has ended; log:\n%s", s.log.String())
			}
		}
	}
	s.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Empty(t, w.wrong)
	require.True(t, s.log.Has(`"owed":0`), s.log.String())
}
