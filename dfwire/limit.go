package dfwire

import (
	"time"

	"dragonflygrade/dfclock"
)

const (
	// DefaultMaxCallers bounds caller connections of one host. It is twice the
	// share of 12 million connections on 2,000 hosts.
	DefaultMaxCallers = 12000
	// DefaultMaxMessageBytes bounds one message of a caller.
	DefaultMaxMessageBytes = 16 << 20
	// DefaultMaxBatchBytes is the size at which a batch is cut by a Flush, so
	// that a long pipeline does not fill the memory.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultStartupTimeout covers TLS and SCRAM over a slow link.
	DefaultStartupTimeout = 10 * dfclock.Second
	// DefaultWriteTimeout is longer than any pause of a caller that still reads.
	DefaultWriteTimeout = 30 * dfclock.Second
	// DefaultLoginDelay slows the guessing of passwords.
	DefaultLoginDelay = 500 * dfclock.Millisecond

	// maxStartupBytes is PostgreSQL's own bound of the startup message.
	maxStartupBytes = 10000
	// maxLoginBytes bounds a SASL message.
	maxLoginBytes = 4096
	// maxStatements bounds the named prepared statements of one caller.
	maxStatements = 4096
	// maxParameters bounds the parameters in one startup message.
	maxParameters = 64
	// maxNegotiations bounds encryption requests before the startup message.
	maxNegotiations = 3
	// copyChunkBytes is the size of COPY data handed over at once.
	copyChunkBytes = 64 << 10
	// keepArenaBytes is the largest copy of messages kept between batches.
	keepArenaBytes = 64 << 10
	// refusalSlots bounds connections beyond the limit of callers, which are
	// kept only to be told that the host is full.
	refusalSlots = 64
	// mockIterations is what PostgreSQL stores by default, so that unknown users
	// look like known ones.
	mockIterations = 4096
	// lingerTime lets a closing connection deliver its last error before unread
	// input would reset it.
	lingerTime = 200 * time.Millisecond
	// cutGrace is the time to tell callers that the drain bound passed.
	cutGrace = 500 * time.Millisecond
)
