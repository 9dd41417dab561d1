// Package dfstandingroup is the replication state of one upstream stand-in: its
// log, terms, fencing, promotion and the delays of a replica. It does no input
// or output.
package dfstandingroup

import (
	"context"
	"sync"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandinstore"
)

// FirstTerm is the term under which a new group starts.
const FirstTerm dfposition.Term = 1

// receivedLimit bounds the entries that wait for the flush delay.
const receivedLimit = 16384

// CodeRefused is the SQLSTATE of a refused control statement.
const CodeRefused = "55000"

// Group is the replication state of one upstream.
type Group struct {
	id         dfgroup.UpstreamID
	dataCentre string
	database   *dfstandinstore.Database

	// applying is held while entries are applied or the database is rebuilt.
	// Locks are taken in the order applying, database, mu.
	applying sync.Mutex

	mu sync.Mutex
	// accepted never falls; one actor has each accepted term.
	accepted dfposition.Term
	actor    string
	role     dfgroup.Role
	log      []Entry
	history  dfposition.History
	// applied <= len(log); they are equal on a primary.
	applied   int
	following dfgroup.UpstreamID
	// verified is true once the log was compared with the followed primary's.
	verified  bool
	heard     time.Time
	leaving   bool
	discarded string
	cut       []Committed
	// generation changes when entries under way must be dropped.
	generation int
	// superseded is closed and replaced whenever generation changes.
	superseded chan struct{}
	received   []received
	committed  map[uint64]bool
	nextXID    uint64
	// wrong is a deliberate error, so that checks can be seen to fire.
	wrong Wrong
	// primaryEnd is the end of the followed primary's log in its last answer.
	primaryEnd dfposition.Offset
	flushDelay time.Duration
	applyDelay time.Duration
	changed    chan struct{}
}

// Options describe one member of a group.
type Options struct {
	ID         dfgroup.UpstreamID
	DataCentre string
	// Following is the first primary; empty makes this member the first primary.
	Following dfgroup.UpstreamID
	// FlushDelay lies between receipt and flush of an entry on a replica.
	FlushDelay dfclock.Millis
	// ApplyDelay lies between flush and application of an entry on a replica.
	ApplyDelay dfclock.Millis
}

// Wrong is a deliberate error of an upstream. Tests of checkers use it to show
// that a check fires.
type Wrong string

// Deliberate errors.
const (
	WrongNone Wrong = "none"
	// WrongApplied reports the primary's log as applied on a replica.
	WrongApplied Wrong = "applied"
	// WrongFlushed reports the primary's log as flushed on a replica.
	WrongFlushed Wrong = "flushed"
	// WrongLose answers commits that the log lacks.
	WrongLose Wrong = "lose"
	// WrongDouble logs each commit twice.
	WrongDouble Wrong = "double"
)

type received struct {
	entry Entry
	due   time.Time
}

func span(millis dfclock.Millis) time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// New returns a member with an empty log.
func New(options Options) *Group {
	history, _ := dfposition.NewHistory(dfposition.Start{Term: FirstTerm})
	g := &Group{id: options.ID, dataCentre: options.DataCentre, accepted: FirstTerm, role: dfgroup.RolePrimary,
		history: history, heard: time.Now(), committed: map[uint64]bool{}, changed: make(chan struct{}), superseded: make(chan struct{}),
		flushDelay: span(options.FlushDelay), applyDelay: span(options.ApplyDelay)}
	if options.Following != "" {
		g.role, g.following, g.verified = dfgroup.RoleReplica, options.Following, true
	}
	g.database = dfstandinstore.NewDatabase(dfstandinstore.Hooks{Writable: g.writable, Append: g.append, NextXID: g.newXID})
	return g
}

// Database returns the applied tables.
func (g *Group) Database() *dfstandinstore.Database {
	return g.database
}

// Changed returns a channel that is closed at the next change.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// SetLeaving is group_leaving.
func (g *Group) SetLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leaving
}

