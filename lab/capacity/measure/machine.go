package measure

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// processorTime returns the user and system processor time of this process in seconds.
func processorTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// withoutCollection runs a function with garbage collection off and returns its processor time in seconds. The time of
// a collection depends on the earlier growth of the heap, so the same work would cost more at some sizes than at
// others.
func withoutCollection(do func()) float64 {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	start := processorTime()
	do()
	return processorTime() - start
}

// processorTimeOf returns the processor time in seconds of another process, without threads that have ended.
func processorTimeOf(pid int) (float64, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, fmt.Errorf("no processor time of process %d: %w", pid, err)
	}
	sum := time.Duration(0)
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		ran, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		sum += time.Duration(n)
	}
	return sum.Seconds(), nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm of process %d has no second field", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

func openDescriptors(pid int) (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all), err
}

// machineMemory returns the machine's memory in bytes, or 0 if it is unknown.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	total, _, _ := strings.Cut(string(text), "\n")
	fields := strings.Fields(total)
	if len(fields) < 2 {
		return 0
	}
	kB, _ := strconv.ParseInt(fields[1], 10, 64)
	return kB << 10
}

// Machine describes the machine for the results: cores, memory, processor model and Go version, without a host name.
func Machine() string {
	model := "unknown processor"
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
			if name, value, ok := strings.Cut(lines.Text(), ":"); ok && strings.TrimSpace(name) == "model name" {
				model = strings.TrimSpace(value)
				break
			}
		}
	}
	return fmt.Sprintf("%d cores, %d GiB, %s, %s", runtime.NumCPU(), machineMemory()>>30, model, runtime.Version())
}
