package dflease

import "dragonflygrade/dfclock"

// LeaseTTL is how long a host row stays good without renewal.
const LeaseTTL = 20 * dfclock.Second

// RenewInterval is the span between renewals. At 2,000 hosts it makes 250
// writes/s, within the several hundred of the table, and two renewals may fail
// before the lease lapses.
const RenewInterval = 8 * dfclock.Second

const (
	// leaseMargin shortens the lease at its holder, so that clocks whose rates
	// differ by up to 5 % do not let holder and taker overlap.
	leaseMargin = dfclock.Second
	// minIdleRead and maxIdleRead bound the span between reads of slot rows while
	// nothing is vacant. The lower bound is below maxReadGap, so that a small
	// system counts the whole age of a lease that lapses.
	minIdleRead = 6 * dfclock.Second
	maxIdleRead = 60 * dfclock.Second
	// idleReads is the reads/s that all hosts together make by it, until the
	// upper bound: with 20 rows and lists a host, 2,000 hosts make 670 reads/s.
	idleReads = 600
	// watchRead is the span while a slot is vacant or its holder is suspected.
	watchRead = 3 * dfclock.Second
	// maxReadGap is the longest span between two reads that still counts as
	// watching; it allows one slow read.
	maxReadGap = 8 * dfclock.Second
	// retryInterval is the wait after a failed call to the table.
	retryInterval = dfclock.Second
	// stagger is the wait by which each further candidate lets the ones before
	// it claim first. It covers one claim with its reads.
	stagger = 2 * dfclock.Second
	// proofSpan is how long a probed connection stands for the right to open
	// others while the lease is not valid.
	proofSpan = dfclock.Second
	// probeInterval renews proofs with room for a lost answer.
	probeInterval = 300 * dfclock.Millisecond
	// clearingWait lies between the two terminations of earlier connections. A
	// connection opened on a proof from before the first is open by then.
	clearingWait = proofSpan + 200*dfclock.Millisecond
	// terminateTimeout is the wait for an answer before a termination is repeated.
	terminateTimeout = 3 * dfclock.Second
	// maxNames bounds the earlier epochs that one termination names.
	maxNames = 64
)
