package dfpace

import "dragonflygrade/dfclock"

const (
	// bucketSpan and bucketCount give a window of 30 s. A host of a deployment of 61
	// hosts sees about one answer of an upstream per second, and needs about 20 of them
	// to tell a share of failures of 45 % from chance.
	bucketSpan  = dfclock.Second
	bucketCount = 30
	// reportedSpan is the same for answers that carriers report, of which there are many.
	reportedSpan = 500 * dfclock.Millisecond
	// reportedTTL is how long after the last report of an upstream the reported answers
	// are compared. Afterwards this host's own are.
	reportedTTL = 5 * dfclock.Second
	// compareSpan is the least interval between two comparisons of latencies.
	compareSpan = 100 * dfclock.Millisecond
	// minAnswers is the least number of answers of an upstream, and of the others
	// together, that a comparison needs.
	minAnswers = 8
	// minFailures is the least number of failures that set an upstream aside.
	minFailures = 5
	// minExcessShare is by how much the share of failures must exceed that of the
	// others. Upstreams that fail 14 % of their statements must be detected.
	minExcessShare = 0.1
	// deviations is by how many standard deviations the share of failures must exceed
	// that of the others. The comparison is repeated with every failure, so 3 would
	// set an upstream aside by chance when all fail alike.
	deviations = 4.0
	// reportedDeviations is the same for answers that carriers report: all hosts compare
	// the same answers, and there are enough of them.
	reportedDeviations = 4.5
	// distinctDeviations is the same for an upstream that fails at least minDistinctShare
	// of its statements, and distinctFactor times the share of the others. Upstreams
	// that fail alike do not differ so much by chance, and ten failures must suffice.
	distinctDeviations  = 3.0
	minDistinctFailures = 6
	minDistinctShare    = 0.3
	distinctFactor      = 5
	// slowFactor and minExcessLatency are by how much the median latency must exceed
	// that of the others. A queue as long as the slots doubles the latency and must
	// not set an upstream aside.
	slowFactor       = 3
	minExcessLatency = 50 * dfclock.Millisecond
	// Medians are compared in strata of at least minStratumLatencies answers on either
	// side. An upstream is slower if it is so in each of the last slowStrata: queues
	// swing between upstreams, so a single median may be that of a queue.
	minStratumLatencies = 3
	slowStrata          = 5
	// minStratumAnswers is the number of answers on both sides from which on a stratum
	// is compared for failures.
	minStratumAnswers = 20
	// minReportedAnswers is the same for answers that carriers report. A host with little
	// traffic hears of a few at a time.
	minReportedAnswers = 10
	// An upstream is set aside for minAside, doubled up to maxAside with each time.
	minAside = dfclock.Second
	maxAside = 8 * dfclock.Second
	// statementsPerTrial is how many statements a host sends between two trials of an
	// upstream, unless that takes longer than maxAside. Trials at a host with little
	// traffic would be more than 5 % of its reads.
	statementsPerTrial = 40
	// asideMemory is how long after its return an upstream must answer well before
	// its next time aside starts at minAside again.
	asideMemory = 10 * dfclock.Second
	// probationAnswers is how many good answers in a row end the probation after a
	// return. Until then one failure sets the upstream aside again: an upstream that
	// fails 45 % of its statements passes 1 of 400 times.
	probationAnswers = 10
	// lossSpan is how long losses count as one. It is the shortest time in which a read
	// counts as lost.
	lossSpan = 300 * dfclock.Millisecond
	// sharedLossSpan is how long a loss at one upstream explains one at another.
	sharedLossSpan = 3 * dfclock.Second
	// After recoveryLosses losses without a good answer in between, over at least
	// recoveryOutage, a limit is in force for the recovery.
	recoveryLosses = 2
	recoveryOutage = 500 * dfclock.Millisecond
	// warmLatency and coldLatency are the expected latencies before an answer was
	// measured.
	warmLatency = 25 * dfclock.Millisecond
	coldLatency = 50 * dfclock.Millisecond
	// maxInterval is the longest interval between two statements of a paced host, so
	// that a host with little traffic is not kept from an upstream.
	maxInterval = 1200 * dfclock.Millisecond
	// lostAfter is when a statement without a recorded end no longer counts.
	lostAfter = dfclock.Second
	// idleSpan is how long a limit must not have delayed a statement before it is
	// lifted.
	idleSpan = dfclock.Second
	// queuedIdleSpan is how long carriers must not have reported a queue before a limit
	// is lifted. A host with one answer per second hears of a queue by chance.
	queuedIdleSpan = 3 * dfclock.Second
	// minPaceSpan is the least duration of a limit. In the cold phase a slow upstream
	// is not selected, which is no evidence that it needs no limit.
	minPaceSpan = 3 * dfclock.Second
	// coldStartShare is the part of the slots that all hosts together may fill when an
	// upstream starts. Cold upstreams bear about a third of what warm ones do.
	// warmStartShare is the same for an upstream that served as a replica before. Few
	// of many hosts use their part at once, so one host alone gets less.
	coldStartShare    = 0.3
	warmStartShare    = 2.0
	maxHostStartShare = 0.75
	// maxEvents bounds the events that are kept until they are read.
	maxEvents = 64
	// decreaseSpan is the least interval between two decreases. Answers of one queue
	// arrive together and count once.
	decreaseSpan = 100 * dfclock.Millisecond
)
