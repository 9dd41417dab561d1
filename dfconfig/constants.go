package dfconfig

import "dragonflygrade/dfclock"

// Defaults of optional keys of service files.
const (
	DefaultSessionMaxAge = 5 * dfclock.Second
	DefaultReadDeadline  = 2 * dfclock.Second
	DefaultWriteDeadline = 10 * dfclock.Second
	DefaultReadPriority  = 5
	DefaultWritePriority = 1
)

const (
	// maxFileBytes limits the size of a service file. Files are expected to have a
	// few KB.
	maxFileBytes = 256 << 10
	// maxNameLength is PostgreSQL's limit for identifiers, because names are used as
	// identifiers.
	maxNameLength = 63
	// maxSlots and maxUpstreams limit the work per database at a host.
	maxSlots       = 64
	maxUpstreams   = 15
	maxConnections = 10000
	// maxPriority is the least urgent priority that admission distinguishes.
	maxPriority = 9
	maxDuration = 24 * dfclock.Hour
	// maxDeadline is below the time-outs of callers' drivers.
	maxDeadline = 10 * dfclock.Minute
	// maxEditDistance is the maximum edit distance between a misspelt key and the
	// known key that is suggested for it.
	maxEditDistance = 3
	// maxHistoryVersions is the number of versions that a difference can cover. A
	// host that is further behind gets the whole index. At 6,700 changes a day these
	// cover a quarter of an hour, longer than a restart or a short network partition.
	maxHistoryVersions = 64
	// maxPayloadBytes keeps a payload below the message size limit of 4 MB.
	maxPayloadBytes = 3 << 20
	// maxDecompressedBytes limits the memory used to decode a payload.
	maxDecompressedBytes = 32 << 20
	// maxServices limits the entries of a difference. The system is designed for
	// 3,600 databases.
	maxServices = 20000
)
