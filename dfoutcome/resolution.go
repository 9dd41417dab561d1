package dfoutcome

import (
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Transaction identifies the transaction of a commit whose answer was lost.
type Transaction struct {
	// ID is the upstream's transaction ID, or zero if it is not known.
	ID uint64
	// Term is the term under which the commit was sent.
	Term dfposition.Term
	// AssignedBy is a log position of Term at or after the first log entry of the
	// transaction, or zero if none is known. A new primary whose log lacks that
	// entry may assign the same ID to another transaction.
	AssignedBy dfposition.Position
}

// Step is the next step in the resolution of a commit whose answer was lost.
type Step interface{ step() }

// QueryStatus requests pg_xact_status of the transaction ID at the confirmed primary.
type QueryStatus struct {
	Upstream dfgroup.UpstreamID
	ID       uint64
}

// AwaitPrimary means that there is no confirmed primary yet.
type AwaitPrimary struct{}

// Conclude ends the resolution. If the outcome is Done, a position barrier must
// confirm the primary before the commit is acknowledged.
type Conclude struct{ Outcome dfresult.Outcome }

func (QueryStatus) step()  {}
func (AwaitPrimary) step() {}
func (Conclude) step()     {}

// Plan returns the next step. leader is the status of the primary under a confirmed
// term; confirmed is false while there is none.
func (t Transaction) Plan(leader dfgroup.Status, confirmed bool) Step {
	if t.ID == 0 {
		return Conclude{Outcome: dfresult.Unknown}
	}
	if !confirmed || leader.Role != dfgroup.RolePrimary || leader.Accepted < t.Term {
		return AwaitPrimary{}
	}
	if !t.identifies(leader) {
		return Conclude{Outcome: dfresult.Unknown}
	}
	return QueryStatus{Upstream: leader.Upstream, ID: t.ID}
}

// identifies reports whether the ID denotes this transaction at the leader.
func (t Transaction) identifies(leader dfgroup.Status) bool {
	if leader.Accepted == t.Term {
		return true
	}
	return !t.AssignedBy.IsZero() &&
		leader.History.Locate(leader.Flushed, t.AssignedBy) == dfposition.Contained
}

// Conclusion interprets the result of pg_xact_status. The outcome is unknown if the
// result is neither "committed" nor "aborted".
func (t Transaction) Conclusion(text string) Conclude {
	switch text {
	case "committed":
		return Conclude{Outcome: dfresult.Done}
	case "aborted":
		return Conclude{Outcome: dfresult.NotRun}
	}
	return Conclude{Outcome: dfresult.Unknown}
}
