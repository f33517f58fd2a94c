package forwarder_test

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/backlog"
	"spanflow/internal/emulator"
)

// backlogConfig is a configuration with placeholders for the address of discovery, the folder, the last known list, and
// the time to live of the only message type in milliseconds.
const backlogConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964","state":%q,
"limits":{"cores":4,"memory_mb":192,"sockets":1024,"disk_mb":64},"known":%s,
"settings":{"Azs":["a"],"Kinds":["k"],"Classes":[{"Name":"event","Idempotency":"retryable","Slo":3000,"HardLimit":%d,"Sequential":true}],
"Extra":{"CallsOut":64,"KindBatch":[1]},"Guarantees":{"Cold":100,"ColdFrom":1,"FallMultiple":10,"KeyRest":1},
"Limits":{"AttemptsCap":1000000,"MaxOpen":2000,"RetryAfter":true,"MaxRetryAfter":2000,"ConnIdle":10000,"ConnectTimeout":1500},
"Report":{"Fields":[]},"Discovery":"ask","WeightKind":"silent","NInstances":1,"Tenants":[]}}`

// backlogFixture is a forwarder with a backlog store, two destinations with an endpoint each, and a client.
type backlogFixture struct {
	t           *testing.T
	discovery   *emulator.Discovery
	endpoints   [2]*emulator.Endpoint
	folder      string
	store       string
	timeToLive  time.Duration
	adjust      func(*forwarder.Backlog)
	addr        string
	client      *emulator.Client
	stopRunning func()

	mu         sync.Mutex
	calls      map[string]int // by message id
	deliveries []string       // ids, in the order of their first answered calls
}

func newBacklogFixture(t *testing.T) *backlogFixture {
	f := &backlogFixture{
		t:          t,
		folder:     t.TempDir(),
		store:      filepath.Join(t.TempDir(), "backlog"),
		timeToLive: 5 * time.Minute,
		calls:      map[string]int{},
	}
	var list []emulator.Entry
	for i := range f.endpoints {
		endpoint, err := emulator.NewEndpoint("", f.serve)
		require.NoError(t, err)
		go func() {
			for range endpoint.Calls {
			}
		}()
		f.endpoints[i] = endpoint
		list = append(list, emulator.Entry{
			UID: fmt.Sprint("t", i), Endpoint: endpoint.Addr, Zone: "a", Kind: "k", Destination: i, State: "active",
		})
	}
	var err error
	f.discovery, err = emulator.NewDiscovery("", list...)
	require.NoError(t, err)
	t.Cleanup(func() { f.stop() })
	return f
}

// serve answers a call and counts it.
func (f *backlogFixture) serve(c emulator.Call) emulator.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls[c.ID]++; f.calls[c.ID] == 1 {
		f.deliveries = append(f.deliveries, c.ID)
	}
	return emulator.Reply{}
}

func answer500(emulator.Call) emulator.Reply { return emulator.Reply{Status: 500} }

func (f *backlogFixture) delivered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.deliveries)
}

func (f *backlogFixture) config() *forwarder.Config {
	text := fmt.Appendf(nil, backlogConfig, f.discovery.Addr, f.folder, f.discovery.Known(), f.timeToLive.Milliseconds())
	config := readConfig(f.t, text)
	config.Backlog = &forwarder.Backlog{Folder: f.store, Bytes: 64 << 20, Window: 10, Behind: 20}
	if f.adjust != nil {
		f.adjust(config.Backlog)
	}
	return config
}

func (f *backlogFixture) start() {
	addr, stop := startForwarder(f.t, f.config(), nil, io.Discard)
	f.addr = addr
	f.stopRunning = func() {
		f.disconnect()
		stop()
	}
}

func (f *backlogFixture) disconnect() {
	if f.client != nil {
		f.client.Close()
		f.client = nil
	}
}

func (f *backlogFixture) stop() {
	if f.stopRunning != nil {
		f.stopRunning()
		f.stopRunning = nil
	}
}

// put submits a message and returns the answer. It reconnects if the connection was closed as idle.
func (f *backlogFixture) put(destination, key, number int) string {
	for range 3 {
		if f.client == nil {
			var err error
			f.client, err = emulator.NewClient(f.addr)
			require.NoError(f.t, err)
		}
		answer, err := f.client.Put(fmt.Sprintf("%016x", key), messageID(number),
			fmt.Sprintf("c=event,d=%d,dest=%d", f.timeToLive.Milliseconds(), destination), "body")
		if err == nil {
			return answer
		}
		f.disconnect()
	}
	require.Fail(f.t, "no answer")
	return ""
}

func messageID(number int) string { return fmt.Sprintf("%016x", number) }

// fill submits messages of several keys for a destination.
func (f *backlogFixture) fill(destination, from, to int) {
	for number := from; number < to; number++ {
		require.Equal(f.t, "+OK", f.put(destination, 1+100*destination+number%7, number))
	}
}

// stored returns the statistics of the store.
func (f *backlogFixture) stored() *backlog.Stats {
	view, err := backlog.Inspect(backlog.OS{}, f.store)
	require.NoError(f.t, err)
	defer view.Close()
	stats, err := view.Stats()
	require.NoError(f.t, err)
	return stats
}

// requireEachOnceInOrder checks that each message was delivered once, and that messages of one key were delivered in
// the order of admission.
func (f *backlogFixture) requireEachOnceInOrder(count int) {
	require.Eventually(f.t, func() bool { return f.delivered() >= count }, time.Minute, 10*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	last := map[int]int{}
	for _, id := range f.deliveries {
		var number int
		fmt.Sscanf(id, "%x", &number)
		require.Less(f.t, last[number%7], number+1, "messages of a key keep their order")
		last[number%7] = number
		require.Equal(f.t, 1, f.calls[id])
	}
	require.Len(f.t, f.deliveries, count)
}

// deliveredIDs returns the ids of the delivered messages, in the order of delivery.
func (f *backlogFixture) deliveredIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.deliveries)
}

// storedIDs returns the ids of the stored messages for a destination, in the order of admission.
func (f *backlogFixture) storedIDs(destination uint64) (ids []string) {
	view, err := backlog.Inspect(backlog.OS{}, f.store)
	require.NoError(f.t, err)
	defer view.Close()
	ofDestination := func(lane backlog.Lane) bool { return lane.Destination == destination }
	require.NoError(f.t, view.Each(ofDestination, func(m *backlog.Message) error {
		ids = append(ids, m.ID)
		return nil
	}))
	return ids
}
