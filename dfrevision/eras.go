package dfrevision

import "sync/atomic"

// Eras has the latest era that was seen in the answers of a store. It is safe for
// concurrent use. The zero value has seen none.
type Eras struct {
	// latest never decreases.
	latest atomic.Uint64
}

// Observe records the era of an answer.
func (e *Eras) Observe(era uint64) {
	for {
		latest := e.latest.Load()
		if era <= latest || e.latest.CompareAndSwap(latest, era) {
			return
		}
	}
}

// Latest returns the latest era, or 0 if none was seen.
func (e *Eras) Latest() uint64 {
	return e.latest.Load()
}
