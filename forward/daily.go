package forward

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"spanflow/internal/admin"
)

// handOverWait is how long a process whose clients' socket is handed down waits for the folder of the one it
// replaces: the platform's 6 s to the yes, 3.7 s from the word to stop to the kill, and a moment for the kernel.
const handOverWait = 15 * time.Second

// desk is the operators' way to the owner: their calls are news in the Exchange like any other.
type desk struct {
	x     *Exchange
	ready atomic.Bool
}

// operation is a call of the operators' address with the way to its answer.
type operation struct {
	admin.Call
	reply func(admin.Answer)
}

func (d *desk) Ready() bool { return d.ready.Load() }

func (d *desk) Ask(c admin.Call, reply func(admin.Answer)) { d.x.leave(operation{c, reply}) }

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

// operate answers a call of the operators.
func (o *owner) operate(c operation) {
	switch c.Do {
	case admin.LameOn, admin.LameOff:
		if on := c.Do == admin.LameOn; on != o.lame {
			o.lame = on
			clients := 0
			for _, l := range o.fronts {
				if clients += l.Clients(); on {
					l.Leave()
				} else {
					l.Stay()
				}
			}
			o.log.Info().Bool("lameduck", on).Int("clients", clients).Int("held", len(o.docs)).Msg("lameduck")
		}
		c.reply(admin.Answer{Yes: true, Text: c.Do.String()})
	default:
		c.reply(admin.Answer{Status: http.StatusNotImplemented, Text: c.Do.String() + ": not served by this version"})
	}
}

var errNoAdmin = errors.New("admin: not set")
