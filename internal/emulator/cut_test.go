package emulator

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cut that never ends: connections that came just before the listener had no more room kept the connection
// that fills it from being established, and Accept waited for it.
func TestCutEndsAlthoughConnectionsComeAtItsBegin(t *testing.T) {
	const cut, dialers = 300 * time.Millisecond, 8
	for range 10 {
		d, err := NewDiscovery("")
		require.NoError(t, err)
		stop := make(chan struct{})
		for range dialers {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if conn, err := net.DialTimeout("tcp", d.Addr, cut); err == nil {
						defer conn.Close()
					}
				}
			}()
		}
		d.Cut(CutUnreachable, cut)
		time.Sleep(cut)
		close(stop)
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		answered := func() bool {
			response, err := client.Get("http://" + d.Addr + "/v1/endpoints")
			return err == nil && response.Body.Close() == nil
		}
		require.Eventually(t, answered, 5*time.Second, 10*time.Millisecond)
	}
}
