package forwarder

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDivideConnections(t *testing.T) {
	connections, err := divideConnections([]Frontend{{Connections: 50}, {}, {}}, 100)
	require.NoError(t, err)
	require.Equal(t, []int{50, 25, 25}, connections)
	_, err = divideConnections([]Frontend{{Connections: 100}, {}}, 100)
	require.ErrorContains(t, err, "more than the 100")
	_, err = divideConnections([]Frontend{{Name: "a", Connections: 4}}, 100)
	require.ErrorContains(t, err, "a: 4 connections are below the minimum, 5")
}
