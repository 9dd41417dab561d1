package dflease

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

// Event is what a Keeper is told.
type Event interface{ event() }

// Tick tells that time has passed. The owner sends it every 100 ms or so.
type Tick struct{}

// Configured tells which groups there are.
type Configured struct{ Wants []Want }

// Want is one database group whose slots are to be held.
type Want struct {
	Group     dfgroup.ID
	Slots     int
	Upstreams []dfgroup.UpstreamID
	// Candidates are the hosts that may take slots, in order of preference.
	Candidates []string
}

// Hosts tells which hosts are live and not leaving.
type Hosts struct{ Live []string }

// RowsRead answers ReadRows. Rows that are absent were not found.
type RowsRead struct {
	AskedAt dfclock.Millis
	Rows    []dfplatform.Row
}

// ReadFailed answers ReadRows if any of its reads failed.
type ReadFailed struct{}

// Result is how a commit ended.
type Result int

// Results of commits.
const (
	// Done means that the commit took effect.
	Done Result = iota + 1
	// Conflict means that a condition did not hold.
	Conflict
	// Failed means that the commit was refused or that no answer arrived.
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

// Cut tells that an upstream closed a connection of the slot by an
// administrator's command.
type Cut struct {
	Group dfgroup.ID
	Epoch uint64
}

// Proven tells that a connection of the slot answered a probe.
type Proven struct {
	Group    dfgroup.ID
	Epoch    uint64
	Upstream dfgroup.UpstreamID
	// OpenedAt is when the connection was established, AskedAt when the probe
	// was sent.
	OpenedAt dfclock.Millis
	AskedAt  dfclock.Millis
}

// Drained tells that the host has closed all connections and leaves.
type Drained struct{}

func (Tick) event()       {}
func (Configured) event() {}
func (Hosts) event()      {}
func (RowsRead) event()   {}
func (ReadFailed) event() {}
func (Committed) event()  {}
func (Terminated) event() {}
func (Cut) event()        {}
func (Proven) event()     {}
func (Drained) event()    {}

// Action is what the owner of a Keeper has to do.
type Action interface{ action() }

// ReadRows asks for lists of rows by prefix and then for rows by key. The lists
// must be complete before the first key is read: an incarnation writes its host
// row before it claims a slot, so a host row that is read later and does not
// name the incarnation of a slot proves that it is gone. There is at most one
// ReadRows or Commit without an answer, and each is answered.
type ReadRows struct {
	Prefixes []string
	Keys     []string
}

// Commit asks for one commit under a new attempt identity.
type Commit struct{ Writes []dfplatform.Write }

// Held tells that the row of a slot names this host.
type Held struct {
	Group dfgroup.ID
	Index int
	Epoch uint64
}

// Terminate asks to terminate connections at an upstream by application name.
type Terminate struct {
	Group    dfgroup.ID
	Epoch    uint64
	Upstream dfgroup.UpstreamID
	// Again is true on the second termination.
	Again bool
	Names []string
}

// Ready tells that earlier owners have no connections left at an upstream.
type Ready struct {
	Group    dfgroup.ID
	Epoch    uint64
	Upstream dfgroup.UpstreamID
}

// Probe asks for one round trip on a connection of the slot to each upstream.
type Probe struct {
	Group dfgroup.ID
	Epoch uint64
}

// Lost tells that the slot is gone. Its connections must be closed.
type Lost struct {
	Group dfgroup.ID
	Index int
	Epoch uint64
	Why   string
}

// Released tells that all slots and the lease are given back.
type Released struct{}

func (ReadRows) action()  {}
func (Commit) action()    {}
func (Held) action()      {}
func (Terminate) action() {}
func (Ready) action()     {}
func (Probe) action()     {}
func (Lost) action()      {}
func (Released) action()  {}
