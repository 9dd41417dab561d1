package dfbudget

import "sync/atomic"

var violations atomic.Uint64

// OnViolation is called after a broken invariant was counted. Tests set it to
// panic; in production the operation is refused and the default does nothing.
var OnViolation = func(invariant string) {}

// Violations returns how many times an invariant was found broken.
func Violations() uint64 {
	return violations.Load()
}

func holds(condition bool, invariant string) bool {
	if !condition {
		violations.Add(1)
		OnViolation(invariant)
	}
	return condition
}
