// Package dfoutcome tracks what is known of a request's effect: done, not run
// or unknown, and whether it may be sent again.
package dfoutcome

import "dragonflygrade/dfresult"

// Stage is how far a request has come. Stages only rise within one send.
type Stage int

// Stages of a request.
const (
	// NotSent means that no byte was handed to a connection.
	NotSent Stage = iota + 1
	// Sending means that a byte may have left; it is set before the first write.
	Sending
	// Sent means that all bytes were handed to the connection.
	Sent
	// Answered means that the final answer arrived.
	Answered
	// RolledBack means that the upstream provably undid the request.
	RolledBack
)

// Attempt tracks one request over its sends. It is a value; the methods return
// the next one.
type Attempt struct {
	noRepeat bool
	stage    Stage
	sends    int
	// commitSent is true once a statement that may commit was handed to a
	// connection. Outside of a transaction block every statement may.
	commitSent bool
}

// NewAttempt returns a request of which nothing was sent.
func NewAttempt(noRepeat bool) Attempt {
	return Attempt{noRepeat: noRepeat, stage: NotSent}
}

// Stage returns how far the request has come.
func (a Attempt) Stage() Stage {
	return a.stage
}

// Sends returns how often the request was sent.
func (a Attempt) Sends() int {
	return a.sends
}

// BeginSend must be called before the first byte is handed to a connection. It
// refuses a send that could run the request a second time.
func (a Attempt) BeginSend(mayCommit bool) (Attempt, *dfresult.Error) {
	if a.noRepeat && a.sends > 0 {
		return a, dfresult.NewError(dfresult.RepeatRefused, "the request was sent %d times", a.sends)
	}
	if !a.MayRetry() {
		return a, dfresult.NewError(dfresult.CommitUnknown, "the request may have run already")
	}
	a.stage = Sending
	a.sends++
	a.commitSent = mayCommit
	return a, nil
}

// WithCommitSending notes, before its first byte leaves, a further statement of
// the same transaction that may commit. A transaction that was undone cannot.
func (a Attempt) WithCommitSending() Attempt {
	if a.stage == NotSent || a.stage == RolledBack {
		return a
	}
	a.stage = Sending
	a.commitSent = true
	return a
}

// WithSent notes that all bytes were handed over.
func (a Attempt) WithSent() Attempt {
	if a.stage == Sending {
		a.stage = Sent
	}
	return a
}

// WithAnswered notes the final answer. An answer without a send is ignored.
func (a Attempt) WithAnswered() Attempt {
	if a.stage == Sending || a.stage == Sent {
		a.stage = Answered
	}
	return a
}

// WithRolledBack notes the upstream's own word that the transaction was undone.
func (a Attempt) WithRolledBack() Attempt {
	if a.stage == Sending || a.stage == Sent {
		a.stage = RolledBack
	}
	return a
}

// WithLost notes the loss of the connection. An upstream rolls a transaction
// back whose commit was never sent; otherwise the outcome stays unknown.
func (a Attempt) WithLost() Attempt {
	if !a.commitSent {
		return a.WithRolledBack()
	}
	return a
}

// Outcome tells what is known of the request's effect.
func (a Attempt) Outcome() dfresult.Outcome {
	switch a.stage {
	case Answered:
		return dfresult.Done
	case Sending, Sent:
		return dfresult.Unknown
	case NotSent, RolledBack:
		return dfresult.NotRun
	}
	return dfresult.Unknown
}

// MayRetry reports whether the request may be sent (again).
func (a Attempt) MayRetry() bool {
	if a.noRepeat {
		return a.sends == 0
	}
	return a.Outcome() == dfresult.NotRun
}

// Code returns the result of a request that ends now without an answer.
func (a Attempt) Code() dfresult.Code {
	switch a.stage {
	case Answered:
		return dfresult.OK
	case RolledBack:
		return dfresult.TransactionLost
	case Sending, Sent:
		return dfresult.CommitUnknown
	case NotSent:
		return dfresult.NoConnection
	}
	return dfresult.Internal
}
