package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

func TestResultCodesOfAnswers(t *testing.T) {
	one := &transport.Call{Messages: make([]transport.Message, 1)}
	two := &transport.Call{Messages: []transport.Message{{ID: "a"}, {ID: "b"}}}
	for code, want := range map[int]transport.ResultCode{
		200: transport.ResultOK,
		500: transport.ResultServerError,
		502: transport.ResultServerError,
		429: transport.ResultRetryAfter,
		503: transport.ResultOverloaded,
		504: transport.ResultAttemptsExhausted,
		410: transport.ResultGone,
		400: transport.ResultBadRequest,
		413: transport.ResultTooLarge,
	} {
		require.Equal(t, []transport.ResultCode{want}, (&answer{status: code}).resultCodes(one))
	}
	require.Equal(t, []transport.ResultCode{transport.ResultNoSlot}, (&answer{status: 503, noSlot: true}).resultCodes(one))
	both := []transport.ResultCode{transport.ResultRetryAfter, transport.ResultRetryAfter}
	require.Equal(t, both, (&answer{status: 429}).resultCodes(two))
	for body, want := range map[string][]transport.ResultCode{
		`[{"id":"b","state":"ok"},{"id":"a","state":"error"}]`:   {transport.ResultServerError, transport.ResultOK},
		`[{"id":"a","state":"gone"},{"id":"b","state":"later"}]`: {transport.ResultGone, transport.ResultOverloaded},
		// b is missing, so it may have run
		`[{"id":"a","state":"exhausted"}]`: {transport.ResultAttemptsExhausted, transport.ResultServerError},
		`[{"id":`:                          {transport.ResultServerError, transport.ResultServerError},
	} {
		require.Equal(t, want, (&answer{status: 200, body: []byte(body)}).resultCodes(two), body)
	}
}

func TestLimitIsReadFromLoadReport(t *testing.T) {
	for report, want := range map[string]float64{"x0=0.4, x1=25": 25, "x0=0,x1=0": -1, "x0=1": 0, "x1=many": 0, "x1=-3": 0,
		"x1=NaN": 0, "\x00=,": 0, "": 0} {
		require.Equal(t, want, reportedValue(report, "x1"), report)
	}
}

func TestImplausibleRetryAfterIsIgnored(t *testing.T) {
	for value, want := range map[string]float64{"0.25": 0.25, "-3": 0, "NaN": 0, "Inf": 0, "soon": 0, "1e9": 0, "": 0,
		"Wed, 21 Oct 2026 07:28:00 GMT": 0} {
		a := answer{}
		a.Field([]byte("Retry-After"), []byte(value))
		require.Equal(t, want, a.retryAfter, value)
	}
}
