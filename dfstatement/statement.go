// Package dfstatement models what a caller asks of a database, free of any
// protocol. Codecs translate their messages into these values.
package dfstatement

import (
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Statement is one request of a session.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps its writes.
type Commit struct{}

// Rollback ends a transaction and drops its writes.
type Rollback struct{}

// Read returns an item.
type Read struct{ Item string }

// Write changes an item.
type Write struct{ Item string }

// Set changes a value of the session.
type Set struct{ Name, Value string }

// Prepare names a statement shape for the rest of the session.
type Prepare struct {
	Name string
	Plan Plan
}

// Execute runs a prepared statement. Arguments has everything after the name.
type Execute struct{ Name, Arguments string }

// Deallocate forgets a prepared statement.
type Deallocate struct{ Name string }

// Reset clears the values and prepared statements of an upstream connection.
type Reset struct{}

// Status asks an upstream for its role and log position.
type Status struct{}

// Demote asks an upstream that leads an older term to follow. It is answered like
// a status.
type Demote struct{ Term dfposition.Term }

// Malformed is a text that no statement has.
type Malformed struct{}

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}
func (Reset) statement()      {}
func (Status) statement()     {}
func (Demote) statement()     {}
func (Malformed) statement()  {}

// Plan is what a prepared statement does.
type Plan struct {
	Writes bool
	Shape  string
}

// Call is a statement with its identity.
type Call struct {
	// ID is empty for statements that the host issues itself.
	ID string
	// Text is the caller's text, which is forwarded unchanged; it is empty for
	// statements of the host.
	Text      string
	Statement Statement
	// After is the position that the log must contain before the statement
	// runs, or zero.
	After dfposition.Position
}

// State is the state of a session's transaction.
type State byte

// Transaction states.
const (
	Idle          State = 'I'
	InTransaction State = 'T'
	FailedState   State = 'E'
)

// Answer is the outcome of a call.
type Answer struct {
	Rows []string
	// Proof is the upstream's evidence that it ran the statement; it is empty
	// on failures and on statements that the host answers itself.
	Proof string
	// Code is dfresult.OK on success.
	Code dfresult.Code
	// Detail explains a failure to a person.
	Detail string
	State  State
	// Position is the end of the upstream's log, or zero if it was not told.
	Position dfposition.Position
}

// OK reports whether the call succeeded.
func (a Answer) OK() bool {
	return a.Code == dfresult.OK
}

// WithState returns the answer with another transaction state.
func (a Answer) WithState(state State) Answer {
	a.State = state
	return a
}

// Failure returns the answer for a call that failed.
func Failure(code dfresult.Code, detail string, state State) Answer {
	return Answer{Code: code, Detail: detail, State: state}
}

// Report is what an upstream tells of itself.
type Report struct {
	Primary bool
	// Term is the newest term that the upstream knows.
	Term dfposition.Term
	// Received is the end of the log that a promotion would keep; the log that
	// reads see may end earlier.
	Received dfposition.Position
	// Connections counts those of all hosts together.
	Connections int
}
