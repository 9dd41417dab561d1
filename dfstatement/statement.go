// Package dfstatement models database statements and their results independently
// of a wire protocol. Codecs translate protocol messages to and from these types.
package dfstatement

import (
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Statement is one request within a session.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits a transaction.
type Commit struct{}

// Rollback rolls a transaction back.
type Rollback struct{}

// Read reads an item.
type Read struct{ Item string }

// Write modifies an item.
type Write struct{ Item string }

// Set sets a session variable.
type Set struct{ Name, Value string }

// Prepare defines a prepared statement for the rest of the session.
type Prepare struct {
	Name string
	Plan Plan
}

// Execute runs a prepared statement. Arguments is the text that follows its name. Hosts
// of earlier builds format the statement from it.
type Execute struct{ Name, Arguments string }

// Deallocate removes a prepared statement.
type Deallocate struct{ Name string }

// Reset clears the session variables and prepared statements of an upstream
// connection.
type Reset struct{}

// Status requests the role and log position of an upstream.
type Status struct{}

// Demote makes an upstream that leads an older term a replica. The answer has the
// same form as the answer to Status.
type Demote struct{ Term dfposition.Term }

// Malformed stands for text that is not a valid statement.
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

// Plan is the definition of a prepared statement. Its field names are part of the
// messages between hosts.
type Plan struct {
	Writes bool
	Shape  string
}

// Call is a statement with its request ID and original text.
type Call struct {
	// ID is the caller's request ID. It is empty for statements that the host
	// issues itself.
	ID string
	// Text is the caller's text, which is forwarded unchanged, except that the prepared
	// name in it is replaced by that of an Execute statement. It is empty for statements
	// that the host issues itself.
	Text      string
	Statement Statement
	// MinPosition is the log position that the upstream must have reached before it
	// runs the statement, or zero.
	MinPosition dfposition.Position
}

// State is the transaction state of a session.
type State byte

// Transaction states.
const (
	Idle              State = 'I'
	InTransaction     State = 'T'
	FailedTransaction State = 'E'
)

// Answer is the result of a call. Its field names are part of the messages
// between hosts.
type Answer struct {
	Rows []string
	// Proof is the upstream's evidence that it ran the statement. It is empty on
	// failure and for statements that the host answers itself.
	Proof string
	// Code is dfresult.OK on success.
	Code dfresult.Code
	// Detail is a description of a failure for humans.
	Detail string
	State  State
	// Position is the end of the upstream's log, or zero if it is unknown.
	Position dfposition.Position
}

// OK reports whether the call succeeded.
func (a Answer) OK() bool {
	return a.Code == dfresult.OK
}

// WithState returns a copy of the answer with another transaction state.
func (a Answer) WithState(state State) Answer {
	a.State = state
	return a
}

// Failure returns the answer to a call that failed.
func Failure(code dfresult.Code, detail string, state State) Answer {
	return Answer{Code: code, Detail: detail, State: state}
}

// Report is the content of an answer to Status. Its field names are part of the
// messages between hosts.
type Report struct {
	// Primary is true if the upstream reports itself as the leader.
	Primary bool
	// Term is the newest term that the upstream knows.
	Term dfposition.Term
	// Received is the end of the log that a promotion would keep. Reads may see a
	// shorter log.
	Received dfposition.Position
	// Connections is the number of open connections of all hosts.
	Connections int
}
