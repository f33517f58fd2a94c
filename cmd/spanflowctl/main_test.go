package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The tests start the built programs, spanflow with spanflowctl beside it, and speak to them over sockets.

var dir string

func TestMain(m *testing.M) {
	var err error
	if dir, err = os.MkdirTemp("", "spanflow"); err == nil {
		var out []byte
		if out, err = exec.Command("go", "build", "-o", dir+"/", "../spanflow", ".").CombinedOutput(); err != nil {
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

// spanflow runs a command and returns what it printed, errors too, and its exit code.
func spanflow(args ...string) (string, int) {
	out, err := exec.Command(filepath.Join(dir, "spanflow"), args...).CombinedOutput()
	if e, ok := err.(*exec.ExitError); ok {
		return string(out), e.ExitCode()
	}
	return string(out), 0
}

const form = `name = "n1"
[ledger]
folder = "state"
disk = "3MB"
[discovery]
notices = %q
[[fronts]]
listen = %q
[[types]]
name = "status"
repeat = "replayable"
agreed = "3s"
life = "20s"
[[types]]
name = "ticket"
repeat = "numbered"
in_order = true
agreed = "3s"
life = "20s"
memory = "15s"
[[targets]]
uid = "t1"
address = %q
dest = 7
`

// stage is a forwarder by TOML with those around it.
type stage struct {
	t      *testing.T
	file   string
	listen string
	ear    *emulator.Discovery
	target *emulator.Endpoint
	cmd    *exec.Cmd
	log    *emulator.Log
	ended  chan error
}

func (s *stage) await(word string) {
	s.t.Helper()
	s.log.Await(s.t, word)
}

func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, file: filepath.Join(t.TempDir(), "c.toml"), listen: free(t)}
	var err error
	s.ear, err = emulator.NewDiscovery("")
	require.NoError(t, err)
	s.target, err = emulator.NewEndpoint("", nil)
	require.NoError(t, err)
	s.write("")
	return s
}

func (s *stage) write(more string) {
	text := fmt.Sprintf(form, s.ear.Addr, s.listen, s.target.Addr) + more
	require.NoError(s.t, os.WriteFile(s.file+".new", []byte(text), 0o600))
	require.NoError(s.t, os.Rename(s.file+".new", s.file))
}

func (s *stage) start(flags ...string) *stage {
	s.t.Helper()
	s.log = emulator.NewLog()
	cmd := exec.Command(filepath.Join(dir, "spanflow"), append([]string{"run", "--config", s.file}, flags...)...)
	cmd.Stderr = s.log
	require.NoError(s.t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	s.cmd, s.ended = cmd, ended
	s.t.Cleanup(func() { cmd.Process.Kill() })
	s.await(`"message":"ready"`)
	return s
}

func (s *stage) put(id, names string) {
	s.t.Helper()
	c, err := emulator.NewClient(s.listen)
	require.NoError(s.t, err)
	defer c.Close()
	answer, err := c.Put("0000000000000005", id, names, "hello")
	require.NoError(s.t, err)
	require.Equal(s.t, "+OK", answer)
}

func TestAForwarderByFileDeliversReturnsAndEnds(t *testing.T) {
	s := newStage(t).start()
	s.put("a", "c=status,d=5000,dest=7")
	require.Equal(t, "a", (<-s.target.Calls).ID)
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Status: 503} })
	s.put("b", "c=status,d=500,dest=7")
	n := <-s.ear.Notices
	require.Equal(t, []string{"b", "returned"}, []string{n.ID, n.State})
	s.cmd.Process.Signal(syscall.SIGTERM)
	require.NoError(t, <-s.ended)
}

func TestASecondProcessOnAFolderIsRefusedAndAKilledOnesIsTakenOver(t *testing.T) {
	s := newStage(t).start()
	hold := make(chan struct{})
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	s.put("a", "c=ticket,k=1,d=20000,dest=7")
	<-s.target.Calls
	out, code := spanflow("run", "--config", s.file, "--set", "fronts.resp.listen=127.0.0.1:0")
	require.Equal(t, 1, code)
	require.Contains(t, out, fmt.Sprintf("belongs to another running process, pid %d", s.cmd.Process.Pid))
	out, code = spanflow("check", "-c", s.file)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, fmt.Sprintf("belongs to a running process, pid %d", s.cmd.Process.Pid))
	out, code = spanflow("ledger", "list", "-c", s.file, "--json", "--dest", "7", "--key", "5", "--type", "ticket", "--state", "out")
	require.Equal(t, 0, code, out)
	var r struct {
		ID, State, Front string
		Transmissions    int
	}
	require.NoError(t, json.Unmarshal([]byte(out), &r), out)
	require.Equal(t, []any{"a", "out", "resp", 1}, []any{r.ID, r.State, r.Front, r.Transmissions})
	for _, none := range [][]string{{"--dest", "8"}, {"--expires-within", "1s"}, {"--expired-for", "1s"}} {
		out, _ = spanflow(append([]string{"ledger", "list", "-c", s.file, "--json"}, none...)...)
		require.Empty(t, out, none)
	}
	out, _ = spanflow("ledger", "list", "-c", s.file, "--json", "--expires-within", "1m")
	require.Contains(t, out, `"id":"a"`)
	s.cmd.Process.Kill()
	<-s.ended
	close(hold)
	s.target.Do(nil)
	out, code = spanflow("ledger", "show", "a", "-c", s.file)
	require.True(t, code == 0 && strings.Contains(out, `"hello"`), out)
	out, code = spanflow("ledger", "stat", "-c", s.file, "--json")
	require.True(t, code == 0 && strings.Contains(out, `"owed": 1`), out)
	s.start()
	s.await(`"recovered":1`)
	require.Equal(t, "a", (<-s.target.Calls).ID, "sent again within its number's memory")
}

