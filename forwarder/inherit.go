package forwarder

import (
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// handOverWait is how long a process whose clients' socket is handed down waits for the folder of the one it
// replaces: the platform's 6 s to the yes, 3.7 s from the word to stop to the kill, and a moment for the kernel.
const handOverWait = 15 * time.Second

// inherit takes the listening socket that the platform hands down as a descriptor.
func inherit(fd int) (net.Listener, error) {
	kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is not a socket: %w", fd, err)
	}
	if kind == 0 {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is a socket that does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	defer f.Close() // the listener has a copy
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d: %w", fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is not a TCP socket", fd)
	}
	return l, nil
}

// listenInherited puts the socket that the platform hands down in the place of the first frontend's address.
func (o *Config) listenInherited() (net.Listener, error) {
	l, err := inherit(o.InheritedListener)
	if err != nil {
		return nil, err
	}
	o.Frontends = slices.Clone(o.Frontends)
	o.Frontends[0].Listener = l
	return l, nil
}
