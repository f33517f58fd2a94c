package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/invopop/jsonschema"
)

const nanosecondsPerSecond = 1e9

// Duration is a duration in seconds, written with its unit: "3s", "100ms".
type Duration float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return fmt.Errorf(`%q is not a time with its unit, such as "3s" or "100ms"`, b)
	}
	*s = Duration(d.Seconds())
	return nil
}

// String returns the duration with its unit.
func (s Duration) String() string {
	return time.Duration(math.Round(float64(s) * nanosecondsPerSecond)).String()
}

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// JSONSchema returns the schema of the text form, for jsonschema.Reflector.
func (Duration) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`, Description: "a time with its unit"}
}

var sizeUnits = []struct {
	bytes Size
	name  string
}{{1 << 30, "GiB"}, {1e9, "GB"}, {1 << 20, "MiB"}, {1e6, "MB"}, {1 << 10, "KiB"}, {1e3, "kB"}}

// Size is a number of bytes, written with its unit: "48MB", "64KiB".
type Size int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(b []byte) error {
	text := strings.TrimSpace(string(b))
	n, err := humanize.ParseBytes(text)
	if err != nil || n > math.MaxInt64 || strings.Trim(text, "0123456789.") == "" {
		return fmt.Errorf(`%q is not a size with its unit, such as "48MB" or "64KiB"`, b)
	}
	*s = Size(n)
	return nil
}

// String returns the size with the largest unit of which it is a multiple.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s >= unit.bytes && s%unit.bytes == 0 {
			return strconv.FormatInt(int64(s/unit.bytes), 10) + unit.name
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// JSONSchema returns the schema of the text form, for jsonschema.Reflector.
func (Size) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{Type: "string", Pattern: `^[0-9]+(\.[0-9]+)? ?[kKMGT]?i?B$`, Description: "a number of bytes with its unit"}
}
