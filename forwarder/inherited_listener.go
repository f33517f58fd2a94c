package forwarder

import (
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// handOverTimeout is how long a process with an inherited listener waits for the folder of the process that it
// replaces: the platform's 6 s until the new one is ready, 3.7 s from SIGTERM to SIGKILL, and a moment for the kernel.
const handOverTimeout = 15 * time.Second

// upgradesInPlace reports whether a process on the same socket and folder replaces this one while it runs, and this one
// may have replaced another: to endpoints, discovery and operators they are one forwarder.
func (c *Config) upgradesInPlace() bool { return c.InheritedListener > 0 }

// listenInherited opens the socket that the platform hands down and has the first frontend use it. The caller closes
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

// inheritedListener makes a TCP listener of a descriptor, which is closed: the listener has a copy.
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
