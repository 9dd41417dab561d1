package dfpace

import (
	"math"

	"dragonflygrade/dfclock"
)

// latencyBuckets is the number of buckets of a latency histogram. Bucket i holds
// latencies from 2^(i/2) ms, the last one those from 11 s.
const latencyBuckets = 28

// bucket has the counts of one second.
type bucket struct {
	second       dfclock.Millis
	good, failed int
	latencies    [latencyBuckets]int
}

// window has the answers of the last bucketCount seconds.
type window struct {
	buckets [bucketCount]bucket
}

func (w *window) at(now dfclock.Millis) *bucket {
	second := now / bucketSpan
	b := &w.buckets[second%bucketCount]
	if b.second != second {
		*b = bucket{second: second}
	}
	return b
}

func (w *window) addGood(now, latency dfclock.Millis) {
	b := w.at(now)
	b.good++
	b.latencies[latencyBucket(latency)]++
}

func (w *window) addFailed(now dfclock.Millis) {
	w.at(now).failed++
}

func latencyBucket(latency dfclock.Millis) int {
	return min(latencyBuckets-1, int(2*math.Log2(float64(max(1, latency)))))
}

// totals are the counts of one or more windows.
type totals struct {
	good, failed int
	latencies    [latencyBuckets]int
}

func (w *window) addTo(now dfclock.Millis, t *totals) {
	oldest := now/bucketSpan - bucketCount + 1
	for i := range w.buckets {
		b := &w.buckets[i]
		if b.second < oldest {
			continue
		}
		t.good += b.good
		t.failed += b.failed
		for j, n := range b.latencies {
			t.latencies[j] += n
		}
	}
}

func (t *totals) answers() int { return t.good + t.failed }

// medianLatency returns the middle of the bucket that has the median.
func (t *totals) medianLatency() dfclock.Millis {
	seen := 0
	for i, n := range t.latencies {
		seen += n
		if 2*seen >= t.good && n > 0 {
			return dfclock.Millis(math.Round(math.Exp2((float64(i) + 0.5) / 2)))
		}
	}
	return 0
}

// failsMore reports whether the share of failures exceeds that of the others by more
// than chance explains (two-proportion z-test).
func (t *totals) failsMore(others *totals) bool {
	n, m := float64(t.answers()), float64(others.answers())
	if n < minAnswers || m < minAnswers || t.failed < minFailures {
		return false
	}
	excess := float64(t.failed)/n - float64(others.failed)/m
	pooled := float64(t.failed+others.failed) / (n + m)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/n + 1/m))
	return excess > max(minExcessShare, deviations*deviation)
}

// slower reports whether the latency exceeds that of the others by more than a queue
// of usual length explains.
func (t *totals) slower(others *totals) bool {
	if t.good < minSlowAnswers || others.good < minSlowAnswers {
		return false
	}
	return isSlow(t.medianLatency(), others.medianLatency())
}

func isSlow(latency, others dfclock.Millis) bool {
	return latency >= slowFactor*others && latency >= others+minExcessLatency
}
