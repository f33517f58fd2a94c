package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// usage is the processor time and traffic of a process since its start.
type usage struct {
	CPU      float64 `json:"cpu_s"`
	Received int64   `json:"received_bytes"`
	Sent     int64   `json:"sent_bytes"`
}

func (u usage) bytes() float64 { return float64(u.Received + u.Sent) }

func (u usage) plus(other usage) usage {
	return usage{u.CPU + other.CPU, u.Received + other.Received, u.Sent + other.Sent}
}

func (u usage) minus(other usage) usage {
	return usage{u.CPU - other.CPU, u.Received - other.Received, u.Sent - other.Sent}
}

// processorTime returns the user and system processor time of this process.
func processorTime() (seconds float64, err error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, fmt.Errorf("getrusage: %w", err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds(), nil
}

// Fields of /proc/PID/status, whose values are in kB.
const (
	residentNow  = "VmRSS"
	residentPeak = "VmHWM"
)

// residentMemory returns the resident memory of a process in bytes, or 0 if the process has ended.
func residentMemory(pid int, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	return kilobyteField(string(text), field)
}

// machineMemory returns the memory of the machine in bytes, or 0 if it cannot be read.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return kilobyteField(string(text), "MemTotal")
}

// kilobyteField returns the value of a line such as "Name:   123 kB" in bytes, or 0 if there is none.
func kilobyteField(text, name string) int64 {
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) > 1 && words[0] == name+":" {
			n, _ := strconv.ParseInt(words[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// Machine describes this machine in the results by a number of cores and its processor model.
func Machine(cores int) string {
	text, _ := os.ReadFile("/proc/cpuinfo")
	model := "unknown processor"
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			model = strings.TrimSpace(value)
			break
		}
	}
	return fmt.Sprintf("%d cores, %s", cores, model)
}

// machineTime is the processor time of the whole machine since its boot, in ticks.
type machineTime struct{ busy, all int64 }

// Indexes of fields in the first line of /proc/stat. The fields of idle and I/O wait time count as idle.
const (
	idleField       = 4
	ioWaitField     = 5
	firstGuestField = 9 // this and later fields are already included in earlier ones
)

// readMachineTime reads /proc/stat and returns zero times if it cannot be read.
func readMachineTime() machineTime {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return machineTime{}
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var t machineTime
	for i, word := range strings.Fields(line) {
		if i == 0 || i >= firstGuestField {
			continue
		}
		ticks, _ := strconv.ParseInt(word, 10, 64)
		t.all += ticks
		if i != idleField && i != ioWaitField {
			t.busy += ticks
		}
	}
	return t
}

// busyFraction returns the fraction of the machine's processor time that all processes used between two readings.
func busyFraction(from, to machineTime) float64 {
	if to.all <= from.all {
		return 0
	}
	return float64(to.busy-from.busy) / float64(to.all-from.all)
}
