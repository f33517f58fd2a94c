package experiment

import (
	"fmt"

	"spanflow/lab/scenario"
)

// countCoverage counts a scenario's kinds of faults, pairs of kinds that overlap in time, and size classes.
func (v *ViolationSearch) countCoverage(s *scenario.Scenario) {
	kinds, pairs := map[string]bool{}, map[string]bool{}
	for i, a := range s.Faults {
		kinds[a.Kind] = true
		for _, b := range s.Faults[i+1:] {
			if a.Kind != b.Kind && a.At < b.At+b.For && b.At < a.At+a.For {
				pairs[min(a.Kind, b.Kind)+"+"+max(a.Kind, b.Kind)] = true
			}
		}
	}
	for kind := range kinds {
		v.Kinds[kind]++
	}
	for pair := range pairs {
		v.Pairs[pair]++
	}
	endpoints := 0
	for _, r := range s.Receivers {
		endpoints += r.Count * r.Endpoints
	}
	v.Sizes[sizeClass("forwarders", s.Dispatch.Forwarders)]++
	v.Sizes[sizeClass("targets", endpoints)]++
}

// sizeClass returns the name of the range that n falls into. Each range ends at about three times its start.
func sizeClass(of string, n int) string {
	low := 1
	for _, next := range []int{2, 4, 11, 31, 101} {
		if n < next {
			return fmt.Sprintf("%s %d to %d", of, low, next-1)
		}
		low = next
	}
	return fmt.Sprintf("%s %d to %d", of, low, maxSize)
}
