package wal

import "strings"

// Filter picks entries; empty fields pick all.
type Filter struct {
	ID          string
	Destination *uint64
	Tenant      *int
	Key         *uint64
	Frontend    *string
	Type        string
	OlderThan   int64  // microseconds of the wall clock: expiry before it
	State       string // one of States, in any case of letters
}

// Matches reports whether an entry passes the filter.
func (f *Filter) Matches(e *Entry) bool {
	return (f.ID == "" || e.ID == f.ID) &&
		matches(f.Destination, e.Destination) &&
		matches(f.Tenant, e.Tenant) &&
		matches(f.Key, e.Key) &&
		matches(f.Frontend, e.Frontend) &&
		(f.Type == "" || e.Type == f.Type) &&
		(f.OlderThan == 0 || e.Expiry < f.OlderThan) &&
		(f.State == "" || strings.EqualFold(e.State(), f.State))
}

// matches reports whether a value is the wanted one; nil wants any.
func matches[T comparable](want *T, value T) bool { return want == nil || *want == value }
