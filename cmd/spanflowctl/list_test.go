package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All destinations of a first list are known, however many it has.
func TestAFirstListOfManyDestinationsIsKnownWhole(t *testing.T) {
	const destinations = 150
	t.Parallel()
	s := newScene(t, destinations).write("")
	s.start()
	c := s.client()
	for destination := 1; destination <= destinations; destination++ {
		require.Equal(t, "+OK", s.put(c, message{typ: "status", destination: destination, key: destination}), destination)
	}
	s.settled(time.Minute)
	s.terminate()
}
