package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// Stories of many forwarders at once: what is harmless in one may be harmful in all.

// member is one forwarder of a fleet on the stage's endpoint and discovery, with a folder of its own.
type member struct {
	stage
	*process
}

// fleet starts so many forwarders.
func (s *stage) fleet(n int) []*member {
	var all []*member
	for range n {
		m := &member{stage: *s}
		m.folder = s.t.TempDir()
		m.process = m.launch(nil)
		all = append(all, m)
	}
	for _, m := range all {
		m.await()
	}
	return all
}

// await waits until a member serves and takes down where.
func (m *member) await() {
	_, text, _ := strings.Cut(m.process.log.Await(m.t, `"message":"ready"`), `"listen":"`)
	m.listen, _, _ = strings.Cut(text, `"`)
}

// Seven of ten forwarders are killed at once with messages out and messages held, and started again on their folders:
// each message ends once, by delivery or by a notice, and none that must not run twice is sent twice.
func TestMostOfAFleetKilledAtOnceAnswersEveryMessageOnce(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	var mu sync.Mutex
	came, delivered := map[string]int{}, map[string]int{}
	s.target.Do(func(c emulator.Call) emulator.Reply {
		mu.Lock()
		defer mu.Unlock()
		came[c.ID]++
		select {
		case <-hold:
			delivered[c.ID]++
			return emulator.Reply{}
		default:
			return emulator.Reply{Hold: hold} // whoever asked has gone by then, or hears it
		}
	})
	fleet := s.fleet(10)
	var ids []string
	for i, m := range fleet {
		c := m.client()
		for j, kind := range []string{"status", "payment", "ticket", "status", "payment"} {
			id := fmt.Sprintf("d%d-%d-%s", i, j, kind)
			m.put(c, zero, id, fmt.Sprintf("c=%s,d=15000,dest=7,k=m%d-%d", kind, i, j), "+OK")
			ids = append(ids, id)
		}
		c.Close()
	}
	require.Eventually(t, func() bool { // some are out at each
		mu.Lock()
		defer mu.Unlock()
		return len(came) >= 2*len(fleet)
	}, 10*time.Second, 10*time.Millisecond)
	mu.Lock()
	outAtKill := map[string]bool{}
	for id := range came {
		outAtKill[id] = true
	}
	mu.Unlock()
	for _, m := range fleet[:7] {
		m.process.cmd.Process.Kill()
	}
	for _, m := range fleet[:7] {
		<-m.process.ended
	}
	close(hold)
	for _, m := range fleet[:7] {
		m.process = m.launch(nil)
	}
	for _, m := range fleet[:7] {
		m.await()
	}
	noticed := map[string]int{}
	require.Eventually(t, func() bool {
		for {
			select {
			case n := <-s.discovery.Notices:
				noticed[n.ID]++
				continue
			default:
			}
			break
		}
		mu.Lock()
		defer mu.Unlock()
		for _, id := range ids {
			survivor := strings.HasPrefix(id, "d7-") || strings.HasPrefix(id, "d8-") || strings.HasPrefix(id, "d9-")
			if noticed[id]+delivered[id] == 0 && !(survivor && outAtKill[id]) { // those heard the answer that was held
				return false
			}
		}
		return true
	}, 20*time.Second, 20*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range ids {
		require.LessOrEqual(t, noticed[id]+delivered[id], 1, "%s: %d notices, %d deliveries after the kill", id, noticed[id], delivered[id])
		if strings.HasSuffix(id, "payment") {
			require.LessOrEqual(t, came[id], 1, "%s must not run twice", id)
		}
	}
}
