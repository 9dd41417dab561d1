package dflease

import (
	"slices"
	"strings"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

// Event is an input of Manager.Step.
type Event interface{ event() }

// Tick reports that time has passed. It is sent about every 100 ms.
type Tick struct{}

// Configured replaces the database groups that the host is concerned with.
type Configured struct{ Groups []GroupSpec }

// GroupSpec describes a database group whose slots are to be claimed.
type GroupSpec struct {
	Group     dfgroup.ID
	Slots     int
	Upstreams []dfgroup.UpstreamID
	// Candidates are the hosts that may take slots, in order of preference.
	Candidates []string
}

// LiveHosts lists the hosts that are live and not leaving.
type LiveHosts struct{ IDs []string }

// RowsRead answers ReadRows. Requested rows that are missing do not exist.
type RowsRead struct {
	RequestedAt dfclock.Millis
	Rows        []dfplatform.Row
}

// ReadFailed answers ReadRows if any of its reads failed.
type ReadFailed struct{}

// Result is the outcome of a commit.
type Result int

// Results of commits.
const (
	// Done means that the commit took effect.
	Done Result = iota + 1
	// Conflict means that a row did not have the expected version.
	Conflict
	// Failed means that the commit was refused or not answered. In the latter
	// case it may have taken effect.
	Failed
)

// Committed answers Commit.
type Committed struct{ Result Result }

// Terminated answers Terminate.
type Terminated struct {
	Group    dfgroup.ID
	Epoch    uint64
	Upstream dfgroup.UpstreamID
	// Again is copied from the action.
	Again bool
	OK    bool
}

// ConnectionTerminated reports that an upstream closed a connection of the slot
// on an administrator's command, such as pg_terminate_backend.
type ConnectionTerminated struct {
	Group dfgroup.ID
	Epoch uint64
}

// ProbeAnswered reports that a connection of the slot answered a probe.
type ProbeAnswered struct {
	Group    dfgroup.ID
	Epoch    uint64
	Upstream dfgroup.UpstreamID
	// OpenedAt is when the connection was established, SentAt when the probe
	// was sent.
	OpenedAt dfclock.Millis
	SentAt   dfclock.Millis
}

// TableRestored reports that the table came back from an older copy. Rows may name
// earlier owners again.
type TableRestored struct{}

// Drained reports that the host has closed all connections and is leaving.
type Drained struct{}

func (Tick) event()                 {}
func (Configured) event()           {}
func (LiveHosts) event()            {}
func (RowsRead) event()             {}
func (ReadFailed) event()           {}
func (Committed) event()            {}
func (Terminated) event()           {}
func (ConnectionTerminated) event() {}
func (ProbeAnswered) event()        {}
func (TableRestored) event()        {}
func (Drained) event()              {}

// Action is an output of Manager.Step that the host has to carry out.
type Action interface{ action() }

// ReadRows requests lists of rows by prefix and then rows by key. The lists must
// be complete before the first key is read: an incarnation writes its host row
// before it claims a slot, so if a host row that is read later does not name the
// incarnation of a slot, that incarnation no longer exists. At most one ReadRows
// or Commit is in flight, and each must be answered.
type ReadRows struct {
	Prefixes []string
	Keys     []string
}

// Commit requests one atomic commit under a new attempt identity.
type Commit struct{ Writes []dfplatform.Write }

// Held reports that the row of a slot names this host as its owner.
type Held struct {
	Group dfgroup.ID
	Index int
	Epoch uint64
}

// Terminate requests termination of connections at an upstream by application
// name.
type Terminate struct {
	Group    dfgroup.ID
	Epoch    uint64
	Upstream dfgroup.UpstreamID
	// Again is true for the second termination.
	Again bool
	Names []string
	// Prefix selects all names that start with it except Own, if it is not empty.
	// Names is empty then.
	Prefix string
	Own    string
}

// Matches reports whether connections with an application name are to be terminated.
func (t Terminate) Matches(name string) bool {
	if t.Prefix != "" {
		return strings.HasPrefix(name, t.Prefix) && name != t.Own
	}
	return slices.Contains(t.Names, name)
}

// Ready reports that earlier owners have no connections left at an upstream.
type Ready struct {
	Group    dfgroup.ID
	Epoch    uint64
	Upstream dfgroup.UpstreamID
}

// Probe requests one round trip on a connection of the slot to each upstream.
type Probe struct {
	Group dfgroup.ID
	Epoch uint64
}

// Lost reports that the host no longer owns the slot. Its connections must be
// closed.
type Lost struct {
	Group dfgroup.ID
	Index int
	Epoch uint64
	Why   string
}

// Released reports that all slots and the lease have been released.
type Released struct{}

func (ReadRows) action()  {}
func (Commit) action()    {}
func (Held) action()      {}
func (Terminate) action() {}
func (Ready) action()     {}
func (Probe) action()     {}
func (Lost) action()      {}
func (Released) action()  {}
