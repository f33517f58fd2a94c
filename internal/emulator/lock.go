package emulator

import (
	"runtime"
	"strings"
	"time"
)

const (
	stackBufferSize  = 1 << 20          // bytes for the stacks of all goroutines
	lockPollInterval = time.Millisecond // between checks of the stacks
	blockedOnMutex   = "[sync.Mutex.Lock"
)

// AwaitBlockedOnLock waits until a goroutine that has a call of function on its stack, such as
// "upstream.(*connection).Data(", is blocked on a mutex. A test that holds the mutex then knows that the goroutine is
// about to lock it.
func AwaitBlockedOnLock(t Test, function string) {
	t.Helper()
	stacks := make([]byte, stackBufferSize)
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(lockPollInterval) {
		for goroutine := range strings.SplitSeq(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
			if strings.Contains(goroutine, function) && strings.Contains(goroutine, blockedOnMutex) {
				return
			}
		}
	}
	t.Fatalf("no call of %s is blocked on a mutex", function)
}
