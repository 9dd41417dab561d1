package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
)

// Action is what the host does next for a request.
type Action interface{ isAction() }

// UseUpstream runs the request.
type UseUpstream struct {
	Upstream dfgroup.UpstreamID
	// Rung is the step of the ladder that decided, or zero for a write.
	Rung    int
	Replica bool
	// Local is true if the upstream is in this host's data centre.
	Local bool
}

// AskPeers asks other slot holders for the caller's position and continues with
// PeersAnswered or TimedOut.
type AskPeers struct {
	Peers []dfsession.Peer
	Until dfclock.Millis
}

// TakeBarrier takes a barrier position that is started after this action was
// returned, shared with other reads of the group that wait, and continues with
// BarrierReached or TimedOut.
type TakeBarrier struct {
	Until dfclock.Millis
}

// WaitReplica waits for a report that the replica has applied the position and
// continues with ViewChanged or TimedOut.
type WaitReplica struct {
	Upstream dfgroup.UpstreamID
	Position dfposition.Position
	Until    dfclock.Millis
}

// ConfirmPrimary has the leadership of the primary confirmed by a majority and
// continues with PrimaryConfirmed or TimedOut.
type ConfirmPrimary struct {
	Upstream dfgroup.UpstreamID
	Term     dfposition.Term
	Until    dfclock.Millis
}

// Refuse answers the caller with the error, whose outcome is not run.
type Refuse struct {
	Error *dfresult.Error
}

func (UseUpstream) isAction()    {}
func (AskPeers) isAction()       {}
func (TakeBarrier) isAction()    {}
func (WaitReplica) isAction()    {}
func (ConfirmPrimary) isAction() {}
func (Refuse) isAction()         {}

// Event is the result of an action.
type Event interface{ isEvent() }

// PeersAnswered has the positions that the asked peers told.
type PeersAnswered struct {
	Positions []dfposition.Position
	// All is true if every asked peer answered as holder of its slot.
	All bool
}

// BarrierReached has a barrier position: the end of the log of a primary whose
// term a majority accepted in reports asked for after the barrier started.
type BarrierReached struct {
	Upstream  dfgroup.UpstreamID
	StartedAt dfclock.Millis
	Position  dfposition.Position
}

// PrimaryConfirmed tells that a majority accepted the primary's term in reports
// asked for after the action was returned.
type PrimaryConfirmed struct {
	Upstream  dfgroup.UpstreamID
	StartedAt dfclock.Millis
	// Position is the end of the primary's log in that report.
	Position dfposition.Position
}

// ViewChanged tells that SetView was called.
type ViewChanged struct{}

// TimedOut tells that the action's bound passed or the action failed.
type TimedOut struct{}

func (PeersAnswered) isEvent()    {}
func (BarrierReached) isEvent()   {}
func (PrimaryConfirmed) isEvent() {}
func (ViewChanged) isEvent()      {}
func (TimedOut) isEvent()         {}

func refuse(code dfresult.Code, format string, args ...any) Action {
	return Refuse{Error: dfresult.NewError(code, format, args...)}
}
