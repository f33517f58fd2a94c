// Package emulator emulates the peers of a forwarder according to the protocol description: the discovery service,
// endpoints and clients. It also starts the programs under test. It is used by tests, the laboratory and the example,
// not by the forwarder.
package emulator

import (
	"net"
	"net/http"
	"time"
)

// eventTimeout is how long a test waits for an event before it fails. It is not a requirement on a program's speed.
const eventTimeout = 15 * time.Second

// Test is the part of *testing.T that waiting functions need.
type Test interface {
	Helper()
	Fatalf(format string, args ...any)
}

// listen listens on addr. An empty addr means a free loopback port.
func listen(addr string) (net.Listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	return net.Listen("tcp", addr)
}

// serveOn serves HTTP/1.1 on a listener until the program ends.
func serveOn(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ConnContext: withConnection}
	go func() { _ = server.Serve(lateListener{listener}) }()
}
