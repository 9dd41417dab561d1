package dfpace

import "dragonflygrade/dfclock"

const (
	// bucketSpan and bucketCount give a window of 10 s. A host of a deployment of 61
	// hosts sees less than one answer of an upstream per second.
	bucketSpan  = dfclock.Second
	bucketCount = 10
	// minAnswers is the least number of answers of an upstream, and of the others
	// together, that a comparison needs.
	minAnswers = 5
	// minFailures is the least number of failures that set an upstream aside.
	minFailures = 3
	// minExcessShare is by how much the share of failures must exceed that of the
	// others. Upstreams that fail 14 % of their statements must be detected.
	minExcessShare = 0.1
	// deviations is by how many standard deviations the share of failures must exceed
	// that of the others. The comparison is repeated with every failure, so 3 would
	// set an upstream aside by chance when all fail alike.
	deviations = 4.0
	// slowFactor and minExcessLatency are by how much the median latency must exceed
	// that of the others. A queue as long as the slots doubles the latency and must
	// not set an upstream aside.
	slowFactor       = 3
	minExcessLatency = 50 * dfclock.Millisecond
	// minSlowAnswers is the least number of latencies that a median needs.
	minSlowAnswers = 8
	// An upstream is set aside for minAside, doubled up to maxAside with each time.
	minAside = dfclock.Second
	maxAside = 8 * dfclock.Second
	// asideMemory is how long after its return an upstream must answer well before
	// its next time aside starts at minAside again.
	asideMemory = 10 * dfclock.Second
	// probationAnswers is how many good answers in a row end the probation after a
	// return. Until then one failure sets the upstream aside again: an upstream that
	// fails 45 % of its statements passes 1 of 400 times.
	probationAnswers = 10
	// recoveryFailures failures without a good answer in between, over at least
	// recoveryOutage, make the next good answer a recovery.
	recoveryFailures = 3
	recoveryOutage   = 500 * dfclock.Millisecond
	// defaultLatency is the expected latency before an answer was measured.
	defaultLatency = 25 * dfclock.Millisecond
	// maxInterval is the longest interval between two statements of a paced host, so
	// that a host with little traffic is not kept from an upstream.
	maxInterval = 400 * dfclock.Millisecond
	// lostAfter is when a statement without a recorded end no longer counts.
	lostAfter = dfclock.Second
	// idleSpan is how long a limit must not have delayed a statement before it is
	// lifted.
	idleSpan = dfclock.Second
	// startShare is the part of the upstream's slots that all hosts together fill at
	// the start. Cold upstreams bear about a third of what warm ones do.
	startShare = 0.3
	// minLimit bounds the limit from below.
	minLimit = 0.01
	// maxEvents bounds the events that are kept until they are read.
	maxEvents = 64
	// decreaseSpan is the least interval between two decreases. Answers of one queue
	// arrive together and count once.
	decreaseSpan = 100 * dfclock.Millisecond
)
