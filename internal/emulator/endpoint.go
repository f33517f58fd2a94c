package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	batchPath    = "/hook/batch"
	callCapacity = 4096 // maximum number of calls that a test has not received yet
)

// Call is a request that an endpoint received.
type Call struct {
	Endpoint       string   // address of the endpoint
	ID             string   // id of the first message
	IDs            []string // ids of all messages
	IdempotencyKey string
	Body           string
	Path           string
	ArrivedAt      time.Time // earliest time at which the kernel can have received the last byte
}

// Reply describes how an endpoint answers a call. The zero value answers 200.
type Reply struct {
	Status int // HTTP status; 0 means 200
	Fields map[string]string
	Body   string             // if empty, the answer to a call with several messages has "ok" for each
	Break  bool               // close the connection without an answer
	Hold   chan struct{}      // answer once this is closed, or not at all if the connection ends first
	Answer func()             // if not nil, called just before the answer is written
	Ended  func(at time.Time) // if not nil, called if the connection ends during Hold or after Raw was sent
	Raw    string             // if not empty, sent instead of an answer; the connection stays open
	Late   LateBytes          // sent on the same connection after the answer
}

// Endpoint serves calls. It is safe for concurrent use.
type Endpoint struct {
	Addr  string    // listen address
	Calls chan Call // receives each call after its reply is decided and before the reply is sent

	listener *holdListener

	mu    sync.Mutex
	reply func(Call) Reply
}

// NewEndpoint listens on addr until the program ends. An empty addr means a free loopback port. The function reply
// decides how to answer each call and may be called concurrently; nil answers all calls with 200.
func NewEndpoint(addr string, reply func(Call) Reply) (*Endpoint, error) {
	listener, err := listen(addr)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		Addr:     listener.Addr().String(),
		Calls:    make(chan Call, callCapacity),
		listener: &holdListener{Listener: listener},
		reply:    reply,
	}
	serveOn(e.listener, e)
	return e, nil
}

// HoldConnections makes new connections to the endpoint come up late: none is established until the returned function is
// called, which must be called once. A connection that was asked for meanwhile comes up a second after it was asked for,
// or three, as the kernel asks again.
func (e *Endpoint) HoldConnections() (release func()) { return e.listener.hold() }

// Do replaces the reply function of NewEndpoint; nil answers all calls with 200.
func (e *Endpoint) Do(reply func(Call) Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reply = reply
}

// ServeHTTP handles one call. Calls with several messages have a separate path and carry the ids in the body.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := Call{
		Endpoint:       e.Addr,
		ID:             r.Header.Get("X-Txn"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Body:           string(body),
		Path:           r.URL.Path,
		ArrivedAt:      lastDataReceived(connectionOf(r).Conn),
	}
	call.IDs = []string{call.ID}
	if r.URL.Path == batchPath {
		if call.IDs = batchIDs(body); len(call.IDs) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		call.ID = call.IDs[0]
	}
	reply := e.decide(call)
	e.Calls <- call
	if reply.Raw != "" {
		reply.writeRaw(w, r)
		return
	}
	if reply.Hold != nil {
		select {
		case <-reply.Hold:
		case <-r.Context().Done():
			reply.reportEnd(r)
			return
		}
	}
	sendAfterAnswer(r, reply.Late)
	if reply.Answer != nil {
		reply.Answer()
	}
	reply.write(w, call)
}

// decide returns the current reply function's reply to a call.
func (e *Endpoint) decide(call Call) Reply {
	e.mu.Lock()
	reply := e.reply
	e.mu.Unlock()
	if reply == nil {
		return Reply{}
	}
	return reply(call)
}

// batchIDs returns the ids of the messages in the body of a call with several messages, or nil if the body is
// malformed.
func batchIDs(body []byte) (ids []string) {
	var messages []struct{ ID string }
	if json.Unmarshal(body, &messages) != nil {
		return nil
	}
	for _, message := range messages {
		ids = append(ids, message.ID)
	}
	return ids
}

// write sends a reply, or closes the connection without one.
func (r Reply) write(w http.ResponseWriter, call Call) {
	if r.Break {
		panic(http.ErrAbortHandler)
	}
	for name, value := range r.Fields {
		w.Header().Set(name, value)
	}
	if r.Status > 0 {
		w.WriteHeader(r.Status)
	}
	body := r.Body
	if body == "" && len(call.IDs) > 1 && r.Status <= http.StatusOK {
		body = allDelivered(call.IDs)
	}
	_, _ = io.WriteString(w, body) // the forwarder may have closed the connection
}

// writeRaw sends the bytes of Raw and waits until the forwarder closes the connection.
func (r Reply) writeRaw(w http.ResponseWriter, request *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, r.Raw) // the forwarder may have closed the connection
	_, _ = io.Copy(io.Discard, conn)
	r.reportEnd(request)
}

// reportEnd reports that the forwarder has ended the connection of a request.
func (r Reply) reportEnd(request *http.Request) {
	if r.Ended != nil {
		r.Ended(closedByPeer(connectionOf(request).Conn))
	}
}

// allDelivered returns the body of an answer that has the state "ok" for each message.
func allDelivered(ids []string) string {
	var states []string
	for _, id := range ids {
		states = append(states, fmt.Sprintf(`{"id":%q,"state":"ok"}`, id))
	}
	return "[" + strings.Join(states, ",") + "]"
}
