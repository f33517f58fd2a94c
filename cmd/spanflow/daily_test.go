package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// Stories of the operators' days: their address, upgrades beside a running process, drains, bans and figures.

var addresses atomic.Int32

// freeAddress is a loopback address that nobody listens at, of a host that nobody else has: what a test of another process
// opens meanwhile, or a connection that goes out, takes no port of it.
func freeAddress(t *testing.T) string {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 100+pid>>8&63, pid&255, 1+addresses.Add(1)%250))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// process is one forwarder of a stage started with an operators' address and perhaps a handed-down socket.
type process struct {
	cmd   *exec.Cmd
	log   *emulator.Log
	admin string
	ended chan error
}

// launch starts a forwarder of the stage with an operators' address of its own; socket, if not nil, is handed down.
func (s *stage) launch(socket *os.File) *process {
	s.t.Helper()
	p := &process{log: emulator.NewLog(), admin: freeAddress(s.t), ended: make(chan error, 1)}
	p.cmd = exec.Command(program)
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), append(s.order(), "PROXY_ADMIN="+p.admin)...), p.log
	if socket != nil {
		p.cmd.ExtraFiles = []*os.File{socket}
		p.cmd.Env = append(p.cmd.Env, "PROXY_INHERITED_FD=3")
	}
	require.NoError(s.t, p.cmd.Start())
	cmd, ended := p.cmd, p.ended
	go func() { ended <- cmd.Wait() }()
	s.t.Cleanup(func() { cmd.Process.Kill() })
	return p
}

// ask makes one call of the operators' address and returns its status and text.
func ask(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	began := time.Now()
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	require.Less(t, time.Since(began), time.Second, "%s %s answered late", method, path)
	return resp.StatusCode, strings.TrimSpace(string(body))
}

