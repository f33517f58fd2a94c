package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	mayHaveRun  = "failed"        // how a notice tells of a message that may have run and is given up
	sceneMemory = 2 * time.Second // how long a number is known at the destinations, as the form has it
	sceneForm   = `name = "n1"
zones = ["a"]
zone = "a"
[ledger]
folder = "state"
disk = "%s"
[discovery]
notices = %q
[limits]
memory = "384MB"
cores = 2
[dispatch]
slots = 64
room = 2000
transmissions = 60
key_rest = "10ms"
cold_from = 1.0
come_back = "2s"
[[fronts]]
listen = %q
[[tenants]]
name = "red"
per_second = 100000
[[tenants]]
name = "green"
per_second = 100000
[[types]]
name = "status"
repeat = "replayable"
in_order = true
agreed = "3s"
life = "300s"
[[types]]
name = "ticket"
repeat = "numbered"
in_order = true
agreed = "3s"
life = "300s"
memory = "2s"
[[types]]
name = "payment"
repeat = "binding"
agreed = "3s"
life = "300s"
`
)

// scene is a forwarder with a backlog store, several destinations with one endpoint each, and all that is known of its
// messages from outside.
type scene struct {
	t       *testing.T
	folder  string
	file    string
	listen  string
	ledger  string // its space
	ear     *emulator.Discovery
	targets []*emulator.Endpoint // of destinations 1, 2, ..., or all of destination 1
	cmd     *exec.Cmd
	log     *emulator.Log
	ended   chan error
	record  *record

	oneDestination bool // all endpoints are of destination 1
}

func newScene(t *testing.T, destinations int) *scene {
	folder := t.TempDir()
	s := &scene{t: t, folder: folder, file: filepath.Join(folder, "c.toml"), listen: address(t), ledger: "8MB", record: newRecord()}
	var err error
	s.ear, err = emulator.NewDiscovery("")
	require.NoError(t, err)
	s.ear.OnNotice = s.record.notice
	go drop(s.ear.Notices)
	for range destinations {
		target, err := emulator.NewEndpoint("", s.record.deliver)
		require.NoError(t, err)
		go drop(target.Calls)
		s.targets = append(s.targets, target)
	}
	return s
}

var addresses atomic.Int32

// address is free for as long as the test runs: on a loopback address of its own, where nothing else is given a port
// while no process listens there.
func address(t *testing.T) string {
	_, port, err := net.SplitHostPort(free(t))
	require.NoError(t, err)
	return fmt.Sprintf("127.%d.44.%d:%s", 1+os.Getpid()%250, 1+addresses.Add(1)%250, port)
}

// drop takes what nobody waits for.
func drop[T any](all chan T) {
	for range all {
	}
}

// write writes the configuration with a backlog section.
func (s *scene) write(backlog string) *scene {
	var text strings.Builder
	fmt.Fprintf(&text, sceneForm, s.ledger, s.ear.Addr, s.listen)
	for i, target := range s.targets {
		destination := i + 1
		if s.oneDestination {
			destination = 1
		}
		fmt.Fprintf(&text, "[[targets]]\nuid = \"t%d\"\naddress = %q\nzone = \"a\"\ndest = %d\n", i+1, target.Addr, destination)
	}
	fmt.Fprintf(&text, "[backlog]\nfolder = \"stored\"\n%s\n", backlog)
	require.NoError(s.t, os.WriteFile(s.file+".new", []byte(text.String()), 0o600))
	require.NoError(s.t, os.Rename(s.file+".new", s.file))
	return s
}

