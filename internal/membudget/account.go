package membudget

import "sync/atomic"

// Account counts the bytes that a process holds for one purpose, against a limit. It is safe for concurrent use. A nil
// account has no limit and counts nothing.
type Account struct {
	name     string
	limit    int64
	held     atomic.Int64
	peak     atomic.Int64
	refusals atomic.Int64
}

// NewAccount returns an account with a limit in bytes; 0 means unlimited.
func NewAccount(name string, limit int) *Account { return &Account{name: name, limit: int64(limit)} }

// Name returns the name of the account in logs and metrics.
func (a *Account) Name() string { return a.name }

// Limit returns the limit in bytes; 0 means unlimited.
func (a *Account) Limit() int {
	if a == nil {
		return 0
	}
	return int(a.limit)
}

// Held returns the bytes that are held now.
func (a *Account) Held() int {
	if a == nil {
		return 0
	}
	return int(a.held.Load())
}

// Peak returns the largest number of bytes that were held at a time.
func (a *Account) Peak() int { return int(a.peak.Load()) }

// Refusals returns how often something was refused because the account was full.
func (a *Account) Refusals() int { return int(a.refusals.Load()) }

// Add counts bytes that are held already, even over the limit. The caller has to make room if Exceeded reports so.
func (a *Account) Add(bytes int) {
	if a == nil || bytes == 0 {
		return
	}
	a.raisePeak(a.held.Add(int64(bytes)))
}

// TryAdd counts bytes if they fit within the limit, and reports whether they do. An empty account has room for anything,
// as the size of a single object has a limit of its own.
func (a *Account) TryAdd(bytes int) bool {
	if a == nil {
		return true
	}
	for {
		held := a.held.Load()
		if a.limit > 0 && held > 0 && held+int64(bytes) > a.limit {
			a.refusals.Add(1)
			return false
		}
		if a.held.CompareAndSwap(held, held+int64(bytes)) {
			a.raisePeak(held + int64(bytes))
			return true
		}
	}
}

// Release counts bytes as no longer held.
func (a *Account) Release(bytes int) {
	if a != nil {
		a.held.Add(-int64(bytes))
	}
}

// Exceeded reports whether more bytes are held than the limit allows.
func (a *Account) Exceeded() bool {
	return a != nil && a.limit > 0 && a.held.Load() > a.limit
}

// CountRefusal records that something was refused because the account was full.
func (a *Account) CountRefusal() {
	if a != nil {
		a.refusals.Add(1)
	}
}

func (a *Account) raisePeak(held int64) {
	for peak := a.peak.Load(); held > peak && !a.peak.CompareAndSwap(peak, held); peak = a.peak.Load() {
	}
}