func TestSIGHUPTakesUpWhatMayChangeAndNothingOfWhatIsWrong(t *testing.T) {
	s := newStage(t).start()
	other, err := emulator.NewEndpoint("", nil)
	require.NoError(t, err)
	extra := fmt.Sprintf("[[targets]]\nuid = \"t2\"\naddress = %q\ndest = 8\n", other.Addr)
	s.write(extra + "zone = \"z\"\n")
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.await(`targets[1].zone: \"z\" is none of zones`)
	s.write(extra + "[limits]\nmemory = \"96MB\"\n[metrics]\ntoken_file = \"other\"\n[log]\nformat = \"console\"\n")
	require.NoError(t, os.WriteFile(filepath.Join(filepath.Dir(s.file), "other"), []byte("x"), 0o600))
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.await("INF configuration reloaded")
	s.await(`at_next_start=["metrics","limits"]`)
	s.put("a", "c=status,d=5000,dest=8")
	require.Equal(t, "a", (<-other.Calls).ID)
}

func TestDamageIsToldFromATornEnd(t *testing.T) {
	s := newStage(t).start()
	hold := make(chan struct{})
	defer close(hold)
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	s.put("a", "c=status,d=20000,dest=7")
	s.put("b", "c=status,d=20000,dest=7")
	out, code := spanflow("ledger", "verify", "-c", s.file)
	require.True(t, code == 0 && strings.Contains(out, "sound; 2 documents owed"), out)
	s.cmd.Process.Kill()
	<-s.ended
	files, _ := filepath.Glob(filepath.Join(filepath.Dir(s.file), "state", "*.ledger"))
	file := files[len(files)-1]
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, text[:len(text)-3], 0o600))
	out, code = spanflow("ledger", "verify", "-c", s.file)
	require.True(t, code == 0 && strings.Contains(out, "a torn end"), out)
	text[40] ^= 1
	require.NoError(t, os.WriteFile(file, text, 0o600))
	out, code = spanflow("ledger", "verify", "-c", s.file)
	require.True(t, code == 1 && strings.Contains(out, "a record fails its checksum"), out)
}

func TestMetricsAreServedToWhoShowsTheToken(t *testing.T) {
	s := newStage(t)
	token := filepath.Join(filepath.Dir(s.file), "token")
	require.NoError(t, os.WriteFile(token, []byte("hush\n"), 0o600))
	addr := free(t)
	s.start("--set", "metrics.listen="+addr, "--set", "metrics.token_file=token")
	s.put("a", "c=status,d=5000,dest=7")
	<-s.target.Calls
	get := func(bearer string) (int, string) {
		r, _ := http.NewRequest("GET", "http://"+addr+"/metrics", nil)
		r.Header.Set("Authorization", bearer)
		a, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		defer a.Body.Close()
		b, _ := io.ReadAll(a.Body)
		return a.StatusCode, string(b)
	}
	code, _ := get("Bearer other")
	require.Equal(t, http.StatusUnauthorized, code)
	require.Eventually(t, func() bool {
		_, text := get("Bearer hush")
		return strings.Contains(text, `spanflow_documents_total{forwarder="n1",front="resp",answer="taken"} 1`) &&
			strings.Contains(text, `spanflow_final_answers_total{forwarder="n1",outcome="delivered"} 1`) &&
			strings.Contains(text, `spanflow_held_documents{forwarder="n1"} 0`) && strings.Contains(text, "spanflow_document_seconds_bucket")
	}, 5*time.Second, 20*time.Millisecond)
	require.NotContains(t, s.log.String(), "hush")
}

func TestTheCommandsTellWhatIsWrongWithThem(t *testing.T) {
	s := newStage(t)
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[limits]\nmemroy = \"1MB\"\n"), 0o600))
	for _, c := range []struct {
		args []string
		code int
		says string
	}{{[]string{"frob"}, 2, `unknown command "frob"`}, {[]string{"run", "--frob"}, 2, "unknown flag"}, {[]string{"ledger", "show"}, 2, "accepts 1 arg"},
		{[]string{"check"}, 1, "no configuration"}, {[]string{"check", "-c", bad}, 1, bad + ":2: limits.memroy: unknown key; memory may be meant"},
		{[]string{"run", "-c", bad}, 1, bad + ":2: limits.memroy"}, {[]string{"config", "show", "-c", bad}, 1, "limits.memroy"},
		{[]string{"check", "-c", s.file}, 0, "fine"}, {[]string{"check", "-c", s.file, "--json"}, 0, `"fine": true`},
		{[]string{"config", "show", "-c", s.file, "--set", "limits.cores=2"}, 0, "flag --set"},
		{[]string{"config", "show", "-c", s.file, "--json"}, 0, `"change": "reload"`}, {[]string{"config", "schema"}, 0, `"memory"`},
		{[]string{"ledger", "list", "-f", "/nowhere"}, 1, "no such file"}, {[]string{"ledger", "list"}, 1, "no folder"},
		{[]string{"ledger", "list", "-f", ".", "--dest", "x"}, 1, `--dest: "x" is not a number`},
		{[]string{"ledger", "list", "-f", ".", "--state", "x"}, 1, `--state: "x" is none of`},
		{[]string{"ledger", "show", "x", "-f", "."}, 1, "owes no document"}, {[]string{"version", "--json"}, 0, `"go"`},
		{[]string{"completion", "bash"}, 0, "spanflow"}, {[]string{"completion", "zsh"}, 0, "compdef"}, {[]string{"completion", "fish"}, 0, "complete"},
		{[]string{"--help"}, 0, "Exit codes"}, {[]string{"help", "ledger", "list"}, 0, "may-have-run"}} {
		out, code := spanflow(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.says, c.args)
	}
}
