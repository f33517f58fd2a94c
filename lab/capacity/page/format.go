package page

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"

	"spanflow/lab/capacity"
)

// Unit is the unit of a figure. Curves in other units of the same dimension are converted.
type Unit string

// The units of figures.
const (
	Bytes          Unit = "bytes"
	BytesPerSecond Unit = "bytes a second"
	Seconds        Unit = "s"
	Cores          Unit = "cores" // seconds of processor time per second
	Calls          Unit = "calls"
	Count          Unit = ""
	PerSecond      Unit = "a second"
)

// conversion converts a unit used by measurements to one of the units above.
type conversion struct {
	unit   Unit
	factor float64
}

var conversions = map[string]conversion{
	"bytes": {Bytes, 1}, "B": {Bytes, 1}, "byte": {Bytes, 1}, "kB": {Bytes, 1e3}, "KB": {Bytes, 1e3}, "MB": {Bytes, 1e6},
	"KiB": {Bytes, 1 << 10}, "MiB": {Bytes, 1 << 20},
	"bytes/s": {BytesPerSecond, 1}, "B/s": {BytesPerSecond, 1}, "bytes a second": {BytesPerSecond, 1},
	"s": {Seconds, 1}, "seconds": {Seconds, 1}, "ms": {Seconds, 1e-3}, "us": {Seconds, 1e-6}, "µs": {Seconds, 1e-6},
	"ns": {Seconds, 1e-9}, "CPU s": {Seconds, 1}, "cpu_s": {Seconds, 1}, "s of CPU": {Seconds, 1},
	"cores": {Cores, 1}, "core": {Cores, 1}, "share of a core": {Cores, 1}, "of a core": {Cores, 1},
	"calls": {Calls, 1},
}

// converted returns a curve in one of the units above. A curve with an unknown unit is returned unchanged.
func converted(curve *capacity.Curve) (*capacity.Curve, Unit) {
	by, known := conversions[curve.Unit]
	if !known {
		return curve, Unit(curve.Unit)
	}
	scaled := *curve
	scaled.Points = make([]capacity.Point, len(curve.Points))
	for i, point := range curve.Points {
		scaled.Points[i] = capacity.Point{Size: point.Size, Value: point.Value * by.factor}
	}
	scaled.Fit.Intercept *= by.factor
	scaled.Fit.Slope *= by.factor
	return &scaled, by.unit
}

// Format returns a value with its unit, rounded to three significant digits.
func (u Unit) Format(value float64) string {
	switch u {
	case Bytes:
		return scaledBy(value, 1000, "bytes", "kB", "MB", "GB", "TB")
	case BytesPerSecond:
		return scaledBy(value, 1000, "bytes", "kB", "MB", "GB", "TB") + " a second"
	case Seconds:
		return duration(value)
	case Cores:
		return cores(value)
	case Count:
		return digits(value)
	}
	return digits(value) + " " + string(u)
}

func scaledBy(value, step float64, names ...string) string {
	power := 0
	for math.Abs(value) >= step*0.9995 && power < len(names)-1 {
		value /= step
		power++
	}
	return digits(value) + " " + names[power]
}

func duration(seconds float64) string {
	size := math.Abs(seconds)
	switch {
	case size >= never:
		return "never"
	case size == 0:
		return "0 s"
	case size < 1e-6:
		return digits(seconds*1e9) + " ns"
	case size < 1e-3:
		return digits(seconds*1e6) + " µs"
	case size < 1:
		return digits(seconds*1e3) + " ms"
	case size < 2*60:
		return digits(seconds) + " s"
	case size < 60*60:
		return digits(seconds/60) + " min"
	}
	return digits(seconds/60/60) + " h"
}

// cores formats a number of cores. Below one core, it gives a percentage of a core.
func cores(value float64) string {
	if math.Abs(value) < 1 {
		return digits(value*100) + "% of a core"
	}
	if value == 1 {
		return "1 core"
	}
	return digits(value) + " cores"
}

// digits formats a number with three significant digits, or exactly if it is an integer below 10,000. Thousands are
// separated by commas.
func digits(value float64) string {
	if value == math.Trunc(value) && math.Abs(value) < 1e4 {
		return humanize.Comma(int64(value))
	}
	if math.Abs(value) >= 1000 {
		return humanize.Comma(int64(rounded(value)))
	}
	text := strconv.FormatFloat(rounded(value), 'f', -1, 64)
	if strings.Contains(text, "e") || math.Abs(value) < 1e-4 {
		return strconv.FormatFloat(value, 'g', 2, 64)
	}
	return text
}

// rounded rounds to three significant digits.
func rounded(value float64) float64 {
	if value == 0 {
		return 0
	}
	text := strconv.FormatFloat(value, 'e', 2, 64)
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return value
	}
	return number
}

// percent formats a share as a percentage with two significant digits. It formats shares below a
// millionth of a percent as 0%.
func percent(value float64) string {
	if math.Abs(value) < 1e-8 {
		return "0%"
	}
	percent, err := strconv.ParseFloat(strconv.FormatFloat(value*100, 'e', 1, 64), 64)
	if err != nil || math.Abs(percent) < 1e-4 {
		return strconv.FormatFloat(value*100, 'g', 2, 64) + "%"
	}
	return strconv.FormatFloat(percent, 'f', -1, 64) + "%"
}

// cell escapes a text for a cell of a Markdown table.
func cell(text string) string {
	text = strings.ReplaceAll(text, "|", `\|`)
	return strings.ReplaceAll(text, "\n", " ")
}

// table returns a Markdown table.
func table(header []string, rows [][]string) string {
	var b strings.Builder
	writeRow(&b, header)
	rule := make([]string, len(header))
	for i := range rule {
		rule[i] = "---"
	}
	writeRow(&b, rule)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, text := range row {
			cells[i] = cell(text)
		}
		writeRow(&b, cells)
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string) {
	fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
}
