package dfmember

import "dragonflygrade/dfclock"

const (
	// unlistedTimeout is how long a host counts as live after the last successful
	// contact although the platform's list, which lags, does not contain it.
	unlistedTimeout = 10 * dfclock.Second
	// failureTimeout is how long contact with a host must fail before the host no
	// longer counts as live. It covers a few lost packets and a restart.
	failureTimeout = 5 * dfclock.Second
	// maxStandbys bounds the standby hosts of a cell. They try to take over one
	// after the other, so more of them would not make a takeover faster.
	maxStandbys = 16
	// standbyRatio leaves one in so many hosts without a cell, so that a failed
	// holder is replaced by a host that exchanges no position leases yet.
	standbyRatio = 16
	// cellCountBits is the number of significant bits of the cell count. Rounding
	// leaves up to 1/32 of the hosts without a cell; 3 bits left up to a quarter.
	cellCountBits = 6
	// cellCapacitySlack bounds a cell to 1/8 more groups than the mean. With less
	// slack, adding or removing one group moves more of the others.
	cellCapacitySlack = 8
)
