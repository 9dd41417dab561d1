package dfstandin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandinstore"
)

// CodeRefused is the SQLSTATE of a refused control statement.
const CodeRefused = "55000"

// group is the replication state of one upstream.
type group struct {
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

type received struct {
	entry Entry
	due   time.Time
}

func span(millis dfclock.Millis) time.Duration {
	return time.Duration(millis) * time.Millisecond
}

func newGroup(options Options) *group {
	history, _ := dfposition.NewHistory(dfposition.Start{Term: FirstTerm})
	g := &group{id: options.ID, dataCentre: options.DataCentre, accepted: FirstTerm, role: dfgroup.RolePrimary,
		history: history, heard: time.Now(), committed: map[uint64]bool{}, changed: make(chan struct{}),
		flushDelay: span(options.FlushDelay), applyDelay: span(options.ApplyDelay)}
	if options.Following != "" {
		g.role, g.following, g.verified = dfgroup.RoleReplica, options.Following, true
	}
	g.database = dfstandinstore.NewDatabase(dfstandinstore.Hooks{Writable: g.writable, Append: g.append, NextXID: g.newXID})
	return g
}

// notify wakes everything that waits for a change. The caller holds mu.
func (g *group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *group) writable() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.writableLocked()
}

func (g *group) writableLocked() error {
	if g.role == dfgroup.RolePrimary {
		return nil
	}
	return dfstandinstore.Errorf(dfstandinstore.CodeReadOnly, "cannot write: this upstream is %s under term %d", g.role, g.accepted)
}

// newXID carries the term in its upper half, so that two primaries never give
// one identity to two transactions.
func (g *group) newXID() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextXID++
	return uint64(g.accepted)<<32 | g.nextXID
}

func (g *group) append(commit dfstandinstore.Commit) error {
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

func (g *group) position() dfposition.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return dfposition.Position{Term: g.history.Last(), Offset: dfposition.Offset(len(g.log))}
}

func (g *group) status() dfgroup.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statusLocked()
}

func (g *group) statusLocked() dfgroup.Status {
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
func (g *group) flushed() dfposition.Offset {
	end := dfposition.Offset(len(g.log))
	if g.wrong == WrongFlushed {
		return max(end, g.primaryEnd)
	}
	return end
}

func (g *group) refuse() error {
	return &dfstandinstore.Error{Code: CodeRefused, Message: "term refused",
		Detail: dfstandinstore.FormatText(int64(g.accepted))}
}

// fence accepts a term and stops writes and replication of lower terms.
func (g *group) fence(term dfposition.Term, actor string) error {
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
func (g *group) accept(term dfposition.Term, actor string) {
	g.accepted, g.actor = term, actor
	g.role, g.following, g.verified = dfgroup.RoleFenced, "", false
	g.dropReceived()
}

func (g *group) dropReceived() {
	g.generation++
	g.received = nil
	g.notify()
}

// promote makes this upstream the primary of a term that it has accepted.
func (g *group) promote(term dfposition.Term, actor string) error {
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
	history, err := g.history.WithCut(end).WithTerm(term, end)
	if err != nil {
		return dfstandinstore.Errorf(CodeRefused, "term %d cannot begin: %s", term, err)
	}
	g.history, g.role = history, dfgroup.RolePrimary
	g.notify()
	return nil
}

// follow makes this upstream a replica of the primary of a term. Its role
// stays fenced until its log was compared with the primary's.
func (g *group) follow(term dfposition.Term, actor string, primary dfgroup.UpstreamID) error {
	g.mu.Lock()
	if term < g.accepted || (term == g.accepted && actor != g.actor) || primary == g.id {
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

// wait blocks until the log contains the position under the accepted term.
func (g *group) wait(ctx context.Context, want dfposition.Position, bound dfclock.Millis) {
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

// heardFrom takes one answer of the followed primary: the first one cuts the
// tail that the primary lacks, and later ones bring entries.
func (g *group) heardFrom(generation int, history dfposition.History, end dfposition.Offset, entries []Entry) error {
	if err := g.verify(generation, history, end); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation != g.generation {
		return eris.New("replication: superseded")
	}
	g.heard, g.history, g.primaryEnd = time.Now(), history, end
	due := g.heard.Add(g.flushDelay)
	for _, entry := range entries {
		g.received = append(g.received, received{entry: entry, due: due})
	}
	if len(entries) > 0 {
		g.notify()
	}
	return nil
}

func (g *group) verify(generation int, history dfposition.History, end dfposition.Offset) error {
	g.mu.Lock()
	done := g.verified
	g.mu.Unlock()
	if done {
		return nil
	}
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	if generation != g.generation {
		g.mu.Unlock()
		return eris.New("replication: superseded")
	}
	common := int(commonEnd(g.history, dfposition.Offset(len(g.log)), history, end))
	rebuild := common < g.applied
	g.cutTail(common)
	g.history, g.verified, g.role = history, true, dfgroup.RoleReplica
	var kept []dfstandinstore.Commit
	for _, entry := range g.log[:g.applied] {
		kept = append(kept, entry.Commit)
	}
	g.notify()
	g.mu.Unlock()
	if rebuild {
		g.database.Rebuild(kept)
	}
	return nil
}

// cutTail removes the log behind an offset. The caller holds mu.
func (g *group) cutTail(end int) {
	g.discarded = ""
	if end >= len(g.log) {
		return
	}
	from := dfposition.Position{Term: g.log[len(g.log)-1].Term, Offset: dfposition.Offset(end)}
	g.discarded = from.String() + "-" + dfstandinstore.FormatText(int64(len(g.log)))
	for i := end; i < len(g.log); i++ {
		g.cut = append(g.cut, committedAt(g.log[i], i, true))
		delete(g.committed, g.log[i].Commit.XID)
	}
	g.log = slices.Clone(g.log[:end])
	g.applied = min(g.applied, end)
}

func committedAt(entry Entry, index int, cut bool) Committed {
	return Committed{Term: entry.Term, Offset: dfposition.Offset(index + 1), XID: entry.Commit.XID, Tags: entry.Commit.Tags, Cut: cut}
}

// flushDue moves received entries into the log when their delay has passed,
// and returns the span to the next one, or zero.
func (g *group) flushDue(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for count < len(g.received) && !g.received[count].due.After(now) {
		entry := g.received[count].entry
		entry.flushed = now
		g.log = append(g.log, entry)
		g.committed[entry.Commit.XID] = true
		count++
	}
	g.received = g.received[count:]
	if count > 0 {
		g.notify()
	}
	if len(g.received) > 0 {
		return g.received[0].due.Sub(now)
	}
	return 0
}

// applyDue applies entries whose delay has passed, and returns the span to the
// next one, or zero.
func (g *group) applyDue(now time.Time) time.Duration {
	g.applying.Lock()
	defer g.applying.Unlock()
	return g.applyUpTo(now)
}

// applyUpTo applies entries that are due; a zero time applies all. The caller
// holds applying.
func (g *group) applyUpTo(now time.Time) time.Duration {
	for {
		g.mu.Lock()
		if g.applied >= len(g.log) {
			g.mu.Unlock()
			return 0
		}
		entry := g.log[g.applied]
		delay := entry.flushed.Add(g.applyDelay).Sub(now)
		g.mu.Unlock()
		if delay > 0 && !now.IsZero() {
			return delay
		}
		g.database.Apply(entry.Commit)
		g.mu.Lock()
		g.applied++
		g.notify()
		g.mu.Unlock()
	}
}

// transactionStatus answers pg_xact_status.
func (g *group) transactionStatus(xid uint64) dfstandinstore.Value {
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
