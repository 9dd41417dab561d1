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
