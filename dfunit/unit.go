// Package dfunit is the contract between the caller side of a host and the
// execution of requests at a slot holder. A unit is one transaction, or one
// batch outside of a transaction; it occupies one upstream connection.
package dfunit

import (
	"context"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// Class tells what a request may do to the database.
type Class int

const (
	// ClassRead has no effect and may be served by a replica.
	ClassRead Class = iota + 1
	// ClassWrite may change data.
	ClassWrite
)

// Request describes a unit before it has an upstream.
type Request struct {
	// ID is unique within the host that accepted the caller.
	ID      uint64
	Service string
	Group   dfgroup.ID
	// Caller is never empty; it is the authenticated user or a finer name.
	Caller string
	Class  Class
	// Need is the position from the caller's token, or zero.
	Need dfposition.Position
	// TokenPresented is true if the caller carries a token, even one that has
	// no position for the group.
	TokenPresented bool
	// MaxAge bounds the age of the data for a read; it is positive.
	MaxAge dfclock.Millis
	// Strong reads see every write acknowledged before they arrived.
	Strong bool
	// ArrivedAt and Deadline are instants of the executing host's clock.
	ArrivedAt dfclock.Millis
	Deadline  dfclock.Millis
	// Priority orders admission; lower values go first.
	Priority int
	// NoRepeat marks a request that runs at most once.
	NoRepeat bool
}

// Statement is a prepared statement as the caller gave it.
type Statement struct {
	SQL           string
	ParameterOIDs []uint32
}

// Message is one frontend message of PostgreSQL protocol v3.
type Message struct {
	// Type is the message's type byte.
	Type byte
	// Body is the message without type and length; it is never modified.
	Body []byte
	// Statement is set on Parse, Bind and Describe messages that name a
	// prepared statement. The executor prepares it on its connection if needed.
	Statement *Statement
	// Duplicate marks a Parse whose name the caller already uses; the upstream
	// has to refuse it.
	Duplicate bool
}

// Batch is what a caller sends before it waits: one Query, extended-protocol
// messages up to Sync or Flush, or COPY data.
type Batch struct {
	// Messages is not empty.
	Messages []Message
	// Prelude counts the leading messages that the host puts before those of
	// the caller. They are Query messages, and only their errors reach the sink.
	Prelude int
}

// Sink takes backend messages for the caller in order. The body is only valid
// during the call.
type Sink interface {
	Send(messageType byte, body []byte) error
}

// Result tells how a batch ended.
type Result struct {
	// Status is the transaction status of ReadyForQuery ('I', 'T' or 'E'), or
	// zero if the upstream waits for COPY data or the batch ended with Flush.
	Status byte
	// CopyIn is true while the upstream waits for COPY data.
	CopyIn bool
	// Pinned is true while session state ties the unit's connection to the caller.
	Pinned bool
	// Position is the acknowledged position after a write, or zero.
	Position dfposition.Position
	// Upstream ran the batch, and Replica tells whether it was a replica.
	Upstream dfgroup.UpstreamID
	Replica  bool
	// Local is true if the upstream is in the data centre of the executing host.
	Local bool
	// Rung is the step of the read ladder that served the batch, or zero for a write.
	Rung int
}

// Unit executes batches on one upstream connection. Its methods are called by
// one goroutine, except Cancel.
type Unit interface {
	// Exchange sends the batch and passes the answers to the sink until the
	// batch ends. An error is a *dfresult.Error; the unit is then unusable and
	// the sink has received no ReadyForQuery for the batch.
	Exchange(ctx context.Context, batch Batch, sink Sink) (Result, error)
	// Cancel asks the upstream to cancel the batch that runs now, if any.
	Cancel()
	// Close gives the connection back, or closes it if it is not idle.
	Close()
}

// Executor opens units. It is implemented by local execution and by forwarding.
type Executor interface {
	// Open admits and routes the request. An error is a *dfresult.Error with
	// the outcome not run.
	Open(ctx context.Context, request Request) (Unit, error)
}
