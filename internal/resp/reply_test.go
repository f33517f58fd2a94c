package resp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRepliesAreFormatted(t *testing.T) {
	require.Equal(t, "+OK\r\n-BUSY\r\n-BUSY 70\r\n", string(SimpleString("OK"))+string(BusyReply(0))+string(BusyReply(70)))
}
