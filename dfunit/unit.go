// Package dfunit defines the interface between the callers' connections of a host
// and the execution of their requests at a slot holder. A unit is a unit of work:
// one transaction, or one batch outside a transaction. It occupies one upstream
// connection.
package dfunit

import (
	"context"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// Class is the effect that a request may have on the database.
type Class int

// Classes of requests.
const (
	// ClassRead requests change nothing and may be served by a replica.
	ClassRead Class = iota + 1
	// ClassWrite requests may change data.
	ClassWrite
)

// Request describes a unit that has not been routed to an upstream yet.
type Request struct {
	// ID is unique within the host that accepted the caller.
	ID      uint64
	Service string
	Group   dfgroup.ID
	// Caller is the authenticated user or the more specific name that the caller set
	// as dragonflygrade.caller. It is not empty.
	Caller string
	Class  Class
	// Need is the minimum position for a read, from the caller's token, or zero.
	Need dfposition.Position
	// TokenPresented is true if the caller presented a token, even one without a
	// position for the group.
	TokenPresented bool
	// MaxAge is the maximum staleness of a read; it is positive.
	MaxAge dfclock.Millis
	// Strong marks a read that must see every write acknowledged before it arrived.
	Strong bool
	// ArrivedAt and Deadline are times of the executing host's clock.
	ArrivedAt dfclock.Millis
	Deadline  dfclock.Millis
	// Priority orders admission; lower values are admitted first.
	Priority int
	// NoRepeat marks a request that must run at most once.
	NoRepeat bool
}

// Statement is the definition of a prepared statement in the caller's Parse message.
type Statement struct {
	SQL           string
	ParameterOIDs []uint32
}

// Message is a frontend message of the PostgreSQL protocol, version 3.
type Message struct {
	// Type is the message's type byte.
	Type byte
	// Body is the message without type and length. It is never modified.
	Body []byte
	// Statement is set on Parse, Bind and Describe messages that refer to a prepared
	// statement. The executor prepares it on its connection if necessary.
	Statement *Statement
	// Duplicate marks a Parse whose statement name is already in use by the caller;
	// the upstream has to reject it.
	Duplicate bool
}

// Batch is the sequence of messages that a caller sends before it waits for a
// response: one Query, extended-protocol messages up to Sync or Flush, or COPY data.
type Batch struct {
	// Messages is not empty.
	Messages []Message
	// Prelude is the number of leading messages that the host inserted before those
	// of the caller. They are Query messages, and only their errors reach the sink.
	Prelude int
}

// Sink receives the backend messages for the caller in order. The body is valid only
// during the call.
type Sink interface {
	Send(messageType byte, body []byte) error
}

// Result is the result of a batch.
type Result struct {
	// Status is the transaction status of ReadyForQuery ('I', 'T' or 'E'). It is zero
	// if the upstream waits for COPY data or the batch ended with Flush.
	Status byte
	// CopyIn is true while the upstream waits for COPY data.
	CopyIn bool
	// Pinned is true while session state binds the unit's connection to the caller.
	Pinned bool
	// Position is the acknowledged position after a write, or zero.
	Position dfposition.Position
	// Upstream is the upstream that ran the batch. Replica is true if it was a
	// replica.
	Upstream dfgroup.UpstreamID
	Replica  bool
	// Local is true if the upstream is in the data centre of the executing host.
	Local bool
	// Rung is the routing step that chose the upstream, or zero for a write.
	Rung int
}

// Unit executes batches on one upstream connection. Except for Cancel, its methods
// must be called by one goroutine at a time.
type Unit interface {
	// Exchange sends the batch and passes the responses to the sink until the batch
	// ends. An error is a *dfresult.Error; the unit is then unusable, and the sink has
	// received no ReadyForQuery for the batch.
	Exchange(ctx context.Context, batch Batch, sink Sink) (Result, error)
	// Cancel asks the upstream to cancel the running batch, if any.
	Cancel()
	// Close returns the connection to its pool, or closes it if it is not idle.
	Close()
}

// Executor opens units. Its implementations execute locally or forward to another
// host.
type Executor interface {
	// Open admits and routes the request. An error is a *dfresult.Error with
	// the outcome not run.
	Open(ctx context.Context, request Request) (Unit, error)
}
