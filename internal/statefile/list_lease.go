package statefile

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// ListLeaseFile is the name of the file in a forwarder's folder that tells when the lease of the endpoint list expires.
const ListLeaseFile = "list-lease"

const listLeaseHeader = "spanflow list-lease 1"

// maxUptime is an implausible uptime in seconds. Larger ones in files are ignored.
const maxUptime = 1e9

// Uptime returns the time since the machine was started. All processes have the same, and steps of the wall clock do not
// change it.
func Uptime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}

// WriteListLease replaces the file of the lease, which expires after the given time.
func WriteListLease(dir string, expiresIn time.Duration) error {
	now, err := Uptime()
	if err != nil {
		return err
	}
	return Write(dir, ListLeaseFile, fmt.Sprintf("%s\n%.3f\n", listLeaseHeader, (now+expiresIn).Seconds()))
}

// RemoveListLease removes the file of the lease. It is no error if there is none.
func RemoveListLease(dir string) error {
	err := os.Remove(filepath.Join(dir, ListLeaseFile))
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// ReadListLease returns the time after which the lease expires that an earlier process wrote; it is negative if the lease
// has expired. found is false if there is no readable file, or if it was written before the machine was started, which a
// lease longer than longest shows.
func ReadListLease(dir string, longest time.Duration) (expiresIn time.Duration, found bool) {
	text, err := os.ReadFile(filepath.Join(dir, ListLeaseFile))
	if err != nil {
		return 0, false
	}
	lines := strings.Split(string(text), "\n")
	if len(lines) < 2 || lines[0] != listLeaseHeader {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(lines[1], 64)
	now, clockErr := Uptime()
	if err != nil || clockErr != nil || math.IsNaN(seconds) {
		return 0, false
	}
	left := seconds - now.Seconds()
	if left > longest.Seconds() {
		return 0, false
	}
	return time.Duration(math.Max(left, -longest.Seconds()) * float64(time.Second)), true
}
