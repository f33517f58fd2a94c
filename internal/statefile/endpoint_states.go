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
)

// EndpointStates is what one process of an upgrade knows of endpoints and the next one has to observe.
type EndpointStates struct {
	Revision int64             // of the endpoint list
	Listed   map[string]string // states of the list by uid, of endpoints that get no new calls by it
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
	return Write(dir, EndpointStatesFile, b.String())
}

// TakeEndpointStates reads the endpoint states that an earlier process wrote and removes the file, so that no later
// process takes them for news. It returns no states if there is no file that can be read, and leaves malformed lines
// out.
func TakeEndpointStates(dir string) *EndpointStates {
	path := filepath.Join(dir, EndpointStatesFile)
	states := &EndpointStates{Listed: map[string]string{}}
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
	if len(words) == 3 && words[0] == listedLine {
		s.Listed[words[1]] = words[2]
	}
}