// SetDelays changes the two replication delays.
func (g *Group) SetDelays(flush, apply dfclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flushDelay, g.applyDelay = span(flush), span(apply)
	g.notify()
}

// SetWrong puts a deliberate error in force.
func (g *Group) SetWrong(wrong Wrong) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wrong = wrong
	g.notify()
}

// Crash loses what was received and not flushed.
func (g *Group) Crash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropReceived()
}

// Record returns every transaction that this member committed or received,
// first the surviving log in order, then what was cut.
func (g *Group) Record() []Committed {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := make([]Committed, 0, len(g.log)+len(g.cut))
	for i, entry := range g.log {
		record = append(record, committedAt(entry, i, false))
	}
	return append(record, g.cut...)
}

// notify wakes everything that waits for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Group) writable() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.writableLocked()
}

func (g *Group) writableLocked() error {
	if g.role == dfgroup.RolePrimary {
		return nil
	}
	return dfstandinstore.Errorf(dfstandinstore.CodeReadOnly, "cannot write: this upstream is %s under term %d", g.role, g.accepted)
}

// newXID carries the term in its upper half, so that two primaries never give
// one identity to two transactions.
func (g *Group) newXID() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextXID++
	return uint64(g.accepted)<<32 | g.nextXID
}

func (g *Group) append(commit dfstandinstore.Commit) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.writableLocked(); err != nil {
		return err
	}
	if commit.XID>>32 != uint64(g.accepted) {
		return dfstandinstore.Errorf(dfstandinstore.CodeReadOnly, "cannot commit: the transaction began under term %d, the accepted term is %d", commit.XID>>32, g.accepted)
	}
	if g.wrong == WrongLose {
		return nil
	}
	g.log = append(g.log, Entry{Term: g.accepted, Commit: commit, flushed: time.Now()})
	if g.wrong == WrongDouble {
		g.log = append(g.log, g.log[len(g.log)-1])
	}
	g.committed[commit.XID] = true
	g.applied = len(g.log)
	g.notify()
	return nil
}

// Position returns the end of the log.
func (g *Group) Position() dfposition.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	position := dfposition.Position{Term: g.history.Last(), Offset: dfposition.Offset(len(g.log))}
	if len(g.log) > 0 {
		// A term without entries names no position: another primary may be
		// chosen whose log never had the start of that term.
		position.Term = g.log[len(g.log)-1].Term
	}
	return position
}

// Status returns what group_status answers.
func (g *Group) Status() dfgroup.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statusLocked()
}

func (g *Group) statusLocked() dfgroup.Status {
	status := dfgroup.Status{Upstream: g.id, DataCentre: g.dataCentre, Role: g.role, Accepted: g.accepted, Actor: g.actor,
		Flushed: g.flushed(), Applied: dfposition.Offset(g.applied), History: g.history,
		PrimarySilence: -1, Leaving: g.leaving, Discarded: g.discarded}
	if len(g.log) > 0 {
		status.LogTerm = g.log[len(g.log)-1].Term
	}
	if g.wrong == WrongApplied {
		status.Applied = max(status.Flushed, g.primaryEnd)
		status.Flushed = status.Applied
	}
	if g.role == dfgroup.RoleReplica {
		status.Following = g.following
	}
	if g.role != dfgroup.RolePrimary {
		status.PrimarySilence = dfclock.Millis(time.Since(g.heard).Milliseconds())
	}
	return status
}

// flushed returns the offset that is reported. The caller holds mu.
func (g *Group) flushed() dfposition.Offset {
	end := dfposition.Offset(len(g.log))
	if g.wrong == WrongFlushed {
		return max(end, g.primaryEnd)
	}
	return end
}

func (g *Group) refuse() error {
	return &dfstandinstore.Error{Code: CodeRefused, Message: "term refused",
		Detail: dfstandinstore.FormatText(int64(g.accepted))}
}

