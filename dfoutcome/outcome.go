// Package dfoutcome tracks whether a request is done, not run or of unknown outcome,
// and whether it may be sent again.
package dfoutcome

import "dragonflygrade/dfresult"

// Stage is the progress of a request. It only advances within one send.
type Stage int

// Stages of a request.
const (
	// NotSent means that no byte has been written to a connection.
	NotSent Stage = iota + 1
	// Sending means that a byte may have been written. It is set before the first
	// write.
	Sending
	// Sent means that all bytes have been written to the connection.
	Sent
	// Answered means that the final answer has arrived.
	Answered
	// RolledBack means that the upstream is known to have rolled back the request.
	RolledBack
)

// Attempt tracks one request across its sends. It is an immutable value; methods
// return the changed copy.
type Attempt struct {
	noRepeat bool
	stage    Stage
	sends    int
	// commitSent is true once a statement that may commit has been written to a
	// connection. Outside a transaction block, every statement may commit.
	commitSent bool
}

// NewAttempt returns the state of a request of which nothing has been sent.
func NewAttempt(noRepeat bool) Attempt {
	return Attempt{noRepeat: noRepeat, stage: NotSent}
}

// Stage returns the progress of the request.
func (a Attempt) Stage() Stage {
	return a.stage
}

// Sends returns how often the request was sent.
func (a Attempt) Sends() int {
	return a.sends
}

// BeginSend must be called before the first byte is written to a connection. It
// rejects a send that could run the request a second time.
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

// WithCommitSending records a further statement of the same transaction that may
// commit. It must be called before the first byte of that statement is written. It has
// no effect after a rollback, because the transaction can no longer commit.
func (a Attempt) WithCommitSending() Attempt {
	if a.stage == NotSent || a.stage == RolledBack {
		return a
	}
	a.stage = Sending
	a.commitSent = true
	return a
}

// WithSent records that all bytes have been written.
func (a Attempt) WithSent() Attempt {
	if a.stage == Sending {
		a.stage = Sent
	}
	return a
}

// WithAnswered records the final answer. It has no effect if nothing was sent.
func (a Attempt) WithAnswered() Attempt {
	if a.stage == Sending || a.stage == Sent {
		a.stage = Answered
	}
	return a
}

// WithRolledBack records that the upstream has confirmed a rollback.
func (a Attempt) WithRolledBack() Attempt {
	if a.stage == Sending || a.stage == Sent {
		a.stage = RolledBack
	}
	return a
}

// WithConnectionLost records the loss of the connection. An upstream rolls back a
// transaction whose commit was never sent; otherwise the outcome remains unknown.
func (a Attempt) WithConnectionLost() Attempt {
	if !a.commitSent {
		return a.WithRolledBack()
	}
	return a
}

// Outcome returns what is known about the effect of the request.
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

// MayRetry reports whether the request may be sent, for the first time or again.
func (a Attempt) MayRetry() bool {
	if a.noRepeat {
		return a.sends == 0
	}
	return a.Outcome() == dfresult.NotRun
}

// Code returns the result code for a request that ends in the current stage.
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