func (s *scene) start() {
	s.t.Helper()
	s.log = emulator.NewLog()
	cmd := exec.Command(filepath.Join(dir, "spanflow"), "run", "--config", s.file)
	cmd.Stderr = s.log
	require.NoError(s.t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	s.cmd, s.ended = cmd, ended
	s.t.Cleanup(func() { _ = cmd.Process.Kill() })
	s.log.Await(s.t, `"message":"ready"`)
}

func (s *scene) kill() {
	_ = s.cmd.Process.Kill()
	<-s.ended
}

// terminate sends SIGTERM and gives the time until the process has ended, which must be with status 0.
func (s *scene) terminate() time.Duration {
	s.t.Helper()
	begun := time.Now()
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(s.t, <-s.ended, s.log.String())
	return time.Since(begun)
}

// reload has the process take up a changed backlog section.
func (s *scene) reload(backlog string) {
	s.t.Helper()
	before := s.log.Count("configuration reloaded")
	s.write(backlog)
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(s.t, func() bool { return s.log.Count("configuration reloaded") > before }, 15*time.Second, 5*time.Millisecond, s.log.String())
}

func (s *scene) stored() string { return filepath.Join(s.folder, "stored") }

// all alters what all endpoints do.
func (s *scene) all(how func(emulator.Call) emulator.Reply) {
	for _, target := range s.targets {
		target.Do(how)
	}
}

// refuse turns a call away unseen.
func refuse(emulator.Call) emulator.Reply { return emulator.Reply{Status: 503} }

func (s *scene) client() *emulator.Client {
	s.t.Helper()
	c, err := emulator.NewClient(s.listen)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	return c
}

// put hands a message in over a connection and notes it as taken if it is.
func (s *scene) put(c *emulator.Client, m message) string {
	s.t.Helper()
	answer, err := c.Send(m.command())
	require.NoError(s.t, err)
	if answer == "+OK" {
		s.record.taken(m)
	}
	return answer
}

// putAll hands messages in over one connection without waiting for each answer, and requires all to be taken.
func (s *scene) putAll(all []message) {
	s.t.Helper()
	c := s.client()
	go func() {
		for _, m := range all {
			if _, err := io.WriteString(c, m.command()); err != nil {
				return
			}
		}
	}()
	for _, m := range all {
		answer, err := c.ReadReply()
		require.NoError(s.t, err)
		require.Equal(s.t, "+OK", answer, m.id())
		s.record.taken(m)
	}
}

// settled waits until all that was taken has its final answer.
func (s *scene) settled(within time.Duration) {
	s.t.Helper()
	late := time.Now().Add(within)
	for open := s.record.open(); len(open) > 0; open = s.record.open() {
		if time.Now().After(late) {
			require.Fail(s.t, "not all has ended", "%d, among them %s\n%s", len(open), open[0], tail(s.log.String()))
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.record.requireRight(s.t)
}

func tail(text string) string { return text[max(0, len(text)-4000):] }

// message is one that a test hands in. Messages of a key are numbered from 0 in the order of handing in.
type message struct {
	typ         string
	destination int
	tenant      string
	key         int // 0: none
	number      int
	life        time.Duration // 0: 5 minutes
	body        string
}

func (m message) id() string {
	return fmt.Sprintf("%s-%d-%s-%d-%d", m.typ, m.destination, m.tenant, m.key, m.number)
}

func (m message) command() string {
	life := m.life
	if life == 0 {
		life = 5 * time.Minute
	}
	names := fmt.Sprintf("c=%s,d=%d,dest=%d,k=%s", m.typ, life.Milliseconds(), m.destination, m.id())
	if m.tenant != "" {
		names += ",t=" + m.tenant
	}
	body := m.body
	if body == "" {
		body = "hello"
	}
	return emulator.Command("MSG.PUT", fmt.Sprintf("%016x", m.key), m.id(), names, body)
}

// course is what is known of one message.
type course struct {
	message
	taken     bool // answered +OK
	ran       int  // calls that had an effect, as far as the number does not keep them from it
	first     time.Time
	last      time.Time
	delivered int
	notices   []string
	expiry    time.Time // at the latest, by the client's clock as it heard +OK
	told      time.Time // when the first notice came
}

func (c *course) over() bool { return c.delivered > 0 || len(c.notices) > 0 }

// record is what clients, destinations and the receiver of notices have seen.
type record struct {
	mu      sync.Mutex
	courses map[string]*course
	keys    map[int][]*course // taken, in the order of handing in
	done    map[int]int       // so many of a key, from the first, are over
	calls   int
	answers int
	wrong   []string
}

func newRecord() *record {
	return &record{courses: map[string]*course{}, keys: map[int][]*course{}, done: map[int]int{}}
}

func (r *record) course(id string) *course {
	c := r.courses[id]
	if c == nil {
		c = &course{}
		r.courses[id] = c
	}
	return c
}

func (r *record) taken(m message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.course(m.id())
	c.message, c.taken, c.expiry = m, true, time.Now().Add(m.life)
	if m.key != 0 && m.typ != "payment" {
		r.keys[m.key] = append(r.keys[m.key], c)
	}
}

// effect notes that a call runs. Nothing earlier of its key, as far as its client knows it as taken, may be open.
func (r *record) effect(c emulator.Call, delivered bool) {
	r.calls++
	key, number := r.place(c.ID)
	for all := r.keys[key]; r.done[key] < len(all) && all[r.done[key]].over(); {
		r.done[key]++
	}
	if all := r.keys[key]; key != 0 && r.done[key] < len(all) && all[r.done[key]].number < number {
		r.wrong = append(r.wrong, fmt.Sprintf("%s runs before %s is over", c.ID, all[r.done[key]].id()))
	}
	now := time.Now()
	of := r.course(c.ID)
	if of.ran++; of.ran == 1 {
		of.first = now
	}
	of.last = now
	if delivered {
		if !of.over() {
			r.answers++
		}
		of.delivered++
	}
}

// place is the key and the number that an id tells; key 0 stands for none that is in order.
func (r *record) place(id string) (key, number int) {
	parts := strings.Split(id, "-")
	if len(parts) != 5 || parts[0] == "payment" {
		return 0, 0
	}
	_, _ = fmt.Sscan(parts[3], &key)
	_, _ = fmt.Sscan(parts[4], &number)
	return key, number
}

func (r *record) deliver(c emulator.Call) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effect(c, true)
	return emulator.Reply{}
}

// fail runs a call and answers with an error or not at all.
func (r *record) fail(c emulator.Call, reply emulator.Reply) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effect(c, false)
	return reply
}

func (r *record) notice(n emulator.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.course(n.ID)
	if !c.over() {
		r.answers++
	}
	if c.told.IsZero() {
		c.told = time.Now()
	}
	c.notices = append(c.notices, n.State)
}

// ended tells how many messages have a final answer.
func (r *record) ended() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers
}

