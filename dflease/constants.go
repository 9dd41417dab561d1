package dflease

import "dragonflygrade/dfclock"

// LeaseTTL is how long a host row stays valid without renewal.
const LeaseTTL = 20 * dfclock.Second

// RenewInterval is the time between renewals. 2,000 hosts make 250 writes/s, and
// the table takes several hundred. Two renewals may fail before the lease expires.
const RenewInterval = 8 * dfclock.Second

const (
	// leaseMargin is subtracted from the TTL by the lease holder, so that the
	// old and the new owner do not overlap if their clock rates differ by up to 5 %.
	leaseMargin = dfclock.Second
	// minIdleReadInterval and maxIdleReadInterval bound the time between reads of
	// slot rows while no slot is vacant. The lower bound is below maxReadGap, so
	// that in a small system the full age of a lease counts towards its expiry.
	minIdleReadInterval = 6 * dfclock.Second
	maxIdleReadInterval = 60 * dfclock.Second
	// idleReadsPerSecond is the read rate of all hosts together while no slot is
	// vacant. maxIdleReadInterval takes precedence: 2,000 hosts that each read 20
	// rows and lists make 670 reads/s.
	idleReadsPerSecond = 600
	// watchReadInterval is the time between reads while a slot is vacant or its
	// holder is not live.
	watchReadInterval = 3 * dfclock.Second
	// maxReadGap is the longest gap between two reads after which a row still
	// counts as continuously observed. It allows for one slow read.
	maxReadGap = 8 * dfclock.Second
	// retryInterval is the delay after a failed table access or termination.
	retryInterval = dfclock.Second
	// claimStagger is the additional delay per rank before a lower-ranked candidate
	// claims a slot. It covers one claim with its reads.
	claimStagger = 2 * dfclock.Second
	// probeValidity is how long after an answered probe more connections may be
	// opened while the lease is not valid.
	probeValidity = dfclock.Second
	// probeInterval is the time between probes. It leaves room for a lost answer
	// within probeValidity.
	probeInterval = 300 * dfclock.Millisecond
	// clearingWait separates the two terminations of earlier owners' connections.
	// A connection that an earlier owner opens on the strength of a probe from
	// before the first termination is open by the second.
	clearingWait = probeValidity + 200*dfclock.Millisecond
	// terminateTimeout is how long to wait for an answer before a termination is
	// repeated.
	terminateTimeout = 3 * dfclock.Second
	// maxEarlierNames bounds the application names in one termination.
	maxEarlierNames = 64
)
