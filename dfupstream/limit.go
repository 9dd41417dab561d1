package dfupstream

import (
	"time"

	"dragonflygrade/dfclock"
)

const (
	// DefaultHoldBytes bounds the answer that is held back for a gate. Answers
	// of writes are short; the bound keeps many waiting commits in memory.
	DefaultHoldBytes = 1 << 20
	// MaxReplyBytes bounds one message of an upstream; PostgreSQL allows no
	// larger field value.
	MaxReplyBytes = 1 << 30
	// MaxPrepared bounds the named statements on one connection. Each costs the
	// upstream a plan in memory.
	MaxPrepared = 256
	// inlineWriteBytes is the largest batch written before replies are read.
	// Larger ones are written beside the reading, or both sides could block.
	inlineWriteBytes = 32 << 10
	// keepBufferBytes is the largest buffer kept between batches.
	keepBufferBytes = 64 << 10
	// cancelTimeout bounds a cancel, which delays the end of its batch.
	cancelTimeout = 2 * time.Second
	// MinSilence is above the usual jitter of links and statements, so that a
	// doubt is rare. It is a tenth of the largest failover gap.
	MinSilence = 300 * dfclock.Millisecond
	// MaxSilence leaves time to ask about the statement and to repeat it on a
	// fresh connection within the largest failover gap.
	MaxSilence = 1000 * dfclock.Millisecond
	// meterScale keeps fractions of a millisecond, and meterSpreads is the
	// number of spreads above the mean that is still usual.
	meterScale   = 16
	meterSpreads = 4
	// closeTimeout bounds the writing of the Terminate message.
	closeTimeout = 100 * time.Millisecond
)

// Defaults of a pool runner.
const (
	// DefaultRing bounds the requests that wait for the pool's mutex.
	DefaultRing = 1024
	// DefaultOpenTimeout covers a dial, TLS, SCRAM and the startup, which take
	// about 30 ms, with room for a busy upstream.
	DefaultOpenTimeout = 5 * dfclock.Second
	// DefaultProbeTimeout is a few round trips between data centres.
	DefaultProbeTimeout = 500 * dfclock.Millisecond
	// failureLogPeriod separates log lines on failed openings, of which an
	// upstream that is down causes many.
	failureLogPeriod = 5 * dfclock.Second
	// DefaultResetTimeout bounds DISCARD ALL.
	DefaultResetTimeout = 2 * dfclock.Second
)
