package directory

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTheBoundOnAnObjectOfAWatchCanBeSet(t *testing.T) {
	const bound = 1000
	for _, bytes := range []int{bound, bound + 1} {
		d, k, accept := scene(t)
		d.MostLine = bound
		d.Watch(0)
		c, _ := accept()
		line := `{"rev":1,"all":true,"targets":[]}`
		line += strings.Repeat(" ", bytes-len(line)-1) + "\n"
		_, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", open, len(line), line)
		require.NoError(t, err)
		if bytes == bound {
			require.EqualValues(t, 1, (<-k.lists).Rev)
		} else {
			require.Equal(t, "a line of the list is over the limit", <-k.ended)
		}
		c.Close()
		d.Stop()
	}
}
