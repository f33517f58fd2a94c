package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	letGoBound       = 4 * time.Second // from the call or signal to the end of each client's connection
	pipelineInterval = 100 * time.Millisecond
	pipelinedAWrite  = 3
	beforeLetGo      = time.Second // for which the clients submit undisturbed
)

// pipeliner is a client that submits several messages in each write, which ends within a command, for as long as its
// connection stays open.
type pipeliner struct {
	client   *emulator.Client
	accepted atomic.Int32
	ended    chan time.Time
}

func (h *harness) newPipeliner(name string) *pipeliner {
	client, err := emulator.NewClient(h.listen)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { client.Close() })
	p := &pipeliner{client: client, ended: make(chan time.Time, 1)}
	go p.write(name)
	go p.read()
	return p
}

func (p *pipeliner) write(name string) {
	pending := ""
	for n := 0; ; n++ {
		for i := range pipelinedAWrite {
			pending += emulator.Command("MSG.PUT", noKey, fmt.Sprintf("%s-%d-%d", name, n, i), "c=status,d=20000,dest=7", "body")
		}
		cut := len(pending) - 1 - n%60
		if _, err := io.WriteString(p.client, pending[:cut]); err != nil {
			return
		}
		pending = pending[cut:]
		time.Sleep(pipelineInterval)
	}
}

func (p *pipeliner) read() {
	for {
		line, err := p.client.ReadReply()
		if err != nil {
			p.ended <- time.Now()
			return
		}
		if line == "+OK" {
			p.accepted.Add(1)
		}
	}
}

// Guards against review case 8: a forwarder that was being emptied kept the connections of clients that always had a command
// under way.
func TestPipeliningClientsAreLetGo(t *testing.T) {
	for name, letGo := range map[string]func(h *harness, p *adminProcess){
		"lame duck": func(h *harness, p *adminProcess) { h.lameDuck(p, "on") },
		"lame duck, twice": func(h *harness, p *adminProcess) {
			h.lameDuck(p, "on")
			h.lameDuck(p, "on")
		},
		"lame duck, off and on": func(h *harness, p *adminProcess) {
			h.lameDuck(p, "on")
			h.lameDuck(p, "off")
			h.lameDuck(p, "on")
		},
		"SIGTERM": func(h *harness, p *adminProcess) { require.NoError(h.t, p.Signal(syscall.SIGTERM)) },
		"lame duck, then SIGTERM": func(h *harness, p *adminProcess) {
			h.lameDuck(p, "on")
			require.NoError(h.t, p.Signal(syscall.SIGTERM))
		},
		"upgrade": func(h *harness, p *adminProcess) {
			h.startSuccessor(h.listenSocket)
			require.NoError(h.t, p.Signal(syscall.SIGTERM))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "single")
			if name == "upgrade" {
				h.listenSocket = h.inheritedSocket()
			}
			p := h.startWithAdmin(h.listenSocket)
			if listen := p.AwaitReady(t); h.listenSocket == nil {
				h.listen = listen
			}
			var clients []*pipeliner
			for n := range 3 {
				clients = append(clients, h.newPipeliner(fmt.Sprint("c", n)))
			}
			time.Sleep(beforeLetGo)
			begun := time.Now()
			letGo(h, p)
			accepted := 0
			for _, c := range clients {
				select {
				case at := <-c.ended:
					require.Less(t, at.Sub(begun), letGoBound)
				case <-time.After(letGoBound + time.Second):
					t.Fatalf("a connection is still open; log:\n%s", p.Log)
				}
				accepted += int(c.accepted.Load())
			}
			if strings.HasPrefix(name, "lame duck") && !strings.Contains(name, "SIGTERM") {
				require.NoError(t, p.Signal(syscall.SIGTERM))
			}
			require.NoError(t, p.Wait())
			require.Positive(t, accepted)
			require.True(t, p.Log.Has(fmt.Sprintf(`"taken":%d,`, accepted)),
				"each message that was accepted was answered, %d; log:\n%s", accepted, p.Log)
		})
	}
}

// lameDuck switches lame duck mode on or off.
func (h *harness) lameDuck(p *adminProcess, word string) {
	h.t.Helper()
	status, text := callAdmin(h.t, p.admin, "POST", "/_lameduck/"+word)
	require.Equal(h.t, http.StatusOK, status, text)
}
