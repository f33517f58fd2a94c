package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const exampleSettings = `{"Classes":[{"Name":"new-order","Idempotency":"fragile","Slo":3000,"HardLimit":16000,"Worth":1,"LateShare":0.5},
{"Name":"cancel-amend","Idempotency":"dedup","Group":"all","MemorySpan":7500,"Slo":2000,"HardLimit":28000,"Worth":2,"LateShare":0.5}],
"Extra":{"CallsOut":3,"Decay":"halves","Unheard":1},"Limits":{"AttemptsCap":12,"MaxOpen":19,"RetryAfter":false,"MaxRetryAfter":3000,
"SecondCopies":true},"NInstances":218,"WeightKind":"nominal"}`

func TestReadConvertsSettings(t *testing.T) {
	got, _, err := Read([]byte(exampleSettings))
	require.NoError(t, err)
	require.True(t, got.HalvingValue)
	require.Equal(t, 1.0, got.ListedRateTolerance)
	require.Zero(t, got.MaxRetryAfter, "MaxRetryAfter has no effect if RetryAfter is false")
	require.Equal(t, []float64{1, 2}, []float64{got.Types[0].Value, got.Types[1].Value})
	require.Equal(t, 0.5, got.Types[1].LateValueShare)
}

func TestReadDefaultsToEqualValuesAndLinearDecay(t *testing.T) {
	got, _, err := Read([]byte(`{"Classes":[{"Idempotency":"retryable","Slo":1,"HardLimit":2}],"Extra":{"CallsOut":1},"NInstances":1}`))
	require.NoError(t, err)
	require.False(t, got.HalvingValue)
	require.Equal(t, 1.0, got.Types[0].Value)
}

func TestReadNamesTheInvalidField(t *testing.T) {
	for _, c := range [][3]string{
		{`"halves"`, `"thirds"`, `Extra.Decay: unknown word "thirds"`},
		{`"nominal"`, `"guessed"`, `WeightKind: unknown word "guessed"`},
		{`"Worth":2`, `"Worth":-2`, "Classes[1].Worth: -2 is out of range"},
		{`"Worth":2,"LateShare":0.5`, `"LateShare":1.5`, "Classes[1].LateShare: 1.5 is out of range"},
		{`"HardLimit":16000`, `"HardLimit":2000`, "Classes[0].HardLimit: 2000 is out of range"},
		{`"Slo":2000`, `"Slo":-1`, "Classes[1].Slo: -1 is out of range"},
		{`"MemorySpan":7500`, `"MemorySpan":-7500`, "Classes[1].MemorySpan: -7500 is out of range"},
		{`"Worth":2`, `"Worth":"much"`, "Worth"},
	} {
		_, _, err := Read([]byte(strings.Replace(exampleSettings, c[0], c[1], 1)))
		require.ErrorContains(t, err, c[2])
	}
}
