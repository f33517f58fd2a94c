package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	upgradeReadyTimeout = 6 * time.Second         // the new process's yes is due within this time
	killAfter           = 3700 * time.Millisecond // from SIGTERM to SIGKILL
)

// upgrade starts a second process beside the running one, sends the running one SIGTERM at the yes of the new one, and
// SIGKILL 3.7 s later if it has not ended. It returns when the old process has ended.
func (f *forwarder) upgrade(old *process, known []byte) (*process, error) {
	next, err := f.start(known)
	if err != nil {
		return nil, err
	}
	for begin := time.Now(); f.call(next, http.MethodGet, "/_ready") != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > upgradeReadyTimeout {
			return nil, errors.New("the new process said no yes in time")
		}
	}
	if err := f.signal(old, syscall.SIGTERM); err != nil {
		return nil, err
	}
	select {
	case <-old.ended:
	case <-time.After(killAfter):
		if err := f.signal(old, syscall.SIGKILL); err != nil {
			return nil, err
		}
		<-old.ended
	}
	return next, nil
}

// emptiedUpgradeCase empties a forwarder and then upgrades it.
func emptiedUpgradeCase(r *record, trouble bool) (string, error) {
	t, err := newTarget(r, "s-1", nil)
	if err != nil {
		return "", err
	}
	d, err := newDiscovery(r, active(t, "parts-vendors", 7))
	if err != nil {
		return "", err
	}
	f, err := newForwarder(r, d.address, true)
	if err != nil {
		return "", err
	}
	defer f.stop()
	p, err := f.startServing(d.known())
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if f.call(p, http.MethodPost, "/_lameduck/on") != http.StatusOK {
		return "", errors.New("the operators' call got no yes")
	}
	calledAt := time.Now()
	time.Sleep(time.Until(calledAt.Add(lameDuckLimit + time.Second)))
	if trouble {
		if p, err = f.upgrade(p, d.known()); err != nil {
			return "", err
		}
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		answer := f.ping()
		r.note("front: PING: %s", answer)
		if answer == "+PONG" {
			return fmt.Sprintf("%.1f s after the call that empties the forwarder, and without the call that ends it, "+
				"the forwarder says yes to the front", time.Since(calledAt).Seconds()), nil
		}
	}
	if f.call(p, http.MethodPost, "/_lameduck/off") != http.StatusOK {
		return "", errors.New("the second call got no yes")
	}
	time.Sleep(2 * time.Second)
	if answer := f.ping(); answer != "+PONG" {
		return "", fmt.Errorf("after the second call PING is answered %q", answer)
	}
	return "", nil
}
