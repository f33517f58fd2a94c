package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// EndpointStatesFile is the name of the file with the states of endpoints in a forwarder's folder.
const EndpointStatesFile = "endpoints"

const (
	endpointStatesHeader  = "spanflow endpoints 1"
	maxEndpointStateLines = 1 << 14 // lines read and written; one an endpoint
	listedLine            = "listed"
	healthLine            = "health"
	ejectedWord           = "ejected"
	recoveringWord        = "recovering"
)

const maxHealthValue = 1e9 // seconds and calls a second beyond it are implausible

// EndpointStates is what one process of an upgrade knows of endpoints and the next one has to observe.
type EndpointStates struct {
	Revision int64             // of the endpoint list
	Listed   map[string]string // states of the list by uid, of endpoints that get no new calls by it
	Health   map[string]Health // by uid, of endpoints that are ejected or recovering
}

// Health is the health of an endpoint that is ejected or recovering. Its times are durations: clocks do not matter.
type Health struct {
	Ejected       bool // else it is recovering
	RecoveringFor float64
	UsualRate     float64 // calls a second
}

// NewEndpointStates returns states without endpoints.
func NewEndpointStates() *EndpointStates {
	return &EndpointStates{Listed: map[string]string{}, Health: map[string]Health{}}
}

// Write replaces the file of endpoint states in dir. Of more endpoints than it may hold, some are left out.
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

// TakeEndpointStates reads the endpoint states that an earlier process wrote and removes the file, so that no later
// process takes them for news. It returns no states if there is no file that can be read, and leaves malformed lines
// out.
func TakeEndpointStates(dir string) *EndpointStates {
	path := filepath.Join(dir, EndpointStatesFile)
	states := NewEndpointStates()
	text, err := os.ReadFile(path)
	if err != nil {
		return states
	}
	_ = os.Remove(path) // one that stays is replaced when this process hands over
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

// healthValue reads a duration or a rate.
func healthValue(word string) (value float64, ok bool) {
	value, err := strconv.ParseFloat(word, 64)
	return value, err == nil && value >= 0 && value < maxHealthValue
}
