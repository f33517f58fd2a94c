package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkManyEndpoints measures the loading of a configuration. The time per endpoint must not depend on the number
// of endpoints.
func BenchmarkManyEndpoints(b *testing.B) {
	for _, endpoints := range []int{500, 2_000, 8_000, 32_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			text, err := os.ReadFile("../../example/spanflow.toml")
			require.NoError(b, err)
			config := strings.Builder{}
			config.Write(text)
			for i := range endpoints {
				fmt.Fprintf(&config, "[[targets]]\nuid = \"many%d\"\naddress = \"127.9.%d.%d:9\"\ndest = %d\n",
					i, i/250, i%250+1, i+10)
			}
			path := filepath.Join(b.TempDir(), "c.toml")
			require.NoError(b, os.WriteFile(path, []byte(config.String()), 0o600))
			for b.Loop() {
				_, err := loadChecked(path, nil, nil)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*endpoints), "us/endpoint")
		})
	}
}
