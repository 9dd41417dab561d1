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

func (t *totals) add(b *bucket) {
	t.good += b.good
	t.failed += b.failed
	for j, n := range b.latencies {
		t.latencies[j] += n
	}
}

// second returns the counts of one second of the window, or nil.
func (w *window) second(second dfclock.Millis) *bucket {
	b := &w.buckets[second%bucketCount]
	if second < 0 || b.second != second {
		return nil
	}
	return b
}

func (w *window) addTo(now dfclock.Millis, t *totals) {
	for second := max(0, now/bucketSpan-bucketCount+1); second <= now/bucketSpan; second++ {
		if b := w.second(second); b != nil {
			t.add(b)
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

// stratum has the answers of an upstream and of the others in the same seconds.
type stratum struct{ own, others totals }

// strata divides the windows into runs of seconds, each as short as full allows. An
// upstream's share of the reads changes with the faults of others, so sums over the
// whole window would compare different times.
func strata(now dfclock.Millis, own *window, others []*window, full func(*stratum) bool) []stratum {
	var all []stratum
	var current stratum
	for second := max(0, now/bucketSpan-bucketCount+1); second <= now/bucketSpan; second++ {
		if b := own.second(second); b != nil {
			current.own.add(b)
		}
		for _, other := range others {
			if b := other.second(second); b != nil {
				current.others.add(b)
			}
		}
		if full(&current) {
			all = append(all, current)
			current = stratum{}
		}
	}
	return append(all, current)
}

// failsMore reports whether an upstream fails more statements than chance explains if
// all upstreams fail alike (the Mantel-Haenszel test).
func failsMore(all []stratum) bool {
	var own, others totals
	expected, variance := 0.0, 0.0
	for i := range all {
		s := &all[i]
		n, m := float64(s.own.answers()), float64(s.others.answers())
		failed := float64(s.own.failed + s.others.failed)
		own.good, own.failed = own.good+s.own.good, own.failed+s.own.failed
		others.good, others.failed = others.good+s.others.good, others.failed+s.others.failed
		if n+m == 0 {
			continue
		}
		// Failures in a stratum without answers of the others are expected in full: they
		// are no evidence.
		expected += n * failed / (n + m)
		variance += n * m * failed * (n + m - failed) / ((n + m) * (n + m) * max(1, n+m-1))
	}
	if own.answers() < minAnswers || others.answers() < minAnswers || own.failed < minFailures {
		return false
	}
	share, otherShare := float64(own.failed)/float64(own.answers()), float64(others.failed)/float64(others.answers())
	needed := deviations
	if own.failed >= minDistinctFailures && share >= minDistinctShare && otherShare*distinctFactor <= share {
		needed = distinctDeviations
	}
	return share-otherShare > minExcessShare && float64(own.failed)-expected > needed*math.Sqrt(variance)
}

// slower reports whether the median latency exceeds that of the others in each of the
// last slowStrata strata.
func slower(all []stratum) bool {
	compared := 0
	for i := len(all) - 1; i >= 0 && compared < slowStrata; i-- {
		s := &all[i]
		if !hasLatencies(s) {
			continue
		}
		if !isSlow(s.own.medianLatency(), s.others.medianLatency()) {
			return false
		}
		compared++
	}
	return compared == slowStrata
}

func hasAnswers(s *stratum) bool {
	return s.own.answers()+s.others.answers() >= minStratumAnswers
}

func hasLatencies(s *stratum) bool {
	return s.own.good >= minStratumLatencies && s.others.good >= minStratumLatencies
}

func isSlow(latency, others dfclock.Millis) bool {
	return latency >= slowFactor*others && latency >= others+minExcessLatency
}
