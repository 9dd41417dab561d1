package dfforward

import (
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfreport"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// request asks a carrier to run calls on one connection to an upstream. The
// client keeps the connection while a transaction is open. A request without calls
// cancels the request before it, as long as the carrier has sent nothing to the
// upstream. It has no reply; the cancelled request has one. Fields of messages are
// encoded by position.
type request struct {
	_        struct{} `cbor:",toarray"`
	Upstream dffleet.ID
	Priority int
	// AcquireTimeout bounds the wait for a connection, and Timeout the whole
	// request.
	AcquireTimeout, Timeout dfclock.Millis
	// HasSession is false for statements that the host issues itself. Otherwise
	// Values has the session variables.
	HasSession bool
	Values     map[string]string
	Calls      []call
	// Organisation is the name of the organisation whose calls these are, or empty.
	Organisation string
}

// cancels reports whether the request cancels the one before it.
func (r request) cancels() bool {
	return len(r.Calls) == 0
}

// reply answers a request.
type reply struct {
	_ struct{} `cbor:",toarray"`
	// Declined is true if the carrier accepts no statements for the upstream.
	Declined bool
	// Refused is not dfresult.OK if none of the calls ran at the upstream. Detail
	// and RetryAfter then describe the refusal.
	Refused    dfresult.Code
	Detail     string
	RetryAfter dfclock.Millis
	// ConnError is why the connection to the upstream failed, or empty. Sent is then
	// true if the calls may have reached the upstream, and TimedOut if it did not
	// answer in time.
	ConnError string
	Sent      bool
	TimedOut  bool
	State     dfstatement.State
	Answers   []dfstatement.Answer
	// Reports has the decoded answers to status calls.
	Reports []dfstatement.Report
	// Load is the carrier's report on the upstream, or nil.
	Load *dfreport.Report
}

// withoutRows returns a copy in which a failure takes the place of each answer with rows,
// for a reply that exceeds the limit of a message. The statements have run.
func (r reply) withoutRows() reply {
	answers := make([]dfstatement.Answer, 0, len(r.Answers))
	for _, answer := range r.Answers {
		if len(answer.Rows) > 0 {
			failure := dfstatement.Failure(dfresult.AnswerTooLarge, "the rows exceed a message between hosts", answer.State)
			failure.Position = answer.Position
			answer = failure
		}
		answers = append(answers, answer)
	}
	r.Answers = answers
	return r
}

// callKind is the encoding of the type of a statement.
type callKind int

const (
	kindBegin callKind = iota + 1
	kindBeginReadOnly
	kindCommit
	kindRollback
	kindRead
	kindWrite
	kindExecute
	kindStatus
)

// call is the encoding of a dfstatement.Call.
type call struct {
	_        struct{} `cbor:",toarray"`
	Kind     callKind
	ID, Text string
	// Name is the item, or the name of a prepared statement.
	Name      string
	Arguments string
	// Plan is the definition of the prepared statement.
	Plan        dfstatement.Plan
	MinPosition dfposition.Position
}

func encodeCall(from dfstatement.Call, session *dfconnection.SessionState) (call, error) {
	to := call{ID: from.ID, Text: from.Text, MinPosition: from.MinPosition}
	switch s := from.Statement.(type) {
	case dfstatement.Begin:
		to.Kind = kindBegin
		if s.ReadOnly {
			to.Kind = kindBeginReadOnly
		}
	case dfstatement.Commit:
		to.Kind = kindCommit
	case dfstatement.Rollback:
		to.Kind = kindRollback
	case dfstatement.Read:
		to.Kind, to.Name = kindRead, s.Item
	case dfstatement.Write:
		to.Kind, to.Name = kindWrite, s.Item
	case dfstatement.Execute:
		to.Kind, to.Name, to.Arguments = kindExecute, s.Name, s.Arguments
		if session != nil {
			to.Plan = session.Plans[s.Name]
		}
	case dfstatement.Status:
		to.Kind = kindStatus
	default:
		return call{}, eris.Errorf("forward: statement %T cannot be forwarded", from.Statement)
	}
	return to, nil
}

// decode returns the call for the carrier to run, and stores the plan of a
// prepared statement in the session.
func (c call) decode(session *dfconnection.SessionState) (dfstatement.Call, error) {
	to := dfstatement.Call{ID: c.ID, Text: c.Text, MinPosition: c.MinPosition}
	switch c.Kind {
	case kindBegin, kindBeginReadOnly:
		to.Statement = dfstatement.Begin{ReadOnly: c.Kind == kindBeginReadOnly}
	case kindCommit:
		to.Statement = dfstatement.Commit{}
	case kindRollback:
		to.Statement = dfstatement.Rollback{}
	case kindRead:
		to.Statement = dfstatement.Read{Item: c.Name}
	case kindWrite:
		to.Statement = dfstatement.Write{Item: c.Name}
	case kindExecute:
		to.Statement = dfstatement.Execute{Name: c.Name, Arguments: c.Arguments}
		if session != nil {
			session.Plans[c.Name] = c.Plan
		}
	case kindStatus:
		to.Statement = dfstatement.Status{}
	default:
		return to, eris.Errorf("forward: unknown kind of call %d", c.Kind)
	}
	return to, nil
}

func refusedReply(err *dfresult.Error) reply {
	return reply{Refused: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter, State: dfstatement.Idle}
}
