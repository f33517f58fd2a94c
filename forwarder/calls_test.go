package forwarder

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
	"spanflow/transport"
)

// batchHost is a host that adds the attempts of a scheduler to a batch of calls.
type batchHost struct {
	discardHost
	batch *callBatch
}

func (h batchHost) Send(message *scheduler.Message, endpoint *scheduler.Endpoint, timeout float64) {
	m := &trackedMessage{Message: transport.Message{MessageID: message.ID}, scheduled: message}
	to := &trackedEndpoint{scheduled: endpoint}
	h.batch.add(m, to, time.Duration(timeout*float64(time.Second)))
}

// Guards against calls that the scheduler keeps apart, here for the sum of their bytes, and that the host joins again because
// they go to one endpoint before the host has sent them.
func TestCallsThatSchedulerKeepsApartStayApart(t *testing.T) {
	const callBytes = 100
	batch := &callBatch{}
	config := &Config{Scheduler: scheduler.Settings{
		Types:         []scheduler.MessageType{{Idempotency: scheduler.Idempotent, LatencyObjective: 3, TimeToLive: 20}},
		KindBatchSize: []int{10}, Forwarders: 1, ConcurrencyLimit: 8, QueueCapacity: 100, MaxCallBytes: callBytes,
	}}
	loop := newTestLoop(config, 1, batchHost{batch: batch}, zerolog.Nop())
	destination := loop.scheduler.NewDestination(7)
	loop.scheduler.UpdateEndpoints(false, []scheduler.EndpointUpdate{
		{Endpoint: &scheduler.Endpoint{ID: 1}, Destination: destination, State: scheduler.Ready},
	})
	for id, size := range []int{callBytes / 2, callBytes / 4, callBytes, callBytes / 4} {
		loop.scheduler.Accept(&scheduler.Message{ID: uint64(id), Dest: destination, CallBytes: size}, 0, 20)
	}
	loop.scheduler.Reconcile()
	loop.scheduler.SetTime(101)
	loop.scheduler.Reconcile()
	var joined [][]uint64
	for _, pending := range batch.pending {
		var ids []uint64
		for _, message := range pending.call.Messages {
			ids = append(ids, message.MessageID)
		}
		joined = append(joined, ids)
	}
	require.Equal(t, [][]uint64{{0, 1}, {2}}, joined, "two calls, as many as a new endpoint gets")
}
