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
	linesAtOnce = 10_000          // of the list in one object: the client refuses much longer ones
	blankAfter  = time.Second     // an empty line comes so often while nothing changes
	listPath    = "/v1/endpoints" // with stream=1: the list and its changes
)

// discoveryServer serves a list of destinations that does not change: its first part as the full list, the rest as
// changes.
type discoveryServer struct {
	address string
	server  *http.Server
	objects [][]byte
}

func newDiscoveryServer(destinations int) (*discoveryServer, error) {
	d := &discoveryServer{}
	for first := 1; first <= destinations; first += linesAtOnce {
		list := transport.EndpointList{Revision: int64(len(d.objects) + 1), Complete: first == 1}
		for n := first; n < first+linesAtOnce && n <= destinations; n++ {
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

// watch serves the list and keeps the connection open.
func (d *discoveryServer) watch(w http.ResponseWriter, r *http.Request) {
	blank := time.NewTicker(blankAfter)
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
