// Package dfquota limits the operations of organisations over all hosts. One host,
// the owner, holds the token bucket of an organisation and grants tokens to hosts
// that ask. docs/design/quota.md has the arithmetic of the bound.
package dfquota

import "dragonflygrade/dfclock"

const (
	// GrantTTL is how long after an ask was sent its grant may be used. It bounds
	// the tokens that hosts hold when their owner changes.
	GrantTTL = 300 * dfclock.Millisecond
	// QuorumTTL is how long an owner may grant after its last contact with a
	// majority of the hosts, and how long its successor grants at the interim rate.
	QuorumTTL = 2 * dfclock.Second
	// askTimeout bounds one exchange with an owner, and probeAnswerTimeout a probe. A
	// host whose CPU share is used up can be stopped for 80 ms. A probe that fails in
	// error costs interim tokens only.
	askTimeout         = 150 * dfclock.Millisecond
	probeAnswerTimeout = 120 * dfclock.Millisecond
	// settleDelay is how long a host grants nothing after it was first answered and after
	// the contact with a majority that it reached. Within that time the news of a new
	// host reaches most others.
	settleDelay = 600 * dfclock.Millisecond
	// probeInterval is how often a host that grants in place of others asks whether
	// they are back. It bounds the time in which both grant.
	probeInterval = 100 * dfclock.Millisecond
	// probeMaxAge is how long the result of a probe counts. It covers a probe that
	// takes probeAnswerTimeout and the interval before it.
	probeMaxAge = 400 * dfclock.Millisecond
	// witnessInterval is how often a host asks others whether they reach a host that
	// it misses. reachedMaxAge is how long their answer counts; it covers a few asks
	// that are lost.
	witnessInterval = 300 * dfclock.Millisecond
	reachedMaxAge   = 1500 * dfclock.Millisecond
	// maxMissed bounds the missed hosts in an ask.
	maxMissed = 32
	// probeTimeout is how long a host goes on asking after the hosts before it once
	// nobody asks it for tokens. It is longer than the pauses of a small organisation.
	probeTimeout = 30 * dfclock.Second
	// downProbeInterval is the time after which a host asks an owner that did not
	// answer whether it is back. It doubles up to maxDownProbeInterval, because most
	// hosts of a data centre that is cut off are owners. A substitute that declines
	// tells sooner.
	downProbeInterval    = 200 * dfclock.Millisecond
	maxDownProbeInterval = 2 * dfclock.Second
	// maxUnreadyProbeInterval bounds it for a host that answers that it is not ready.
	maxUnreadyProbeInterval = 400 * dfclock.Millisecond
	// maxCandidates bounds the hosts that may own an organisation. The first three
	// lie in different data centres where there are as many.
	maxCandidates = 6
	// interimShare is the share of the rate that the second host by rank grants
	// while the first may still grant.
	interimShare = 0.4
	// interimSpan is the time, in seconds, whose tokens the second host by rank may grant
	// while the first may still grant.
	interimSpan = interimShare * float64(QuorumTTL) / float64(dfclock.Second)
	// handoverSpan is the time in which a returning owner and its substitute may both
	// grant, until the next probe, and the way from the admission to the upstream.
	handoverSpan = 200 * dfclock.Millisecond
	// minDepthSpan is the part of the rate, in seconds, that a bucket holds at
	// least, so that no tokens are lost between two asks.
	minDepthSpan = 0.25
	// aheadSpan is the time for which a host asks ahead. It leaves a margin within
	// GrantTTL for the way of the ask.
	aheadSpan = 200 * dfclock.Millisecond
	// demandSpan is the time constant of the averages of demand and supply.
	demandSpan = dfclock.Second
	// shortAskInterval is the shortest time between two asks for an organisation
	// whose owner had fewer tokens than it was asked for. It bounds the messages at
	// the owner of an organisation that has reached its limit.
	shortAskInterval = 80 * dfclock.Millisecond
	// quietAskInterval is the same at a host with less than busyRate operations per
	// second of the organisation. It has operations that wait only now and then, and
	// the shortest wait is 90 ms.
	quietAskInterval = 20 * dfclock.Millisecond
	busyRate         = 2
	// declinedAskInterval is the time after which a host asks again that was told to
	// ask another one. It covers a probe between the two.
	declinedAskInterval = 30 * dfclock.Millisecond
	// minRetryAfter and maxRetryAfter bound the time that a refusal gives the caller
	// to come back.
	minRetryAfter = 50 * dfclock.Millisecond
	maxRetryAfter = dfclock.Second
	// forgottenSpan is how long a host that did not run is still known to all others.
	// Neighbours forget one after 90 s.
	forgottenSpan = 60 * dfclock.Second
	// idleTimeout is how long a host keeps the state of an organisation that sends
	// no operations.
	idleTimeout = 10 * dfclock.Second
)
