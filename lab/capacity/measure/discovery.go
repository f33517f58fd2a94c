package measure

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"spanflow/transport"
)

const (
	endpointsPerObject = 10_000          // endpoints in one object of a watch; the client rejects much longer objects
	blankInterval      = time.Second     // interval of the empty lines that are sent while nothing changes
	listPath           = "/v1/endpoints" // with stream=1, a watch of the list
)

// discoveryServer serves a list of destinations that never changes. A long list is split. The first part is sent as the
// full list and the others as changes to it.
type discoveryServer struct {
	address string
	server  *http.Server
	objects [][]byte
}

func newDiscoveryServer(destinations int) (*discoveryServer, error) {
	d := &discoveryServer{}
	for first := 1; first <= destinations; first += endpointsPerObject {
		list := transport.EndpointList{Revision: int64(len(d.objects) + 1), Complete: first == 1}
		for n := first; n < first+endpointsPerObject && n <= destinations; n++ {
			list.Endpoints = append(list.Endpoints, transport.Endpoint{UID: fmt.Sprintf(endpointName, n), Address: discardPort, Zone: "a", Kind: "partners",
				Destination: uint64(n), State: "active"})
		}
		text, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		d.objects = append(d.objects, append(text, '\n'))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, d.watch)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	d.address, d.server = l.Addr().String(), &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// watch sends the list and then keeps the connection open with empty lines.
func (d *discoveryServer) watch(w http.ResponseWriter, r *http.Request) {
	blank := time.NewTicker(blankInterval)
	defer blank.Stop()
	for _, o := range d.objects {
		if _, err := w.Write(o); err != nil {
			return
		}
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-blank.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}
}

func (d *discoveryServer) close() { d.server.Close() }
