// Package dfclock has the project's only time type. Decision packages take
// the current time as an argument and never read a clock themselves.
package dfclock

import "strconv"

// Millis counts milliseconds. It is used for instants, counted from an origin
// that the process chooses once, and for spans between instants.
type Millis int64

// Spans in common use.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Never is an instant later than every instant that a clock returns.
const Never Millis = 1<<63 - 1

// Since returns the span from an earlier instant to m.
func (m Millis) Since(earlier Millis) Millis {
	return m - earlier
}

// Add returns the instant that lies span after m. It saturates at Never.
func (m Millis) Add(span Millis) Millis {
	if m == Never || span == Never {
		return Never
	}
	return m + span
}

// Before reports whether m is earlier than other.
func (m Millis) Before(other Millis) bool {
	return m < other
}

// Reached reports whether the instant due lies at or before m.
func (m Millis) Reached(due Millis) bool {
	return m >= due
}

// String formats m as a count of milliseconds with its unit.
func (m Millis) String() string {
	if m == Never {
		return "never"
	}
	return strconv.FormatInt(int64(m), 10) + "ms"
}
