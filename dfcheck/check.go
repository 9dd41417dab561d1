// Package dfcheck asserts invariants in the running program. A broken invariant
// is counted and handed to a handler; the caller then refuses the operation, so
// that a fault does no harm in production and ends a test at once.
package dfcheck

import "sync/atomic"

// Handler learns of a broken invariant. Tests panic in it.
type Handler func(part, invariant string)

var (
	failures atomic.Uint64
	handler  atomic.Pointer[Handler]
)

// SetHandler replaces the handler and returns the previous one, which may be nil.
func SetHandler(next Handler) Handler {
	previous := handler.Swap(&next)
	if previous == nil {
		return nil
	}
	return *previous
}

// Panic is the handler of tests.
func Panic(part, invariant string) {
	panic(part + ": broken invariant: " + invariant)
}

// Failures returns how many times an invariant was found broken.
func Failures() uint64 {
	return failures.Load()
}

// Holds returns the condition and reports the invariant if it is false.
func Holds(condition bool, part, invariant string) bool {
	if condition {
		return true
	}
	failures.Add(1)
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(part, invariant)
	}
	return false
}
