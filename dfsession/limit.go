package dfsession

import "dragonflygrade/dfclock"

// Spans and bounds of position leases.
const (
	// LeaseSpan bounds how long a silent peer delays an acknowledgement.
	LeaseSpan = 1 * dfclock.Second
	// RenewEvery lets two renewals be lost before a lease lapses.
	RenewEvery = 300 * dfclock.Millisecond
	// ClockMargin is added to a lease by its grantor. It covers the difference
	// in rate of two hosts' clocks over a lease and their rounding.
	ClockMargin = 50 * dfclock.Millisecond
	// AnswerPatience is how long a peer may leave a notification unanswered
	// before its lease is no longer renewed. Otherwise a peer that renews but
	// does not answer would hold up an acknowledgement for ever.
	AnswerPatience = 300 * dfclock.Millisecond
	// RosterSpan bounds the age of the slot rows from which a host concludes
	// that a slot is vacant. A host that takes a vacant slot waits as long.
	RosterSpan = 5 * dfclock.Second
	// DefaultMaxCallers bounds the caller positions of one group; at 32 bytes
	// each with the index this is below 8 MiB.
	DefaultMaxCallers = 100_000
	// DefaultMaxWrites bounds the writes of one group that wait for answers.
	DefaultMaxWrites = 10_000
)
