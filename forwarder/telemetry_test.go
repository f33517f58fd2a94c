package forwarder_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

func TestLogsTracedMessages(t *testing.T) {
	f := newFixture(t)
	f.config.Log.Keys = []uint64{5}
	f.start()
	for i, key := range []uint64{5, 6} {
		c := f.submit(transport.Submission{ID: fmt.Sprint("message", i), Key: key, Type: "payment", Destination: 7})
		<-c.reply
		f.finishNext(transport.ResultOK)
		<-c.final
	}
	f.stop()
	seen := map[string]int{}
	for line := range strings.Lines(f.log.String()) {
		var l struct{ Message, ID string }
		require.NoError(t, json.Unmarshal([]byte(line), &l))
		if strings.HasPrefix(l.Message, "trace: ") {
			seen[l.ID]++
		}
	}
	require.Equal(t, map[string]int{"message0": 3}, seen)
}

// outcomeRecorder records the outcomes of final answers.
type outcomeRecorder struct {
	mu   sync.Mutex
	seen []transport.Outcome
}

func (r *outcomeRecorder) SubmissionAnswered(string, transport.Status)      {}
func (r *outcomeRecorder) AttemptEnded(transport.ResultCode, time.Duration) {}
func (r *outcomeRecorder) FinalAnswered(outcome transport.Outcome, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, outcome)
}
func (r *outcomeRecorder) LoopTurn(int, time.Duration) {}
func (r *outcomeRecorder) Addr() string                { return "" }
func (r *outcomeRecorder) Stop()                       {}

// A message that an endpoint reports as gone ends as failed. The metrics count it as the operators' figures do.
func TestMetricsCountEveryFinalAnswerOnce(t *testing.T) {
	f := newFixture(t)
	recorder := &outcomeRecorder{}
	f.config.Metrics = "in the test"
	f.config.Recorder = func(string, string, []string, []transport.Gauge) (transport.Recorder, error) {
		return recorder, nil
	}
	f.start()
	for _, end := range []transport.ResultCode{transport.ResultOK, transport.ResultGone} {
		c := f.submit(transport.Submission{ID: end.String(), Type: "status", Destination: 7})
		require.Equal(t, transport.StatusAccepted, (<-c.reply).Status)
		f.finishNext(end)
		<-c.final
	}
	f.stop()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	require.Equal(t, []transport.Outcome{transport.Delivered, transport.Failed}, recorder.seen)
}

// Guards against a log that does not explain an incident: how a call ended, and why a message was not delivered.
func TestLogsIDsAndReasonsOfFailures(t *testing.T) {
	f := newFixture(t).start()
	f.submit(transport.Submission{ID: "p1", Type: "payment", Destination: 7})
	f.finishNext(transport.ResultTimeout)
	call := f.log.Await(t, `"message":"call failed"`)
	require.Contains(t, call, `"ids":["p1"],"result":"given up"`)
	answer := f.log.Await(t, `"message":"not delivered"`)
	require.Contains(t, answer, `"id":"p1","outcome":"abandoned","reason":"a repeat is not safe"`)
	f.submit(transport.Submission{ID: "x1", Type: "payment", Destination: 8})
	require.Contains(t, f.log.Await(t, `"message":"submission refused"`), `"reason":"unknown destination"`)
}
