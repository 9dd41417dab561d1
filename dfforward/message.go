package dfforward

import (
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// request asks a carrier to run calls on one connection to an upstream. The
// connection stays with the asker while a transaction is open.
type request struct {
	_        struct{} `cbor:",toarray"`
	Upstream dffleet.ID
	Priority int
	// Patience bounds the wait for a connection, and Timeout the whole request.
	Patience, Timeout dfclock.Millis
	// HasContext is false for statements of the host itself.
	HasContext bool
	Values     map[string]string
	Calls      []call
}

// reply answers a request.
type reply struct {
	_ struct{} `cbor:",toarray"`
	// Declined is true if the host takes no statements for the upstream.
	Declined bool
	// Refused is not dfresult.OK if nothing was sent to the upstream.
	Refused    dfresult.Code
	Detail     string
	RetryAfter dfclock.Millis
	// Broken is why the connection to the upstream failed, or empty. Sent and
	// TimedOut belong to it.
	Broken   string
	Sent     bool
	TimedOut bool
	State    dfstatement.State
	Answers  []dfstatement.Answer
	// Reports has the content of status answers.
	Reports []dfstatement.Report
}

// kind numbers the statements that are forwarded.
type kind int

const (
	begin kind = iota + 1
	beginReadOnly
	commit
	rollback
	read
	write
	execute
	status
)

// call is a statement in its form between hosts.
type call struct {
	_        struct{} `cbor:",toarray"`
	Kind     kind
	ID, Text string
	// Name is the item, or the name of a prepared statement.
	Name      string
	Arguments string
	// Plan is what the prepared statement does.
	Plan  dfstatement.Plan
	After dfposition.Position
}

func newCall(from dfstatement.Call, context *dfconnection.Context) (call, error) {
	to := call{ID: from.ID, Text: from.Text, After: from.After}
	switch s := from.Statement.(type) {
	case dfstatement.Begin:
		to.Kind = begin
		if s.ReadOnly {
			to.Kind = beginReadOnly
		}
	case dfstatement.Commit:
		to.Kind = commit
	case dfstatement.Rollback:
		to.Kind = rollback
	case dfstatement.Read:
		to.Kind, to.Name = read, s.Item
	case dfstatement.Write:
		to.Kind, to.Name = write, s.Item
	case dfstatement.Execute:
		to.Kind, to.Name, to.Arguments = execute, s.Name, s.Arguments
		if context != nil {
			to.Plan = context.Plans[s.Name]
		}
	case dfstatement.Status:
		to.Kind = status
	default:
		return call{}, eris.Errorf("forward: statement %T is not forwarded", from.Statement)
	}
	return to, nil
}

// statement returns the call as the carrier runs it, and keeps the plan of a
// prepared statement in the context.
func (c call) statement(context *dfconnection.Context) (dfstatement.Call, error) {
	to := dfstatement.Call{ID: c.ID, Text: c.Text, After: c.After}
	switch c.Kind {
	case begin, beginReadOnly:
		to.Statement = dfstatement.Begin{ReadOnly: c.Kind == beginReadOnly}
	case commit:
		to.Statement = dfstatement.Commit{}
	case rollback:
		to.Statement = dfstatement.Rollback{}
	case read:
		to.Statement = dfstatement.Read{Item: c.Name}
	case write:
		to.Statement = dfstatement.Write{Item: c.Name}
	case execute:
		to.Statement = dfstatement.Execute{Name: c.Name, Arguments: c.Arguments}
		if context != nil {
			context.Plans[c.Name] = c.Plan
		}
	case status:
		to.Statement = dfstatement.Status{}
	default:
		return to, eris.Errorf("forward: call of kind %d", c.Kind)
	}
	return to, nil
}

func refusal(err *dfresult.Error) reply {
	return reply{Refused: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter, State: dfstatement.Idle}
}
