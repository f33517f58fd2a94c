package respserver

import "golang.org/x/sys/unix"

// hangUp is how a client has ended its connection.
type hangUp uint8

const (
	notHungUp hangUp = iota
	hungUpClosed
	hungUpReset
)

// hangUp asks the kernel whether the client has closed or reset the connection, which may be known before everything
// that it sent has been read. If the connection is closed here meanwhile, the result may be wrong; its replies fail then.
func (c *Client) hangUp() hangUp {
	if closed, _ := c.conn.IsClosed(); closed {
		return hungUpClosed
	}
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return notHungUp
	}
	events := int16(0)
	if err := raw.Control(func(fd uintptr) { events = pollHangUp(int32(fd)) }); err != nil {
		return notHungUp
	}
	switch {
	case events&(unix.POLLERR|unix.POLLHUP) != 0: // this end of the connection is never shut down by itself
		return hungUpReset
	case events&unix.POLLRDHUP != 0:
		return hungUpClosed
	}
	return notHungUp
}

// pollHangUp returns the events of a socket that tell of its end, without waiting for them.
func pollHangUp(fd int32) int16 {
	polled := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(polled, 0)
		switch err {
		case nil:
			return polled[0].Revents
		case unix.EINTR:
		default:
			return 0
		}
	}
}
