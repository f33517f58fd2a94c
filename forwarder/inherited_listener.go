package forwarder

import (
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// handoverTimeout is how long a process with an inherited listener waits for its predecessor to release the folder: the
// 6 s that the platform allows until the successor is ready, 3.7 s from SIGTERM to SIGKILL, and some time for the
// kernel.
const handoverTimeout = 15 * time.Second

// upgradesInPlace reports whether processes replace each other on the same socket and folder while they run, so that
// this process may have a predecessor and a successor. Endpoints, discovery and operators see them as one forwarder.
func (c *Config) upgradesInPlace() bool { return c.InheritedListener > 0 }

// listenInherited opens the listening socket passed by the platform for use by the first frontend. The caller closes
// it.
func (c *Config) listenInherited() (net.Listener, error) {
	l, err := inheritedListener(c.InheritedListener)
	if err != nil {
		return nil, err
	}
	c.Frontends = slices.Clone(c.Frontends)
	c.Frontends[0].Listener = l
	return l, nil
}

// inheritedListener creates a TCP listener from a descriptor. It closes the descriptor, as the listener has a copy.
func inheritedListener(descriptor int) (net.Listener, error) {
	accepts, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is not a socket: %w", descriptor, err)
	}
	if accepts == 0 {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is a socket that does not listen", descriptor)
	}
	file := os.NewFile(uintptr(descriptor), "inherited")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d: %w", descriptor, err)
	}
	if _, isTCP := l.(*net.TCPListener); !isTCP {
		l.Close()
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is not a TCP socket", descriptor)
	}
	return l, nil
}