func (r *record) open() (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.courses {
		if c.taken && !c.over() {
			ids = append(ids, id)
		}
	}
	return ids
}

// requireRight judges each message by what was seen of it: one final answer, which a restart may tell again in the same
// words; a notice beside a run only where that run's answer may have been lost; effects by what the type allows.
func (r *record) requireRight(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Empty(t, r.wrong[:min(5, len(r.wrong))], "%d of %d calls", len(r.wrong), r.calls)
	for id, c := range r.courses {
		typ, _, _ := strings.Cut(id, "-")
		for _, state := range c.notices {
			require.Equal(t, c.notices[0], state, "%s has two answers", id)
		}
		if len(c.notices) > 0 && c.delivered > 0 {
			require.NotEqual(t, "status", typ, "%s is delivered and has a notice", id)
			require.Equal(t, mayHaveRun, c.notices[0], id)
		}
		if c.ran > 0 && len(c.notices) > 0 && typ == "payment" {
			require.Equal(t, mayHaveRun, c.notices[0], "%s has run", id)
		}
		switch typ {
		case "payment":
			require.LessOrEqual(t, c.ran, 1, "%s must not run twice", id)
		case "ticket":
			require.LessOrEqual(t, c.last.Sub(c.first), sceneMemory+time.Second, "%s: its number is forgotten by then", id)
		}
	}
}

// requireNoNotices requires that all of a type were delivered.
func (r *record) requireNoNotices(t *testing.T, typ string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.courses {
		if strings.HasPrefix(id, typ+"-") {
			require.Empty(t, c.notices, id)
		}
	}
}

// requireInTime requires that each notice came before its message's time was over.
func (r *record) requireInTime(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.courses {
		require.False(t, len(c.notices) > 0 && c.told.After(c.expiry), "%s: answered %v late", id, c.told.Sub(c.expiry))
	}
}

// count gives how many messages were taken and how many runs and notices there were.
func (r *record) count() (taken, runs, notices int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.courses {
		if c.taken {
			taken++
		}
		runs += c.ran
		notices += len(c.notices)
	}
	return taken, runs, notices
}
