package respserver

import "golang.org/x/sys/unix"

// closeDiscardsReplies reports whether a close of the connection would discard replies. The kernel resets a connection that
// is closed while bytes of the client are unread, and gives up what the client has not acknowledged. Without unread bytes,
// it goes on sending after the close.
func (c *Client) closeDiscardsReplies() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	var unread, unacknowledged int
	err = raw.Control(func(fd uintptr) {
		// The two remain 0 for a connection that has ended.
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return err == nil && unread > 0 && unacknowledged > 0
}
