package dfadmit

import (
	"math/rand/v2"

	"dragonflygrade/dfclock"
)

// RetryBudget bounds the ratio of retries to requests, so that a failure does not
// multiply the load. It is not safe for concurrent use.
type RetryBudget struct {
	random *rand.Rand
	ratio  float64
	// tokens is between 0 and retryBurst.
	tokens float64
}

// NewRetryBudget returns a budget. A ratio that is not positive is replaced by the
// default.
func NewRetryBudget(ratio float64, random *rand.Rand) *RetryBudget {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	return &RetryBudget{random: random, ratio: ratio, tokens: retryBurst / 2}
}

// RecordRequest adds the tokens of a first attempt.
func (r *RetryBudget) RecordRequest() {
	r.tokens = min(retryBurst, r.tokens+r.ratio)
}

// Retry returns when the given attempt may start; the first retry is attempt 1. It
// returns false if the budget is used up or the deadline would pass before.
func (r *RetryBudget) Retry(now, deadline dfclock.Millis, attempt int) (dfclock.Millis, bool) {
	if r.tokens < 1 || attempt < 1 {
		return 0, false
	}
	delay := min(RetryMaxDelay, RetryBaseDelay<<min(attempt-1, 10))
	// Half of the delay is random, so that callers do not retry at the same time.
	at := now.Add(delay/2 + dfclock.Millis(r.random.Int64N(int64(delay/2)+1)))
	if at >= deadline {
		return 0, false
	}
	r.tokens--
	return at, true
}
