package emulator

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// closeWait is the kernel's TCP_CLOSE_WAIT: the peer has closed its side of the connection and this side is open.
	closeWait = 8
	// kernelTick is the resolution of the kernel's times, for its slowest clock.
	kernelTick = 10 * time.Millisecond
)

// closedByPeer returns the latest time at which the kernel can have received the peer's close of a connection: the kernel
// knows it to a tick. A process that gets no processor notices the close later. The current time is returned where the
// kernel does not know, as of a connection that was reset.
func closedByPeer(conn net.Conn) time.Time {
	now := time.Now()
	info := kernelInfo(conn)
	if info == nil || info.State != closeWait {
		return now
	}
	// The close is the last segment of the peer, and each segment carries an acknowledgement.
	ago := time.Duration(info.Last_ack_recv) * time.Millisecond
	return now.Add(-max(0, ago-kernelTick))
}

// lastDataReceived returns the earliest time at which the kernel can have received the last data on a connection. A process
// that gets no processor, or holds the connection back, reads the data later.
func lastDataReceived(conn net.Conn) time.Time {
	now := time.Now()
	info := kernelInfo(conn)
	if info == nil {
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv)*time.Millisecond - kernelTick)
}

// kernelInfo returns what the kernel knows of a TCP connection, nil if it is none or has been closed.
func kernelInfo(conn net.Conn) *unix.TCPInfo {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return nil
	}
	return info
}
