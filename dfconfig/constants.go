package dfconfig

import "dragonflygrade/dfclock"

// Defaults of keys that a service file may leave out.
const (
	DefaultSessionMaxAge = 5 * dfclock.Second
	DefaultReadDeadline  = 2 * dfclock.Second
	DefaultWriteDeadline = 10 * dfclock.Second
	DefaultReadPriority  = 5
	DefaultWritePriority = 1
)

const (
	// maxFileBytes bounds one service file; the longest expected has a few KB.
	maxFileBytes = 256 << 10
	// maxName is the limit of PostgreSQL for identifiers, which names become.
	maxName = 63
	// maxSlots and maxUpstreams bound the work per database at a host.
	maxSlots       = 64
	maxUpstreams   = 15
	maxConnections = 10000
	// maxPriority is the lowest urgency that admission distinguishes.
	maxPriority = 9
	maxSpan     = 24 * dfclock.Hour
	// maxDeadline is below the time after which callers' drivers give up.
	maxDeadline = 10 * dfclock.Minute
	// nearDistance is how many edits a misspelt key may be from a known one.
	nearDistance = 3
	// maxSteps is how many versions back a host answers with a difference; a
	// host that lacks more gets the whole index. At 6,700 changes a day they
	// span a quarter of an hour, longer than a restart or a short partition.
	maxSteps = 64
	// maxPayloadBytes keeps a payload below the message limit of 4 MB.
	maxPayloadBytes = 3 << 20
	// maxInflatedBytes bounds the memory that decoding a payload takes.
	maxInflatedBytes = 32 << 20
	// maxServices bounds an index; the target has 3,600 databases.
	maxServices = 20000
)
