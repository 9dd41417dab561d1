package dfpace

import (
	"math"
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfreport"
)

// latencyBuckets is the number of buckets of a latency histogram. Bucket i holds
// latencies from 2^(i/2) ms, the last one those from 11 s.
const latencyBuckets = 28

// bucket has the counts of one span of a window.
type bucket struct {
	// number counts the spans since the origin of the clock.
	number       dfclock.Millis
	good, failed int
	latencies    [latencyBuckets]int
}

// window has the answers of the last bucketCount spans.
type window struct {
	span    dfclock.Millis
	buckets [bucketCount]bucket
	// heardAt is when a carrier last reported counts, or Never if the answers are this
	// host's own. Later answers are not known yet.
	heardAt dfclock.Millis
}

// newWindow returns the window of this host's own answers.
func newWindow() window {
	return window{span: bucketSpan, heardAt: dfclock.Never}
}

// newReportedWindow returns a window of answers that carriers report.
func newReportedWindow() window {
	return window{span: reportedSpan, heardAt: -reportedTTL}
}

func (w *window) at(now dfclock.Millis) *bucket {
	number := now / w.span
	b := &w.buckets[number%bucketCount]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// covers reports whether the answers of a whole span are known.
func (w *window) covers(number dfclock.Millis) bool {
	return w.heardAt >= (number+1)*w.span+dfreport.SlotSpan/2
}

// addCounts adds answers that a carrier reported, of the span that at lies in.
func (w *window) addCounts(now, at dfclock.Millis, good, failed int) {
	w.heardAt = now
	b := w.at(at)
	b.good += good
	b.failed += failed
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

// bucket returns the counts of one span of the window, or nil.
func (w *window) bucket(number dfclock.Millis) *bucket {
	b := &w.buckets[number%bucketCount]
	if number < 0 || b.number != number {
		return nil
	}
	return b
}

func (w *window) addTo(now dfclock.Millis, t *totals) {
	for number := max(0, now/w.span-bucketCount+1); number <= now/w.span; number++ {
		if b := w.bucket(number); b != nil {
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

// stratum has the answers of an upstream and of the others in the same spans.
type stratum struct{ own, others totals }

// strata divides the windows into runs of spans, each as short as full allows. An
// upstream's share of the reads changes with the faults of others, so sums over the
// whole window would compare different times.
func strata(now dfclock.Millis, own *window, others []*window, full func(*stratum) bool) []stratum {
	var all []stratum
	var current stratum
	for number := max(0, now/own.span-bucketCount+1); number <= now/own.span; number++ {
		if b := own.bucket(number); b != nil {
			current.own.add(b)
		}
		for _, other := range others {
			if b := other.bucket(number); b != nil && other.covers(number) {
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

// excess returns by how many the failures of an upstream exceed the expected ones if all
// upstreams fail alike, and the variance. Failures in a stratum without answers of the
// others are expected in full: they are no evidence.
func (s *stratum) excess() (excess, variance float64) {
	n, m := float64(s.own.answers()), float64(s.others.answers())
	failed := float64(s.own.failed + s.others.failed)
	if n+m == 0 {
		return 0, 0
	}
	return float64(s.own.failed) - n*failed/(n+m), n * m * failed * (n + m - failed) / ((n + m) * (n + m) * max(1, n+m-1))
}

// withoutOnset returns the strata that are compared where carriers report. The times of
// their counts are uncertain by half a slot, so a fault that all upstreams share may seem
// to begin in another stratum for one of them. The stratum with the largest excess is left
// out, and so are those in which nothing is known of the others.
func withoutOnset(all []stratum) []stratum {
	var kept []stratum
	onset, largest := -1, 0.0
	for i := range all {
		if all[i].others.answers() == 0 {
			continue
		}
		if excess, _ := all[i].excess(); excess > largest {
			onset, largest = len(kept), excess
		}
		kept = append(kept, all[i])
	}
	if onset < 0 {
		return kept
	}
	return slices.Delete(kept, onset, onset+1)
}

// failsMore reports whether an upstream fails more statements than chance explains if
// all upstreams fail alike (the Mantel-Haenszel test).
func failsMore(all []stratum, deviations float64) bool {
	var own, others totals
	excess, variance := 0.0, 0.0
	for i := range all {
		s := &all[i]
		own.good, own.failed = own.good+s.own.good, own.failed+s.own.failed
		others.good, others.failed = others.good+s.others.good, others.failed+s.others.failed
		more, spread := s.excess()
		excess, variance = excess+more, variance+spread
	}
	if own.answers() < minAnswers || others.answers() < minAnswers || own.failed < minFailures {
		return false
	}
	share, otherShare := float64(own.failed)/float64(own.answers()), float64(others.failed)/float64(others.answers())
	needed := deviations
	if own.failed >= minDistinctFailures && share >= minDistinctShare && otherShare*distinctFactor <= share {
		needed = distinctDeviations
	}
	return share-otherShare > minExcessShare && excess > needed*math.Sqrt(variance)
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

func hasReports(s *stratum) bool {
	return s.own.answers()+s.others.answers() >= minReportedAnswers
}

func hasLatencies(s *stratum) bool {
	return s.own.good >= minStratumLatencies && s.others.good >= minStratumLatencies
}

func isSlow(latency, others dfclock.Millis) bool {
	return latency >= slowFactor*others && latency >= others+minExcessLatency
}