// ready tells if the process says yes; one that does not listen yet says no.
func (p *process) ready(t *testing.T) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + p.admin + "/_ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func TestTheOperatorsAddressAnswersInTimeWhateverCallersDo(t *testing.T) {
	s := newStage(t, "single")
	p := s.launch(nil)
	p.log.Await(t, `"message":"ready"`)
	require.True(t, p.ready(t))
	// Callers that say nothing, or half a call, and stay: they hold no place that others need.
	var quiet []net.Conn
	for i := range 30 {
		c, err := net.Dial("tcp", p.admin)
		require.NoError(t, err)
		if i%2 == 0 {
			c.Write([]byte("GET /_ready HTTP/1.1\r\nHost: x\r\n"))
		}
		quiet = append(quiet, c)
	}
	for range 5 {
		require.True(t, p.ready(t))
	}
	for path, want := range map[string]int{"/nothing": 404, "/_targets/detach": 400, "/_targets/attach?name=": 400} {
		code, text := ask(t, p.admin, "POST", path)
		require.Equal(t, want, code, "%s: %s", path, text)
	}
	code, _ := ask(t, p.admin, "POST", "/_ready")
	require.Equal(t, http.StatusMethodNotAllowed, code)
	for _, c := range quiet { // each was let go within the second
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := bufio.NewReader(c).ReadString('\n')
		if err == nil { // a half call may be told off
			continue
		}
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// A second process starts beside the first on the same socket and folder, says yes, and the first is told to stop:
// every message handed in, before, during and after, reaches the endpoint once, and none is turned away at the door.
func TestAnUpgradeBesideTheRunningProcessLosesNothing(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	var once sync.Once
	s.target.Do(func(c emulator.Call) emulator.Reply {
		if c.ID == "d5" { // out while the first process is told to stop
			return emulator.Reply{Hold: hold}
		}
		return emulator.Reply{}
	})
	socket := s.handedDown()
	first := s.launch(socket)
	first.log.Await(t, `"message":"ready"`)

	sent := 0
	put := func(n int) {
		for range n {
			c, err := emulator.NewClient(s.listen)
			require.NoError(t, err)
			got, err := c.Put(zero, fmt.Sprint("d", sent), "c=status,d=8000,dest=7", "b")
			require.NoError(t, err)
			require.Equal(t, "+OK", got, "d%d", sent)
			c.Close()
			sent++
		}
	}
	put(10)
	second := s.upgrade(first, socket, func() {
		put(10) // taken by the first and kept for the second, or taken by the second
		once.Do(func() { close(hold) })
	})
	put(10)
	seen := map[string]int{}
	for len(seen) < sent {
		select {
		case c := <-s.target.Calls:
			seen[c.ID]++
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d documents came; first:\n%s\nsecond:\n%s", len(seen), sent, first.log.String(), second.log.String())
		}
	}
	for id, n := range seen {
		require.Equal(t, 1, n, "%s came %d times", id, n)
	}
	require.True(t, first.log.Has(`"message":"handing over"`))
}

// Reason is handed down is a file, a socket that does not listen, nothing at all, or no number: the process names it and ends
// before it takes anything, and a running one is left alone.
func TestAHandedDownDescriptorThatIsNoListeningSocketIsNamed(t *testing.T) {
	s := newStage(t, "single")
	plain, err := os.CreateTemp(t.TempDir(), "plain")
	require.NoError(t, err)
	c, err := net.Dial("tcp", s.discovery.Addr)
	require.NoError(t, err)
	connected, err := c.(*net.TCPConn).File()
	require.NoError(t, err)
	for _, x := range []struct {
		file  *os.File
		value string
		says  string
	}{{plain, "3", "PROXY_INHERITED_FD: descriptor 3 is not a socket"},
		{connected, "3", "PROXY_INHERITED_FD: descriptor 3 is a socket that does not listen"},
		{nil, "199", "PROXY_INHERITED_FD: descriptor 199 is not a socket: bad file descriptor"},
		{nil, "three", "PROXY_INHERITED_FD"}} {
		log := emulator.NewLog()
		cmd := exec.Command(program)
		cmd.Env, cmd.Stderr = append(os.Environ(), append(s.order(), "PROXY_INHERITED_FD="+x.value)...), log
		if x.file != nil {
			cmd.ExtraFiles = []*os.File{x.file}
		}
		require.Error(t, cmd.Run(), x.says)
		require.Contains(t, log.String(), x.says)
		require.NotContains(t, log.String(), `"message":"ready"`)
	}
}

// The operators empty the forwarder: its frontend hears no at PING, a client idle is let go, one in the middle of a
// message is answered and then let go, and the message reaches the endpoint. At the second call it says yes again.
func TestALameDuckSendsClientsAwayAndLosesNoMessage(t *testing.T) {
	s := newStage(t, "single")
	p := s.launch(nil)
	_, text, _ := strings.Cut(p.log.Await(t, `"message":"ready"`), `"listen":"`)
	s.listen, _, _ = strings.Cut(text, `"`)
	idle, midway := s.client(), s.client()
	raw := emulator.Command("MSG.PUT", zero, "d1", "c=status,d=8000,dest=7", "body")
	midway.Write([]byte(raw[:25]))
	s.say(s.client(), emulator.Command("PING"), "+PONG") // the piece has been read by now
	code, said := ask(t, p.admin, "POST", "/_lameduck/on")
	require.Equal(t, http.StatusOK, code, said)
	asker, err := emulator.NewClient(s.listen)
	require.NoError(t, err)
	s.say(asker, emulator.Command("PING"), "-ERR lameduck: this forwarder is being emptied")
	_, err = idle.ReadReply()
	require.ErrorIs(t, err, io.EOF, "an idle client is let go")
	s.say(midway, raw[25:], "+OK")
	_, err = midway.ReadReply()
	require.ErrorIs(t, err, io.EOF, "so is one that was answered")
	require.Equal(t, "d1", s.call().ID)
	code, said = ask(t, p.admin, "POST", "/_lameduck/off")
	require.Equal(t, http.StatusOK, code, said)
	c := s.client() // says +PONG
	s.put(c, zero, "d2", "c=status,d=8000,dest=7", "+OK")
	s.say(c, emulator.Command("PING"), "+PONG") // and keeps its connection
}

// upgrade starts a second process on the same handed-down socket, waits for its yes and tells the first to stop; meanwhile
// is done after the word to stop, before the first has ended.
func (s *stage) upgrade(first *process, socket *os.File, meanwhile func()) *process {
	s.t.Helper()
	second := s.launch(socket)
	require.Eventually(s.t, func() bool { return second.ready(s.t) }, 6*time.Second, 20*time.Millisecond)
	require.NoError(s.t, first.cmd.Process.Signal(syscall.SIGTERM))
	meanwhile()
	select {
	case err := <-first.ended:
		require.NoError(s.t, err, first.log.String())
	case <-time.After(4 * time.Second):
		s.t.Fatalf("the first process did not end; log:\n%s", first.log.String())
	}
	second.log.Await(s.t, `"message":"ready"`)
	return second
}

// handedDown is a listening socket as the platform hands it down.
func (s *stage) handedDown() *os.File {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(s.t, err)
	socket, err := l.(*net.TCPListener).File()
	require.NoError(s.t, err)
	l.Close()
	s.listen = l.Addr().String()
	return socket
}

// An endpoint taken out by hand gets nothing new, also from the process that replaces the first, until it is put back;
// an id that nobody has is owed a no.
func TestAnEndpointOutByHandStaysOutOverAnUpgrade(t *testing.T) {
	s := newStage(t, "single")
	socket := s.handedDown()
	first := s.launch(socket)
	first.log.Await(t, `"message":"ready"`)
	code, said := ask(t, first.admin, "POST", "/_targets/detach?name=nobody")
	require.Equal(t, http.StatusNotFound, code, said)
	for range 2 { // two calls out need one call back
		code, said = ask(t, first.admin, "POST", "/_targets/detach?name=s1")
		require.Equal(t, http.StatusOK, code, said)
	}
	c := s.client()
	s.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	second := s.upgrade(first, socket, func() {})
	c = s.client()
	s.put(c, zero, "d2", "c=status,d=20000,dest=7", "+OK")
	select {
	case call := <-s.target.Calls:
		t.Fatalf("%s went to a target out by hand; log:\n%s", call.ID, second.log.String())
	case <-time.After(time.Second):
	}
	code, said = ask(t, second.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, said)
	got := []string{s.call().ID, s.call().ID}
	require.ElementsMatch(t, []string{"d1", "d2"}, got)
}

// vars reads the figures as a map of names to values.
func vars(t *testing.T, addr string) map[string]string {
	code, text := ask(t, addr, "GET", "/_vars")
	require.Equal(t, http.StatusOK, code, text)
	got := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		name, value, found := strings.Cut(line, ":")
		require.True(t, found, line)
		got[name] = value
	}
	return got
}

