package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	cutLength         = 8 * time.Second
	cutChangeAfter    = 200 * time.Millisecond // from the begin of the cut to the change of the list
	cutUnnoticed      = time.Second            // from the begin of the cut to an event before the silence is noticed
	cutNoticed        = 4 * time.Second        // to an event after that
	cutSubmitInterval = 20 * time.Millisecond
	movedTerm         = 4 * time.Second // after which changes at an agent's new address count as known
)

// cutTest is a forwarder whose discovery is cut off while its only endpoint of destination 7 is replaced.
type cutTest struct {
	*harness
	kind        emulator.CutKind
	pushed      bool
	process     *adminProcess
	cutAt       time.Time
	knownAt     time.Time // when the replacement counts as known at the latest
	replacement *emulator.Endpoint

	mu       sync.Mutex
	lastCall time.Time // of the endpoint that has left
}

// cutEvents are what happens to the forwarder while discovery is cut off.
var cutEvents = map[string]func(*cutTest){
	"nothing":         func(*cutTest) {},
	"SIGKILL":         (*cutTest).killAndRestart,
	"SIGTERM":         (*cutTest).stopAndRestart,
	"upgrade":         (*cutTest).upgradeOnce,
	"two upgrades":    func(c *cutTest) { c.upgradeOnce(); c.upgradeOnce() },
	"move by SIGHUP":  (*cutTest).move,
	"another drained": (*cutTest).drainOther,
}

// Guards against review case 6: discovery was cut off, and messages went to an endpoint whose removal counted as known by
// then, and whose address belonged to another destination.
func TestNoCallToReplacedEndpointWhileDiscoveryIsCutOff(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, kind := range []emulator.CutKind{emulator.CutUnreachable, emulator.CutUnanswered} {
			for name, event := range cutEvents {
				for _, after := range []time.Duration{cutUnnoticed, cutNoticed} {
					if kind == emulator.CutUnanswered && after == cutUnnoticed {
						continue // nothing was asked so far
					}
					t.Run(fmt.Sprintf("%s after %s, %s, pushed %v", name, after, kind, pushed), func(t *testing.T) {
						t.Parallel()
						newCutTest(t, kind, pushed, strings.Contains(name, "upgrade")).run(after, event)
					})
				}
			}
		}
	}
}

func newCutTest(t *testing.T, kind emulator.CutKind, pushed, upgrades bool) *cutTest {
	c := &cutTest{harness: newHarness(t, "single"), kind: kind, pushed: pushed}
	c.replacements = []string{`"KeyRest":100`, fmt.Sprintf(`"KeyRest":100,"DrainGrace":%d`, agentGrace.Milliseconds())}
	if pushed {
		c.replacements = append(c.replacements, agentSettings...)
	}
	if upgrades {
		c.listenSocket = c.inheritedSocket()
	} else {
		c.address = emulator.FreeAddress(t)
		c.listen = c.address
	}
	var err error
	c.replacement, err = emulator.NewEndpoint("", nil)
	require.NoError(t, err)
	c.endpoint.Do(func(emulator.Call) emulator.Reply {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastCall = time.Now()
		return emulator.Reply{}
	})
	c.knownList = c.discovery.Known()
	return c
}

func (c *cutTest) run(eventAfter time.Duration, event func(*cutTest)) {
	c.process = c.startWithAdmin(c.listenSocket)
	c.process.AwaitReady(c.t)
	client := c.client()
	c.awaitList(client) // also makes discovery write a line
	_ = client.Close()
	end := make(chan struct{})
	var submitting sync.WaitGroup
	submitting.Go(func() { c.submit(end) })
	c.cutAt = time.Now()
	c.knownAt = c.cutAt.Add(noticeTerm)
	c.discovery.Cut(c.kind, cutLength)
	time.Sleep(cutChangeAfter)
	c.replaceEndpoint(c.discovery)
	time.Sleep(time.Until(c.cutAt.Add(eventAfter)))
	c.mu.Lock()
	require.Less(c.t, time.Since(c.lastCall), 2*time.Second, "calls go on while the change does not count as known")
	c.mu.Unlock()
	event(c)
	time.Sleep(time.Until(c.cutAt.Add(cutLength)))
	awaitNext(c.harness, c.replacement.Calls, "call to the replacement")
	close(end)
	submitting.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := c.knownAt.Add(agentGrace + socketSlack)
	require.False(c.t, c.lastCall.After(bound), "the last call came %s after the end of the grace; log:\n%s",
		c.lastCall.Sub(bound), c.harness.process.Log)
}

// replaceEndpoint replaces the endpoint of destination 7 in a list.
func (c *cutTest) replaceEndpoint(d *emulator.Discovery) {
	leaving := c.activeEntry("s1", 7)
	leaving.State = "leaving"
	d.Set(leaving)
	fresh := c.activeEntry("s2", 7)
	fresh.Endpoint = c.replacement.Addr
	d.Set(fresh)
}

// submit submits messages for destination 7 until end is closed, on a new connection whenever one has ended.
func (c *cutTest) submit(end chan struct{}) {
	var client *emulator.Client
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(cutSubmitInterval):
		}
		var err error
		if client == nil {
			if client, err = emulator.NewClient(c.listen); err != nil {
				client = nil
				continue
			}
		}
		if _, err = client.Put(noKey, fmt.Sprint("m", n), "c=status,d=2000,dest=7", "body"); err != nil {
			_ = client.Close()
			client = nil
		}
	}
}

func (c *cutTest) killAndRestart() {
	c.process.Kill()
	c.restart()
}

func (c *cutTest) stopAndRestart() {
	require.NoError(c.t, c.process.Signal(syscall.SIGTERM))
	require.NoError(c.t, c.process.Wait())
	c.restart()
}

func (c *cutTest) restart() {
	time.Sleep(listSoakRestartPause)
	c.process = c.startWithAdmin(nil)
	c.process.AwaitReady(c.t)
}

func (c *cutTest) upgradeOnce() {
	c.process = c.upgrade(c.process, c.listenSocket, func() {})
}

// move moves the configuration to another discovery, which has the same list and is cut off too.
func (c *cutTest) move() {
	other, err := emulator.NewDiscovery("", c.activeEntry("s1", 7))
	require.NoError(c.t, err)
	c.replaceEndpoint(other)
	other.Cut(c.kind, time.Until(c.cutAt.Add(cutLength)))
	text, err := os.ReadFile(c.configFile)
	require.NoError(c.t, err)
	moved := strings.Replace(string(text), c.discovery.Addr, other.Addr, 1)
	require.NoError(c.t, os.WriteFile(c.configFile, []byte(moved), 0o600))
	c.reload(logReloaded)
	if known := time.Now().Add(movedTerm); c.pushed && known.Before(c.knownAt) {
		c.knownAt = known
	}
}

// drainOther drains an endpoint of another destination.
func (c *cutTest) drainOther() {
	status, text := callAdmin(c.t, c.process.admin, "POST", "/_targets/detach?name=s0")
	require.Equal(c.t, 200, status, text)
}