// Fence accepts a term and stops writes and replication of lower terms.
func (g *Group) Fence(term dfposition.Term, actor string) error {
	g.mu.Lock()
	if term < g.accepted || (term == g.accepted && actor != g.actor) {
		defer g.mu.Unlock()
		return g.refuse()
	}
	if term == g.accepted {
		g.mu.Unlock()
		return nil
	}
	g.accept(term, actor)
	g.mu.Unlock()
	g.database.AbortOpen(dfstandinstore.Errorf(dfstandinstore.CodeReadOnly, "transaction rolled back: this upstream was fenced by term %d", term))
	return nil
}

// accept stops everything of the former term. The caller holds mu.
func (g *Group) accept(term dfposition.Term, actor string) {
	g.accepted, g.actor = term, actor
	g.role, g.following, g.verified = dfgroup.RoleFenced, "", false
	g.dropReceived()
}

func (g *Group) dropReceived() {
	g.generation++
	close(g.superseded)
	g.superseded = make(chan struct{})
	g.received = nil
	g.notify()
}

// Promote makes this upstream the primary of a term that it has accepted.
func (g *Group) Promote(term dfposition.Term, actor string) error {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	if term != g.accepted || actor != g.actor {
		defer g.mu.Unlock()
		return g.refuse()
	}
	if g.role == dfgroup.RolePrimary {
		g.mu.Unlock()
		return nil
	}
	g.following, g.role = "", dfgroup.RoleFenced
	g.dropReceived()
	g.mu.Unlock()
	g.applyUpTo(time.Time{})

	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.accepted {
		return g.refuse()
	}
	end := dfposition.Offset(len(g.log))
	history, err := g.history.WithTruncation(end).WithTerm(term, end)
	if err != nil {
		return dfstandinstore.Errorf(CodeRefused, "term %d cannot begin: %s", term, err)
	}
	g.history, g.role = history, dfgroup.RolePrimary
	g.notify()
	return nil
}

// Follow makes this upstream a replica of the primary of a term. Its role
// stays fenced until its log was compared with the primary's.
func (g *Group) Follow(term dfposition.Term, actor string, primary dfgroup.UpstreamID) error {
	g.mu.Lock()
	if term < g.accepted || primary == g.id {
		defer g.mu.Unlock()
		return g.refuse()
	}
	if term == g.accepted && g.following == primary {
		g.mu.Unlock()
		return nil
	}
	if term == g.accepted && g.role == dfgroup.RolePrimary {
		defer g.mu.Unlock()
		return g.refuse()
	}
	g.accept(term, actor)
	g.following, g.heard = primary, time.Now()
	g.mu.Unlock()
	g.database.AbortOpen(dfstandinstore.Errorf(dfstandinstore.CodeReadOnly, "transaction rolled back: this upstream follows %s under term %d", primary, term))
	return nil
}

// Wait blocks until the log contains the position under the accepted term.
func (g *Group) Wait(ctx context.Context, want dfposition.Position, bound dfclock.Millis) {
	timer := time.NewTimer(span(bound))
	defer timer.Stop()
	for {
		g.mu.Lock()
		changed := g.changed
		done := g.accepted > want.Term || (g.accepted == want.Term &&
			g.history.Locate(g.flushed(), want) == dfposition.Contained)
		g.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// TransactionStatus answers pg_xact_status.
func (g *Group) TransactionStatus(xid uint64) dfstandinstore.Value {
	running := g.database.InProgress(xid)
	g.mu.Lock()
	defer g.mu.Unlock()
	term := xid >> 32
	switch {
	case g.committed[xid]:
		return "committed"
	case g.role != dfgroup.RolePrimary || term > uint64(g.accepted):
		return nil
	case term == uint64(g.accepted) && xid&0xffffffff > g.nextXID:
		return nil
	case running:
		return "in progress"
	}
	return "aborted"
}
