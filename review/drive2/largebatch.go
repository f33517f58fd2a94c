package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	maxBody            = 64 << 10 // a body holds 64 KiB at most
	clumpSize          = 40       // documents of the clump
	clumpBody          = 8 << 10  // bytes of each
	otherDocuments     = 280      // documents for another destination; the clump is an eighth of all
	otherInterval      = 33 * time.Millisecond
	answerGrace        = 500 * time.Millisecond // after a document's time, in which its end may be told
	clumpDestination   = 7
	anotherDestination = 8
	maxTries           = 3                      // a document is handed in again up to 2 times after a rejection
	leastWait          = 300 * time.Millisecond // of a client after the first rejection, twice as long after the second
	mostWait           = 1500 * time.Millisecond
)

// document is one document of the clump, whose client hands it in again after a rejection.
type document struct {
	ids       []string // one for each time that it was handed in
	delivered bool
}

// submitOnce hands in one document on a connection of its own, under an id and with the mark of its first id, and
// reports whether it was taken on.
func submitOnce(r *record, f *forwarder, id, mark string, destination, bytes int) bool {
	c, err := connect(f.listen)
	if err != nil {
		r.note("client: %s: %v", id, err)
		return false
	}
	defer c.conn.Close()
	answer, err := c.send(submission(id, mark, destination, bytes))
	r.note("client: %s for %d, %d bytes: %s %v", id, destination, bytes, answer, err)
	return answer == "+OK"
}

// submitUntilOver hands in a document of the clump, and again up to twice after a rejection, each time after a wait of
// the site's clients. It returns when the document is delivered or its client gives up.
func (doc *document) submitUntilOver(r *record, f *forwarder, d *discovery, t *target, number int) {
	mark := fmt.Sprintf("b%015x", number)
	for try := range maxTries {
		id := fmt.Sprintf("b%x%014x", try, number)
		doc.ids = append(doc.ids, id)
		if submitOnce(r, f, id, mark, clumpDestination, clumpBody) {
			for until := time.Now().Add(lifetime + answerGrace); time.Now().Before(until); time.Sleep(pollInterval) {
				if doc.delivered = t.took(id); doc.delivered {
					return
				}
				if d.noticeFor(id) != nil {
					break
				}
			}
		}
		pause := (leastWait + rand.N(mostWait-leastWait)) << try
		if n := d.noticeFor(id); n != nil {
			pause = max(pause, time.Duration(n.After)*time.Millisecond)
		}
		time.Sleep(pause)
	}
}

// took reports whether the target took a document in a call.
func (t *target) took(id string) bool {
	for _, c := range t.received() {
		if c.bytes <= maxBody && slices.Contains(c.ids, id) {
			return true
		}
	}
	return false
}

// largeBatchCase hands in a clump of documents for one destination whose target takes ten in a call. The target turns
// away a call whose body holds more than 64 KiB.
func largeBatchCase(r *record, trouble bool) (string, error) {
	t, err := newTarget(r, "s-1", func(c call) answer {
		if c.bytes > maxBody {
			return answer{status: http.StatusBadRequest}
		}
		return answer{delay: 150 * time.Millisecond}
	})
	if err != nil {
		return "", err
	}
	another, err := newTarget(r, "s-2", nil)
	if err != nil {
		return "", err
	}
	d, err := newDiscovery(r, active(t, "maker-portals", clumpDestination), active(another, "parts-vendors", anotherDestination))
	if err != nil {
		return "", err
	}
	f, err := newForwarder(r, d.address, false)
	if err != nil {
		return "", err
	}
	defer f.stop()
	if _, err := f.startServing(d.known()); err != nil {
		return "", err
	}
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for number := range otherDocuments {
			id := fmt.Sprintf("a%015x", number)
			submitOnce(r, f, id, id, anotherDestination, 200)
			time.Sleep(otherInterval)
		}
	}()
	time.Sleep(time.Second)
	documents := make([]document, clumpSize)
	for number := range documents {
		if trouble {
			all.Add(1)
			go func() {
				defer all.Done()
				documents[number].submitUntilOver(r, f, d, t, number)
			}()
		} else { // one after another
			documents[number].submitUntilOver(r, f, d, t, number)
		}
	}
	all.Wait()
	calls, largest, tries, lost := 0, 0, 0, 0
	for _, c := range t.received() {
		if c.bytes > maxBody {
			calls++
			largest = max(largest, c.bytes)
		}
	}
	for _, doc := range documents {
		tries += len(doc.ids)
		if !doc.delivered {
			lost++
		}
	}
	summary := fmt.Sprintf("%d calls had a body over 64 KiB, the largest %d bytes; the %d documents of the clump were handed in "+
		"%d times, %d were never delivered", calls, largest, len(documents), tries, lost)
	r.note("%s", summary)
	if calls > 0 {
		return summary, nil
	}
	if lost > 0 {
		return "", fmt.Errorf("%d documents were not delivered though no call was too large", lost)
	}
	return "", nil
}
