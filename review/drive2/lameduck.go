package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	lameDuckLimit  = 4 * time.Second       // after this time no client's connection may be held
	socketSlack    = 50 * time.Millisecond // each time limit is so much longer on sockets
	writeInterval  = 250 * time.Millisecond
	commandsAWrite = 3
)

// pipeliner is a client that sends several commands at once, cut at any byte: each write ends within a command, whose
// rest comes first in the next write.
type pipeliner struct {
	*client
	name    string
	sent    int
	cut     string        // the rest of the last command
	answers int           // answers read
	ended   chan struct{} // closed when the forwarder has ended the connection
	endedAt time.Time
}

// write sends the rest of the last command, some more and the beginning of another.
func (p *pipeliner) write(r *record, last bool) error {
	text := p.cut
	for range commandsAWrite {
		p.sent++
		id := fmt.Sprintf("%s%012x", p.name, p.sent)
		text += submission(id, id, 7, 150)
	}
	cutAt := len(text)
	if !last {
		cutAt -= 100 + p.sent%50
	}
	p.cut = text[cutAt:]
	r.note("client %s: writes %d bytes, %d commands begun so far", p.name, cutAt, p.sent)
	_, err := p.conn.Write([]byte(text[:cutAt]))
	return err
}

// read reads answers until the connection ends.
func (p *pipeliner) read(r *record) {
	defer close(p.ended)
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			p.endedAt = time.Now()
			r.note("client %s: connection ended after %d answers: %v", p.name, p.answers, err)
			return
		}
		p.answers++
		r.note("client %s: answer %d: %s", p.name, p.answers, strings.TrimSpace(line))
	}
}

// lameDuckCase empties a forwarder while a client sends several commands at once, cut at any byte.
func lameDuckCase(r *record, trouble bool) (string, error) {
	t, err := newTarget(r, "s-1", nil)
	if err != nil {
		return "", err
	}
	d, err := newDiscovery(r, active(t, "parts-vendors", 7))
	if err != nil {
		return "", err
	}
	f, err := newForwarder(r, d.address, false)
	if err != nil {
		return "", err
	}
	defer f.stop()
	process, err := f.startServing(d.known())
	if err != nil {
		return "", err
	}
	c, err := connect(f.listen)
	if err != nil {
		return "", err
	}
	defer c.conn.Close()
	p := &pipeliner{client: c, name: "c001", ended: make(chan struct{})}
	go p.read(r)
	var calledAt time.Time
	begin := time.Now()
	for write := 0; write < 32; write++ {
		if trouble && write == 8 {
			if f.call(process, http.MethodPost, "/_lameduck/on") != http.StatusOK {
				return "", errors.New("the operators' call got no yes")
			}
			calledAt = time.Now()
		}
		if err := p.write(r, write == 31); err != nil {
			if trouble && !calledAt.IsZero() {
				break // the forwarder has ended the connection, as it should
			}
			return "", err
		}
		select {
		case <-p.ended:
		case <-time.After(time.Until(begin.Add(time.Duration(write+1) * writeInterval))):
		}
	}
	if !trouble {
		select {
		case <-p.ended:
			return "the connection ended without a call of the operators", nil
		case <-time.After(time.Second):
		}
		if p.answers != p.sent {
			return fmt.Sprintf("%d of %d commands were answered", p.answers, p.sent), nil
		}
		return "", nil
	}
	select {
	case <-p.ended:
	case <-time.After(100 * time.Millisecond):
		p.endedAt = time.Now()
	}
	if kept := p.endedAt.Sub(calledAt); kept > lameDuckLimit+socketSlack {
		return fmt.Sprintf("%.2f s after the call the forwarder still held the client's connection and took messages on it",
			kept.Seconds()), nil
	}
	return "", nil
}
