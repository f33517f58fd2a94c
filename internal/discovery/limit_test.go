package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheBoundOnAnObjectOfAWatchCanBeSet(t *testing.T) {
	const bound = 1000
	for _, bytes := range []int{bound, bound + 1} {
		d, k, accept := scene(t)
		d.MaxLineBytes = bound
		d.Watch(0)
		c, _ := accept()
		line := `{"rev":1,"all":true,"targets":[]}`
		line += strings.Repeat(" ", bytes-len(line)-1) + "\n"
		_, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", open, len(line), line)
		require.NoError(t, err)
		if bytes == bound {
			require.EqualValues(t, 1, (<-k.lists).Revision)
		} else {
			require.Equal(t, "a line of the list is over the limit", <-k.ended)
		}
		c.Close()
		d.Stop()
	}
}

// The time for an object follows its size: all of it that has come is not searched again with each piece.
func TestALongObjectOfAWatchTakesTimeInStepWithItsSize(t *testing.T) {
	const (
		small, factor = 512 << 10, 16
		piece         = 512 // bytes that come at once
	)
	took := func(bytes int) time.Duration {
		least := time.Hour
		for range 3 {
			w := &watch{dir: &Client{MaxLineBytes: bytes + 1}, code: 200}
			text := []byte(`{"rev":1,"all":true,"targets":[{"uid":"` + strings.Repeat("x", bytes))
			began := time.Now()
			for ; len(text) > piece; text = text[piece:] {
				require.NoError(t, w.Body(text[:piece]))
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	one, many := took(small), took(factor*small)
	require.Less(t, many, factor*4*one, "%d times the size took %s against %s; squared it would be %d times", factor, many, one, factor*factor)
}
