package main

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// Whoever judges a message's time began to count before it was read here: what is delivered in its last moments may
// count as late, that is as not delivered, and needs a final answer.
func TestADeliveryInTheLastMomentsOfItsTimeEndsByANoticeToo(t *testing.T) {
	s := newStage(t, "single")
	c := s.start()
	said, id := "", ""
	for n := 0; said != "+OK"; n++ { // all that is left of its time when it comes is its last moments
		id = fmt.Sprint("late", n)
		var err error
		said, err = c.Send(emulator.Command("MSG.PUT", zero, id, "c=status,d=95,dest=7", "b"))
		require.NoError(t, err)
	}
	for s.call().ID != id { // its answer is 200 at once
	}
	require.Equal(t, id, s.notice().ID)
	s.put(c, zero, "early", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "early", s.call().ID)
	require.Empty(t, s.discovery.Notices, "in time by any clock")
}
