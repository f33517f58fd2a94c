package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	runCommand   = "exec bin/spanflow" // run in deploy/balancer.toml
	readyTimeout = 30 * time.Second    // the pages allow a forwarder this long until it is ready
	callTimeout  = time.Second         // an operators' call is answered within this time
	pollInterval = 5 * time.Millisecond
)

// settings are those of partner-send, in the platform's form.
const settings = `{"Azs":["austin-dc"],"Kinds":["maker-portals","parts-vendors","insurers"],
"Classes":[
{"Name":"ticket-update","Group":"all","Idempotency":"dedup","Sequential":true,"Slo":3000,"HardLimit":24000,"MemorySpan":15000,"LateShare":0.5,"Worth":1}],
"Extra":{"CallsOut":8,"Decay":"line","KindBatch":[10,1,1],"SeparateRoutes":[false,false,false]},
"Guarantees":{"AskWithin":10000,"Cold":10000,"ColdFrom":0.17,"DrainGrace":1000,"FallMultiple":2,"GraceToAnswer":20,"KeyRest":100,"OverloadFor":1500},
"Limits":{"AttemptsCap":6,"Cancel":true,"ConnIdle":10000,"ConnectTimeout":1500,"MaxOpen":186,"MaxRetryAfter":2000,"RetryAfter":true,"StreamsPerConn":1},
"Report":{"Fields":["x0","x1"],"Source":"piggyback"},"Discovery":"ask","WeightKind":"silent",
"NInstances":3,"Me":0,"MyZone":0,"Tenants":[],"ClientHabits":{"MarksRetry":true}}`

// forwarder is one forwarder as the platform starts it: its addresses, its folder and its processes.
type forwarder struct {
	record    *record
	folder    string // temporary; has the configuration, the state and the logs
	listen    string
	discovery string
	socket    *os.File // the clients' socket that the platform holds; nil without upgrades
	started   int      // number of processes started
	processes []*process
}

// process is one process of a forwarder.
type process struct {
	name    string
	admin   string // operators' address
	command *exec.Cmd
	ended   chan struct{}
}

// startedProcesses are the processes that have not ended.
var startedProcesses sync.Map

// killAll kills all processes that have not ended.
func killAll() {
	startedProcesses.Range(func(p, _ any) bool {
		_ = p.(*process).command.Process.Kill()
		return true
	})
}

// newForwarder returns a forwarder without a process. If inherited is set, the platform holds the clients' socket.
func newForwarder(r *record, discovery string, inherited bool) (*forwarder, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &forwarder{record: r, folder: folder, discovery: discovery}
	if err := os.Mkdir(filepath.Join(folder, "state"), 0o700); err != nil {
		return nil, err
	}
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	f.listen = listener.Addr().String()
	if inherited {
		f.socket, err = listener.(*net.TCPListener).File()
	}
	return f, err
}

// listeners is the number of calls of listen.
var listeners atomic.Int32

// listen listens on a free port of a loopback address that belongs to this process and this call, so that nobody else
// takes the port once the listener is closed.
func listen() (net.Listener, error) {
	pid := os.Getpid()
	return net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>8&63, pid&255, 1+listeners.Add(1)%250))
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start starts a process with the list that the forwarder last had. It does not wait until the process is ready.
func (f *forwarder) start(known []byte) (*process, error) {
	f.started++
	p := &process{name: fmt.Sprintf("process %d", f.started), ended: make(chan struct{})}
	var err error
	if p.admin, err = freeAddress(); err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": f.listen, "discovery": f.discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.folder, fmt.Sprintf("config-%d.json", f.started))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.folder, fmt.Sprintf("log-%d.txt", f.started)))
	if err != nil {
		return nil, err
	}
	p.command = exec.Command("/bin/sh", "-c", runCommand)
	p.command.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_STATE="+filepath.Join(f.folder, "state"),
		"PROXY_NAME=n1", "PROXY_LISTEN="+f.listen, "PROXY_DISCOVERY="+f.discovery, "PROXY_ADMIN="+p.admin)
	if f.socket != nil {
		p.command.ExtraFiles = []*os.File{f.socket}
		p.command.Env = append(p.command.Env, "PROXY_INHERITED_FD=3")
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	f.processes = append(f.processes, p)
	startedProcesses.Store(p, true)
	go func() {
		err := p.command.Wait()
		f.record.note("%s ended: %v", p.name, err)
		startedProcesses.Delete(p)
		close(p.ended)
		_ = log.Close()
	}()
	f.record.note("%s started, operators' address %s", p.name, p.admin)
	return p, nil
}

// startServing starts a process and waits until it answers PING.
func (f *forwarder) startServing(known []byte) (*process, error) {
	p, err := f.start(known)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if f.ping() == "+PONG" {
			f.record.note("%s serves clients", p.name)
			return p, nil
		}
	}
	return nil, errors.New("the forwarder was not ready in time")
}

// ping asks the forwarder at the clients' address, on a connection of its own, and returns the answer; it is empty if
// there is none.
func (f *forwarder) ping() string {
	c, err := connect(f.listen)
	if err != nil {
		return ""
	}
	defer c.conn.Close()
	answer, err := c.send(command("PING"))
	if err != nil {
		return ""
	}
	return answer
}

// signal sends a signal to a process and records it.
func (f *forwarder) signal(p *process, s syscall.Signal) error {
	f.record.note("%s gets %s", p.name, s)
	return p.command.Process.Signal(s)
}

// call makes an operators' call to a process and returns its status, 0 if it got no answer.
func (f *forwarder) call(p *process, method, path string) int {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		f.record.note("operator: %s %s at %s: no answer: %v", method, path, p.name, err)
		return 0
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	f.record.note("operator: %s %s at %s: %d %s", method, path, p.name, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode
}

// stop kills all processes and removes the folder. If LOGS names a folder, the logs are kept there.
func (f *forwarder) stop() {
	for _, p := range f.processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if logs := os.Getenv("LOGS"); logs != "" {
		_ = os.CopyFS(filepath.Join(logs, filepath.Base(f.folder)), os.DirFS(f.folder))
	}
	if f.socket != nil {
		_ = f.socket.Close()
	}
	_ = os.RemoveAll(f.folder)
}
