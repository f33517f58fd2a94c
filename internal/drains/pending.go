package drains

import (
	"maps"
	"time"
)

// Pending is the set of endpoints that operators wanted to drain although the endpoint list did not have them. The list may
// come late: an endpoint that is listed in time is drained then. The zero value is an empty set. It is not safe for
// concurrent use.
type Pending struct {
	until map[string]time.Duration // when each id is forgotten, on the caller's clock
}

// NewPending returns a set of ids that were added before, without those that are invalid or forgotten by now.
func NewPending(stored map[string]time.Duration, now time.Duration) Pending {
	p := Pending{until: map[string]time.Duration{}}
	for id, until := range stored {
		if until > now && validID(id) && len(p.until) < MaxDrained {
			p.until[id] = until
		}
	}
	return p
}

// Add adds an id until it is forgotten, and reports whether there was room for it.
func (p *Pending) Add(id string, now, until time.Duration) bool {
	maps.DeleteFunc(p.until, func(_ string, until time.Duration) bool { return until <= now })
	if _, known := p.until[id]; !known && len(p.until) >= MaxDrained || !validID(id) {
		return false
	}
	if p.until == nil {
		p.until = map[string]time.Duration{}
	}
	p.until[id] = until
	return true
}

// Has reports whether the set has an id that is not forgotten yet.
func (p *Pending) Has(id string, now time.Duration) bool {
	until, known := p.until[id]
	return known && until > now
}

// Remove removes an id, and reports whether the set had it.
func (p *Pending) Remove(id string) bool {
	_, known := p.until[id]
	delete(p.until, id)
	return known
}

// Empty reports whether the set has no ids.
func (p *Pending) Empty() bool { return len(p.until) == 0 }

// All returns the ids and when they are forgotten. The map belongs to the caller.
func (p *Pending) All() map[string]time.Duration { return maps.Clone(p.until) }
