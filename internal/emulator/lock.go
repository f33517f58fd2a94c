package emulator

import (
	"runtime"
	"strings"
	"time"
)

const (
	stackBytes  = 1 << 20          // room for the stacks of all goroutines
	lockPoll    = time.Millisecond // between two looks at them
	waitsAtLock = "[sync.Mutex.Lock"
)

// AwaitBlockedOnLock waits until a goroutine with a call of function on its stack, such as "upstream.(*connection).Data(",
// waits for a mutex. A test that holds the mutex then knows that the goroutine is about to lock it.
func AwaitBlockedOnLock(t Test, function string) {
	t.Helper()
	stacks := make([]byte, stackBytes)
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(lockPoll) {
		for goroutine := range strings.SplitSeq(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
			if strings.Contains(goroutine, function) && strings.Contains(goroutine, waitsAtLock) {
				return
			}
		}
	}
	t.Fatalf("no call of %s waits for a lock", function)
}
