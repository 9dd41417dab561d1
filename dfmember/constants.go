package dfmember

import "dragonflygrade/dfclock"

const (
	// heardBound is how long a host counts as live after a peer heard from it
	// although the platform's list, which lags, does not have it.
	heardBound = 10 * dfclock.Second
	// silentBound is how long contact with a listed host must fail before the
	// host no longer counts as live. It spans a few lost packets and a restart.
	silentBound = 5 * dfclock.Second
	// maxStandBy bounds the hosts that stand by for a cell. They try one after
	// the other, so more would not take over sooner.
	maxStandBy = 16
	// standByShare keeps one in so many hosts without a seat, so that a failed
	// holder's seat goes to a host that exchanges leases with nobody yet.
	standByShare = 16
	// countBits are the significant bits of the number of cells. Rounding leaves
	// up to 1/32 of the hosts without a seat; with 3 bits it was up to a quarter.
	countBits = 6
	// roomShare bounds a cell to 1/8 more groups than the mean. Less room makes
	// one group that comes or goes move more others.
	roomShare = 8
)
