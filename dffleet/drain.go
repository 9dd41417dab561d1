package dffleet

import "dragonflygrade/dfclock"

const (
	// unknownStart is the start of draining that nobody has told. It lies before every
	// drain timeout, also soon after the machine's clock has started, so that the upstream
	// gets no new work.
	unknownStart = -dfclock.Never / 2
	// drainMemory is how long the start of draining is kept after the upstream is gone. Its
	// entry can come back after an outage of the platform.
	drainMemory = 120 * dfclock.Second
	// drainTolerance is how much earlier another host must have learned of a drain for its
	// time to count. The time that a report takes makes each age seem longer, and hosts
	// would pass it back and forth.
	drainTolerance = 500 * dfclock.Millisecond
)

// incarnation is an upstream between two starts.
type incarnation struct {
	id   ID
	born int64
}

// Drain is an upstream that drains, and for how long.
type Drain struct {
	_    struct{} `cbor:",toarray"`
	ID   ID
	Born int64
	Age  dfclock.Millis
}

// drainStart returns when an upstream began to drain whose entry says so for the first
// time, if that was not already known. An entry that is not a change may have said so for
// long.
func (f *Fleet) drainStart(now dfclock.Millis, upstream Upstream, mayBeOld bool) dfclock.Millis {
	key := incarnation{upstream.ID, upstream.Born}
	at, known := f.drains[key]
	switch {
	case known:
		return at
	case mayBeOld:
		return unknownStart
	}
	f.drains[key] = now
	return now
}

// RecordDrain records that an upstream began to drain at a time, as another host or the
// platform has told. The earliest time counts.
func (f *Fleet) RecordDrain(id ID, born int64, at dfclock.Millis) {
	key := incarnation{id, born}
	if known, ok := f.drains[key]; ok && at > known-drainTolerance {
		return
	}
	f.drains[key] = at
	if known := f.members[id]; known != nil && known.upstream.Born == born && known.drainingAt != dfclock.Never {
		known.drainingAt = at
	}
}

// Drains returns the upstreams that drain for a known time.
func (f *Fleet) Drains(now dfclock.Millis) []Drain {
	var drains []Drain
	for id, known := range f.members {
		if known.drainingAt != dfclock.Never && known.drainingAt != unknownStart {
			drains = append(drains, Drain{ID: id, Born: known.upstream.Born, Age: now - known.drainingAt})
		}
	}
	return drains
}

// HasUnknownDrains reports whether an upstream drains for an unknown time.
func (f *Fleet) HasUnknownDrains() bool {
	for _, known := range f.members {
		if known.drainingAt == unknownStart {
			return true
		}
	}
	return false
}

// forgetDrains forgets upstreams that are gone for long.
func (f *Fleet) forgetDrains(now dfclock.Millis) {
	for key, at := range f.drains {
		if f.members[key.id] == nil && now-at >= drainMemory {
			delete(f.drains, key)
		}
	}
}
