package dfsession

import "dragonflygrade/dfclock"

// Timing and limits of position leases.
const (
	// LeaseTTL is the duration of a position lease. It bounds how long an
	// unresponsive peer can delay an acknowledgement.
	LeaseTTL = 1 * dfclock.Second
	// RenewInterval allows two renewals to be lost before a lease expires.
	RenewInterval = 300 * dfclock.Millisecond
	// ClockMargin is added to a lease by its grantor. It covers rounding and the
	// drift between the clocks of two hosts during a lease.
	ClockMargin = 50 * dfclock.Millisecond
	// NotificationTimeout is how long a peer may leave a notification unanswered
	// before its lease is no longer renewed. Otherwise a peer that renews but does
	// not answer would block an acknowledgement indefinitely.
	NotificationTimeout = 300 * dfclock.Millisecond
	// MembershipMaxAge bounds the age of the slot rows from which a host concludes
	// that a slot is vacant. A host that claims a vacant slot acknowledges nothing
	// for the same time unless every peer counts it as a holder earlier.
	MembershipMaxAge = 5 * dfclock.Second
	// DefaultMaxCallers bounds the caller positions of one group. At 32 bytes each,
	// including the index, they take less than 8 MiB.
	DefaultMaxCallers = 100_000
	// DefaultMaxWrites bounds the writes of one group that wait for answers.
	DefaultMaxWrites = 10_000
)
