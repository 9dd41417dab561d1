package dfpace

import (
	"math"

	"dragonflygrade/dfclock"
)

// Growth is the rule by which a limit grows: Gradient, Additive, Multiplicative or
// Unlimited. docs/design/pace.md compares them.
type Growth interface {
	// next returns the limit after a good answer. base is the lowest recent latency.
	next(limit float64, latency, base dfclock.Millis) float64
}

// gradientTolerance is the latency, as a multiple of the lowest recent one, at which
// the limit no longer grows.
const gradientTolerance = 2.0

// Gradient grows the limit in proportion to how far the latency is from
// gradientTolerance times the lowest recent one, and lowers it above.
type Gradient struct{}

// Additive adds one statement per limit answers.
type Additive struct{}

// Multiplicative doubles the limit per limit answers.
type Multiplicative struct{}

// Unlimited lifts every limit at once. It is the baseline of comparisons.
type Unlimited struct{}

func (Gradient) next(limit float64, latency, base dfclock.Millis) float64 {
	slope := 1 - (float64(latency)/float64(max(1, base))-1)/(gradientTolerance-1)
	slope = max(-1, min(1, slope))
	return limit * (1 + slope/2/max(1, limit))
}

func (Additive) next(limit float64, _, _ dfclock.Millis) float64 {
	return limit + 0.1/max(1, limit)
}

func (Multiplicative) next(limit float64, _, _ dfclock.Millis) float64 {
	return limit * (1 + 1/max(1, limit))
}

func (Unlimited) next(float64, dfclock.Millis, dfclock.Millis) float64 {
	return math.Inf(1)
}
