package emulator

import (
	"runtime"
	"strings"
	"time"
)

// AwaitAtLock waits until a goroutine with a call of a function on its stack ("upstream.(*trunk).Data(") stands at a lock. A
// test that holds the lock has the program between the two lines before and behind it, and lets it go at its word.
func AwaitAtLock(t Test, function string) {
	t.Helper()
	all := make([]byte, 1<<20)
	for late := time.Now().Add(patience); time.Now().Before(late); time.Sleep(time.Millisecond) {
		for g := range strings.SplitSeq(string(all[:runtime.Stack(all, true)]), "\n\n") {
			if strings.Contains(g, function) && strings.Contains(g, "[sync.Mutex.Lock") {
				return
			}
		}
	}
	t.Fatalf("nothing in %s stands at a lock", function)
}
