package dfadmit

import (
	"math/rand/v2"

	"dragonflygrade/dfclock"
)

// Retries bounds retries to a share of requests, so that a failure does not
// multiply the load. It is not safe for concurrent use.
type Retries struct {
	source *rand.Rand
	share  float64
	// credits is at most retryBurst and never negative.
	credits float64
}

// NewRetries returns a budget; a share that is not positive takes the default.
func NewRetries(share float64, source *rand.Rand) *Retries {
	if share <= 0 {
		share = DefaultRetryShare
	}
	return &Retries{source: source, share: share, credits: retryBurst / 2}
}

// Request counts a first attempt.
func (r *Retries) Request() {
	r.credits = min(retryBurst, r.credits+r.share)
}

// Retry returns when attempt number n (the first retry is 1) may start. It
// returns false if the budget is used up or the deadline would pass.
func (r *Retries) Retry(now, deadline dfclock.Millis, attempt int) (dfclock.Millis, bool) {
	if r.credits < 1 || attempt < 1 {
		return 0, false
	}
	span := min(RetryMax, RetryBase<<min(attempt-1, 10))
	// Half of the span is random, so that callers do not come back together.
	at := now.Add(span/2 + dfclock.Millis(r.source.Int64N(int64(span/2)+1)))
	if at >= deadline {
		return 0, false
	}
	r.credits--
	return at, true
}
