package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// EndpointStatesFile is the name of the file in a forwarder's folder that holds the states of endpoints.
const EndpointStatesFile = "endpoints"

const (
	endpointStatesHeader  = "spanflow endpoints 1"
	maxEndpointStateLines = 1 << 14 // maximum number of lines read and written, one per endpoint
	listedLine            = "listed"
	healthLine            = "health"
	ejectedWord           = "ejected"
	recoveringWord        = "recovering"
)

const maxHealthValue = 1e9 // seconds, or calls per second; this and larger values are implausible

// EndpointStates holds the states of endpoints that the predecessor of an upgrade hands over to its successor.
type EndpointStates struct {
	Revision int64             // revision of the endpoint list
	Listed   map[string]string // listed states by uid, for endpoints that must not get new calls
	Health   map[string]Health // by uid, for ejected and recovering endpoints
}

// Health is the health of an endpoint that is ejected or recovering. It contains durations and no points in time, so it
// does not depend on the clocks of the two processes.
type Health struct {
	Ejected       bool    // false means recovering
	RecoveringFor float64 // seconds
	UsualRate     float64 // calls per second
}

// NewEndpointStates returns an EndpointStates without endpoints.
func NewEndpointStates() *EndpointStates {
	return &EndpointStates{Listed: map[string]string{}, Health: map[string]Health{}}
}

// Write replaces the file of endpoint states in dir. It writes at most 16,384 states, listed states first, and leaves
// out the rest.
func (s *EndpointStates) Write(dir string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%d\n", endpointStatesHeader, s.Revision)
	lines := 0
	for uid, state := range s.Listed {
		if lines == maxEndpointStateLines {
			break
		}
		lines++
		fmt.Fprintf(&b, "%s %s %s\n", listedLine, uid, state)
	}
	for uid, health := range s.Health {
		if lines == maxEndpointStateLines {
			break
		}
		lines++
		word := recoveringWord
		if health.Ejected {
			word = ejectedWord
		}
		fmt.Fprintf(&b, "%s %s %s %.3f %.4f\n", healthLine, uid, word, health.RecoveringFor, health.UsualRate)
	}
	return Write(dir, EndpointStatesFile, b.String())
}

// TakeEndpointStates reads the endpoint states that the predecessor wrote and removes the file, so that no later
// process reads outdated states. It returns an EndpointStates without endpoints if there is no readable file. Malformed
// lines are ignored.
func TakeEndpointStates(dir string) *EndpointStates {
	path := filepath.Join(dir, EndpointStatesFile)
	states := NewEndpointStates()
	text, err := os.ReadFile(path)
	if err != nil {
		return states
	}
	_ = os.Remove(path) // if this fails, the file is replaced when this process hands over
	lines := strings.Split(string(text), "\n")
	if len(lines) < 2 || lines[0] != endpointStatesHeader {
		return states
	}
	if states.Revision, err = strconv.ParseInt(lines[1], 10, 64); err != nil {
		return states
	}
	lines = lines[2:]
	for _, line := range lines[:min(len(lines), maxEndpointStateLines)] {
		states.readLine(strings.Fields(line))
	}
	return states
}

func (s *EndpointStates) readLine(words []string) {
	switch {
	case len(words) == 3 && words[0] == listedLine:
		s.Listed[words[1]] = words[2]
	case len(words) == 5 && words[0] == healthLine && (words[2] == ejectedWord || words[2] == recoveringWord):
		recoveringFor, ok := healthValue(words[3])
		usualRate, ok2 := healthValue(words[4])
		if ok && ok2 {
			s.Health[words[1]] = Health{words[2] == ejectedWord, recoveringFor, usualRate}
		}
	}
}

// healthValue parses a duration in seconds or a rate in calls per second.
func healthValue(word string) (value float64, ok bool) {
	value, err := strconv.ParseFloat(word, 64)
	return value, err == nil && value >= 0 && value < maxHealthValue
}
