package emulator

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// holdListener is a listener that can hold new connections back: the kernel has no room for them, so that it drops their
// requests, and their clients ask again after a second, then after two more.
type holdListener struct {
	net.Listener

	mu       sync.Mutex
	released chan struct{} // closed when connections are no longer held back; nil if they are not
}

// Accept implements net.Listener. While connections are held back, it returns none.
func (l *holdListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released != nil {
		<-released
	}
	return conn, err
}

// hold holds new connections back until the returned function is called, which must be called once. Connections that are
// established stay.
func (l *holdListener) hold() (release func()) {
	released := make(chan struct{})
	l.mu.Lock()
	l.released = released
	l.mu.Unlock()
	setBacklog(l.Listener, 0)
	// The first connection is accepted by the pending call of Accept, the second one takes the only room.
	var fillers []net.Conn
	for range 2 {
		if conn, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout); err == nil {
			fillers = append(fillers, conn)
		}
		time.Sleep(fillPause)
	}
	return func() {
		for _, conn := range fillers {
			_ = conn.Close()
		}
		l.mu.Lock()
		l.released = nil
		l.mu.Unlock()
		setBacklog(l.Listener, syscall.SOMAXCONN)
		close(released)
	}
}

// fillPause is the time in which a pending call of Accept takes a connection.
const fillPause = 5 * time.Millisecond

// setBacklog sets how many connections the kernel establishes that are not accepted yet.
func setBacklog(listener net.Listener, connections int) {
	if raw, err := listener.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), connections) })
	}
}
