// Package emulator emulates the peers of a forwarder as the protocol's description has them: the discovery service,
// endpoints and clients. It also starts the programs under test. Tests, the laboratory and the example use it;
// the forwarder does not.
package emulator

import (
	"net"
	"net/http"
	"time"
)

// patience limits how long a test waits for an event before it fails. It is no bound on how fast a program has to be.
const patience = 15 * time.Second

// Test is the part of *testing.T that a wait needs.
type Test interface {
	Helper()
	Fatalf(format string, args ...any)
}

// serve answers HTTP/1.1 at addr, or at a free port of loopback if addr is empty, until the program ends. It returns
// the address.
func serve(addr string, handler http.Handler) (string, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}
