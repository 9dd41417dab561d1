package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
)

// Action is the next step that the host takes for a request.
type Action interface{ isAction() }

// UseUpstream runs the request on an upstream.
type UseUpstream struct {
	Upstream dfgroup.UpstreamID
	// Rung is the routing step that chose the upstream, or zero for a write.
	Rung    int
	Replica bool
	// Local is true if the upstream is in this host's data centre.
	Local bool
}

// AskPeers requests the caller's position from other slot holders. The host
// continues with PeersAnswered or TimedOut.
type AskPeers struct {
	Peers []dfsession.Peer
	Until dfclock.Millis
}

// TakeBarrier requests a barrier position. The barrier must start after this
// action was returned and may be shared with other waiting reads of the group.
// The host continues with BarrierReached or TimedOut.
type TakeBarrier struct {
	Until dfclock.Millis
}

// WaitReplica waits for a report that the replica has applied the position. The
// host continues with ViewChanged or TimedOut.
type WaitReplica struct {
	Upstream dfgroup.UpstreamID
	Position dfposition.Position
	Until    dfclock.Millis
}

// ConfirmPrimary requests confirmation by a majority that the primary still
// leads in the term. The host continues with PrimaryConfirmed or TimedOut.
type ConfirmPrimary struct {
	Upstream dfgroup.UpstreamID
	Term     dfposition.Term
	Until    dfclock.Millis
}

// Refuse returns the error to the caller. The outcome of its code is NotRun.
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

// PeersAnswered carries the positions that the peers returned.
type PeersAnswered struct {
	Positions []dfposition.Position
	// All is true if every peer in the request answered as holder of its slot.
	All bool
}

// BarrierReached carries a barrier position: the end of the log of a primary
// whose term a majority accepted in reports requested after the barrier started.
type BarrierReached struct {
	Upstream  dfgroup.UpstreamID
	StartedAt dfclock.Millis
	Position  dfposition.Position
}

// PrimaryConfirmed reports that a majority accepted the primary's term in reports
// requested after the action was returned.
type PrimaryConfirmed struct {
	Upstream  dfgroup.UpstreamID
	StartedAt dfclock.Millis
	// Position is the end of the primary's log in that report.
	Position dfposition.Position
}

// ViewChanged reports that SetView was called.
type ViewChanged struct{}

// TimedOut reports that the action reached its Until time or failed.
type TimedOut struct{}

func (PeersAnswered) isEvent()    {}
func (BarrierReached) isEvent()   {}
func (PrimaryConfirmed) isEvent() {}
func (ViewChanged) isEvent()      {}
func (TimedOut) isEvent()         {}

func refuse(code dfresult.Code, format string, args ...any) Action {
	return Refuse{Error: dfresult.NewError(code, format, args...)}
}
