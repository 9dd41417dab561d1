package dfoutcome

import (
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Transaction identifies a commit whose answer was lost.
type Transaction struct {
	// ID is the upstream's transaction identity, or zero if it is not known.
	ID uint64
	// Term is the term under which the commit was sent.
	Term dfposition.Term
	// AssignedBy is a log position of Term at or after the first log entry of the
	// transaction, or zero if none is known. A new primary whose log lacks that
	// entry may give the same identity to another transaction.
	AssignedBy dfposition.Position
}

// Step is the next thing to do for a lost commit.
type Step interface{ step() }

// AskStatus asks the confirmed primary for pg_xact_status of the identity.
type AskStatus struct {
	Upstream dfgroup.UpstreamID
	ID       uint64
}

// Await means that there is no confirmed primary yet.
type Await struct{}

// Conclude ends the resolution. After Done, the position barrier must still
// confirm the primary before the commit is acknowledged.
type Conclude struct{ Outcome dfresult.Outcome }

func (AskStatus) step() {}
func (Await) step()     {}
func (Conclude) step()  {}

// Plan returns how to resolve the commit. The leader is the primary's report
// under a confirmed term; confirmed is false while there is none.
func (t Transaction) Plan(leader dfgroup.Status, confirmed bool) Step {
	if t.ID == 0 {
		return Conclude{Outcome: dfresult.Unknown}
	}
	if !confirmed || leader.Role != dfgroup.RolePrimary || leader.Accepted < t.Term {
		return Await{}
	}
	if !t.identifies(leader) {
		return Conclude{Outcome: dfresult.Unknown}
	}
	return AskStatus{Upstream: leader.Upstream, ID: t.ID}
}

// identifies reports whether the identity still names this transaction there.
func (t Transaction) identifies(leader dfgroup.Status) bool {
	if leader.Accepted == t.Term {
		return true
	}
	return !t.AssignedBy.IsZero() &&
		leader.History.Locate(leader.Flushed, t.AssignedBy) == dfposition.Contained
}

// Conclusion reads the answer of pg_xact_status; an empty text is no answer.
func (t Transaction) Conclusion(text string) Conclude {
	switch text {
	case "committed":
		return Conclude{Outcome: dfresult.Done}
	case "aborted":
		return Conclude{Outcome: dfresult.NotRun}
	}
	return Conclude{Outcome: dfresult.Unknown}
}
