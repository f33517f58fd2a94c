package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	drainGrace     = time.Second             // DrainGrace in the settings
	toldAfter      = 6 * time.Second         // what a silent watch misses counts as told after this time
	cutLength      = 5900 * time.Millisecond // the pages have 6 s
	cutForwarders  = 3                       // forwarders of the deployment
	cutRounds      = 2                       // cuts, each with another target that is replaced
	submitInterval = 100 * time.Millisecond  // between the documents that one forwarder gets
	afterCut       = 12 * time.Second        // from the begin of a cut to that of the next
	changeAfter    = 1100 * time.Millisecond // from the begin of a cut to the change of the list
	heartbeatPhase = time.Second             // from a line on all watches to the begin of the cut
)

// cutCase cuts discovery off while one target is replaced by another and its address taken by a target of a further
// destination. Each round has destinations of its own.
func cutCase(r *record, trouble bool) (string, error) {
	d, err := newDiscovery(r)
	if err != nil {
		return "", err
	}
	var old []*target
	for round := range cutRounds {
		t, err := newTarget(r, fmt.Sprintf("s-%d-old", round), nil)
		if err != nil {
			return "", err
		}
		old = append(old, t)
		d.set(active(t, "parts-vendors", 10+round))
	}
	other, err := newTarget(r, "s-other", nil)
	if err != nil {
		return "", err
	}
	d.set(active(other, "parts-vendors", 20))
	var forwarders []*forwarder
	for range cutForwarders {
		f, err := newForwarder(r, d.address, false)
		if err != nil {
			return "", err
		}
		defer f.stop()
		if _, err := f.startServing(d.known()); err != nil {
			return "", err
		}
		forwarders = append(forwarders, f)
	}
	var verdicts []string
	for round := range cutRounds {
		time.Sleep(2 * time.Second)
		d.set(active(other, "parts-vendors", 20)) // a line on all watches, from which on their empty lines are in step
		time.Sleep(heartbeatPhase)
		stop := make(chan struct{})
		var all sync.WaitGroup
		for number, f := range forwarders {
			all.Add(1)
			go func() {
				defer all.Done()
				submitSteadily(r, f, fmt.Sprintf("%d%d", round, number), 10+round, stop)
			}()
		}
		began := time.Now()
		if trouble {
			d.cut(cutLength)
		}
		verdict, err := replaceTarget(r, d, old[round], round, began)
		close(stop)
		all.Wait()
		if err != nil {
			return "", err
		}
		if verdict != "" {
			verdicts = append(verdicts, verdict)
		}
	}
	return strings.Join(verdicts, "; "), nil
}

// replaceTarget lets a target of a destination leave, with a new one in its place, and starts a target of a further
// destination at its address once nothing may be sent to it any more. It returns what that target got for the first
// destination.
func replaceTarget(r *record, d *discovery, old *target, round int, began time.Time) (string, error) {
	time.Sleep(time.Until(began.Add(changeAfter)))
	fresh, err := newTarget(r, fmt.Sprintf("s-%d-new", round), nil)
	if err != nil {
		return "", err
	}
	leaving := active(old, "parts-vendors", 10+round)
	leaving.State = "leaving"
	d.set(leaving)
	d.set(active(fresh, "parts-vendors", 10+round))
	bound := began.Add(toldAfter + drainGrace + socketSlack)
	time.Sleep(time.Until(bound))
	gone := active(old, "parts-vendors", 10+round)
	gone.State = "left"
	d.set(gone)
	taken, err := old.replace(fmt.Sprintf("s-%d-next", round))
	if err != nil {
		return "", err
	}
	d.set(active(taken, "parts-vendors", 30+round))
	time.Sleep(time.Until(began.Add(afterCut)))
	late := taken.received()
	if len(late) == 0 {
		return "", nil
	}
	noticed := 0
	for _, c := range late {
		if d.noticeFor(c.ids[0]) != nil {
			noticed++
		}
	}
	return fmt.Sprintf("destination %d: %d documents that were taken on went to the address of a target that counted as told to be "+
		"gone, the last %.2f s after the end of the grace, and were run by a target of destination %d; notices for them: %d",
		10+round, len(late), late[len(late)-1].first.Sub(bound).Seconds(), 30+round, noticed), nil
}

// submitSteadily hands in documents for a destination until stop is closed.
func submitSteadily(r *record, f *forwarder, name string, destination int, stop <-chan struct{}) {
	for number := 1; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(submitInterval):
		}
		id := fmt.Sprintf("%s%014x", name, number)
		submitOnce(r, f, id, id, destination, 200)
	}
}
