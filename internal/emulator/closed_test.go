package emulator

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	idleTime     = 100 * time.Millisecond
	observedLate = 150 * time.Millisecond
)

// connectedPair returns both ends of a connection after the second has received a byte.
func connectedPair(t *testing.T) (peer, observed *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	_, err = dialed.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(accepted, make([]byte, 1))
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// The time of a close is that of the close, however late the observer looks.
func TestTimeOfCloseIsThatOfThePeersClose(t *testing.T) {
	peer, observed := connectedPair(t)
	time.Sleep(idleTime)
	before := time.Now()
	require.NoError(t, peer.Close())
	after := time.Now()
	time.Sleep(observedLate)
	at := closedByPeer(observed)
	require.False(t, at.Before(before), "closed at %v, reported %v before", before, before.Sub(at))
	require.False(t, at.After(after.Add(2*kernelTick)), "closed at %v, reported %v after", after, at.Sub(after))
}

// A reset or an open connection has no time of a close: the observer's own time is the latest that it can be.
func TestTimeOfCloseIsTheObserversWhereTheKernelHasNone(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
		"open": func(*net.TCPConn) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			peer, observed := connectedPair(t)
			require.NoError(t, end(peer))
			time.Sleep(observedLate)
			before := time.Now()
			require.False(t, closedByPeer(observed).Before(before))
		})
	}
}