// The figures agree with a count that the test keeps: messages delivered, turned away at the door, written to the
// endpoint, owed, and endpoints listed and out by hand.
func TestTheFiguresAgreeWithWhatHappened(t *testing.T) {
	s := newStage(t, "single")
	p := s.launch(nil)
	_, text, _ := strings.Cut(p.log.Await(t, `"message":"ready"`), `"listen":"`)
	s.listen, _, _ = strings.Cut(text, `"`)
	c := s.client()
	for i := range 5 {
		s.put(c, zero, fmt.Sprint("d", i), "c=status,d=8000,dest=7", "+OK")
		s.call()
	}
	s.put(c, zero, "late", "c=status,d=0,dest=7", "-BUSY 2000")
	require.Eventually(t, func() bool { return vars(t, p.admin)["proxy.fulfilled.status"] == "5|c" }, 5*time.Second, 20*time.Millisecond)
	got := vars(t, p.admin)
	for name, want := range map[string]string{"proxy.throttled.status": "1|c", "proxy.faulted.status": "0|c",
		"proxy.fulfilled.ticket": "0|c", "proxy.relayed": "5|c", "proxy.open_requests": "0|g",
		"proxy.registry_entries": "2|g", "proxy.out_of_rotation": "0|g", "proxy.cfg_accepted": "0|c"} {
		require.Equal(t, want, got[name], name)
	}
	code, said := ask(t, p.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(t, http.StatusOK, code, said)
	s.put(c, zero, "held", "c=status,d=8000,dest=7", "+OK")
	got = vars(t, p.admin)
	require.Equal(t, "1|g", got["proxy.out_of_rotation"])
	require.Equal(t, "1|g", got["proxy.open_requests"])
}

// An endpoint tells the first process to wait; the process that replaces it in an upgrade heeds the wait, and sends
// again only after it.
func TestARetryAfterToldBeforeAnUpgradeIsHeededAfterIt(t *testing.T) {
	s := newStage(t, "single")
	var told atomic.Int64
	s.target.Do(func(c emulator.Call) emulator.Reply {
		if c.ID == "d1" && told.CompareAndSwap(0, time.Now().UnixNano()) {
			return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "3"}}
		}
		return emulator.Reply{}
	})
	socket := s.handedDown()
	first := s.launch(socket)
	first.log.Await(t, `"message":"ready"`)
	c := s.client()
	s.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	require.Equal(t, "d1", s.call().ID) // told to wait
	s.upgrade(first, socket, func() {})
	again := s.call()
	require.Equal(t, "d1", again.ID)
	require.GreaterOrEqual(t, time.Since(time.Unix(0, told.Load())), 3*time.Second, "sent again within the wait")
}

// An endpoint out by hand stays out when the forwarder is killed and started again on its folder.
func TestAnEndpointOutByHandStaysOutOverAKill(t *testing.T) {
	s := newStage(t, "single")
	first := s.launch(nil)
	first.log.Await(t, `"message":"ready"`)
	code, said := ask(t, first.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(t, http.StatusOK, code, said)
	first.cmd.Process.Kill()
	<-first.ended
	again := s.launch(nil)
	_, text, _ := strings.Cut(again.log.Await(t, `"message":"ready"`), `"listen":"`)
	s.listen, _, _ = strings.Cut(text, `"`)
	s.put(s.client(), zero, "d1", "c=status,d=20000,dest=7", "+OK")
	select {
	case call := <-s.target.Calls:
		t.Fatalf("%s went to a target out by hand", call.ID)
	case <-time.After(time.Second):
	}
	code, said = ask(t, again.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, said)
	require.Equal(t, "d1", s.call().ID)
}
