package metrics

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

func TestGaugesAreServedWithTheirLabels(t *testing.T) {
	gauges := []transport.Gauge{{Name: "plain", Read: func() float64 { return 1 }},
		{Name: "backlog_documents", Labels: []string{"state", "untried"}, Read: func() float64 { return 2 }},
		{Name: "backlog_documents", Labels: []string{"state", "tried"}, Read: func() float64 { return 3 }}}
	m, err := New("127.0.0.1:0", "", "n1", []string{"resp"}, gauges)
	require.NoError(t, err)
	defer m.Stop()
	answer, err := http.Get("http://" + m.Addr() + "/metrics")
	require.NoError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	for _, line := range []string{`spanflow_plain{forwarder="n1"} 1`,
		`spanflow_backlog_documents{forwarder="n1",state="untried"} 2`,
		`spanflow_backlog_documents{forwarder="n1",state="tried"} 3`} {
		require.Contains(t, string(text), line+"\n")
	}
}
