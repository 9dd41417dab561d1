package dfquota

import "dragonflygrade/dfclock"

// Ask asks an owner for tokens of several organisations. Without any it asks only
// whether the owner grants.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Version is the sender's version of the desired state.
	Version uint64
	Wants   []Want
	// Missed has the IDs of hosts that the sender misses, to learn whether the
	// receiver reaches them.
	Missed []string
	// Deposit is set while the sender is cut off.
	Deposit *Deposit
}

// Deposit gives the reserved share of a host that is cut off to a host that grants
// for it. It counts once.
type Deposit struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Hosts is the number of hosts that share the limits, or zero if the sender is cut
	// off and gives nothing yet. Span is the time whose share is given.
	Hosts int
	Span  dfclock.Millis
	// AnsweredAt is the time in the last answer of the receiver, so that the receiver
	// can tell how old the deposit is at most.
	AnsweredAt dfclock.Millis
	// SentAt is the sender's time. A deposit that is sent twice has the same.
	SentAt dfclock.Millis
}

// Want is the part of an ask for one organisation.
type Want struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Tokens       int
}

// Grant answers an Ask.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// Version is the owner's version of the desired state.
	Version uint64
	// Ready is false if the owner grants nothing, because it is in contact with no
	// majority of the hosts.
	Ready bool
	// Parts answer the wants in their order.
	Parts []Part
	// Reached has those of the missed hosts that the sender reaches and that grant.
	Reached []string
	// At is the sender's time, which a deposit repeats.
	At dfclock.Millis
	// ReadyIn is the time until the sender grants, or zero if it does not know.
	ReadyIn dfclock.Millis
}

// Part is the answer for one organisation.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Tokens int
	// RetryAfter is the time until more tokens are available.
	RetryAfter dfclock.Millis
	// Declined is true if another host grants tokens of the organisation.
	Declined bool
}
