package dfadmit

import (
	"math"

	"dragonflygrade/dfclock"
)

// ExpectedWait returns the expected time until a further request of the lowest priority
// starts.
func (q *Queue) ExpectedWait(now dfclock.Millis) dfclock.Millis {
	q.advanceTo(now)
	return q.limiter.expectedWait(max(0, len(q.running)+len(q.waiting)+1-q.Limit()))
}

// MeanServiceTime returns the mean time from the start of a request to its end, or zero
// before the first end.
func (q *Queue) MeanServiceTime() dfclock.Millis {
	return dfclock.Millis(math.Ceil(q.limiter.meanServiceTime()))
}
