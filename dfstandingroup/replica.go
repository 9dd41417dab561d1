package dfstandingroup

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandinstore"
)

// Heard takes one answer of the followed primary: the first one cuts the
// tail that the primary lacks, and later ones bring entries.
func (g *Group) Heard(generation int, answer Answer) error {
	if err := g.verify(generation, answer.History, answer.End); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation != g.generation {
		return eris.New("replication: superseded")
	}
	g.heard, g.history, g.primaryEnd = time.Now(), answer.History, answer.End
	due := g.heard.Add(g.flushDelay)
	for _, entry := range answer.Entries {
		g.received = append(g.received, received{entry: entry, due: due})
	}
	if len(answer.Entries) > 0 {
		g.notify()
	}
	return nil
}

func (g *Group) verify(generation int, history dfposition.History, end dfposition.Offset) error {
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
func (g *Group) cutTail(end int) {
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

// FlushDue moves received entries into the log when their delay has passed,
// and returns the span to the next one, or zero.
func (g *Group) FlushDue(now time.Time) time.Duration {
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

// ApplyDue applies entries whose delay has passed, and returns the span to the
// next one, or zero.
func (g *Group) ApplyDue(now time.Time) time.Duration {
	g.applying.Lock()
	defer g.applying.Unlock()
	return g.applyUpTo(now)
}

// applyUpTo applies entries that are due; a zero time applies all. The caller
// holds applying.
func (g *Group) applyUpTo(now time.Time) time.Duration {
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

// Request is what a replica asks its primary for. It holds for one generation;
// an answer that comes later is dropped.
type Request struct {
	Generation int
	// Superseded is closed when the generation ends.
	Superseded <-chan struct{}
	Term       dfposition.Term
	Primary    dfgroup.UpstreamID
	// Offset is the end of what the replica has received.
	Offset int
	// Room is how many entries the replica takes; zero asks for the state of
	// the primary's log only.
	Room int
}

// Request returns what to ask for next; false means that no primary is followed.
func (g *Group) Request() (Request, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	request := Request{Generation: g.generation, Superseded: g.superseded, Term: g.accepted, Primary: g.following}
	if g.verified {
		request.Offset = len(g.log) + len(g.received)
		request.Room = max(0, receivedLimit-len(g.received))
	}
	return request, g.following != ""
}

// Answer is the primary's reply to a request.
type Answer struct {
	End     dfposition.Offset
	History dfposition.History
	Entries []Entry
}

// Serve answers a replica under a term, or refuses it if this member is not
// the term's primary. Fresh is false if there is nothing new.
func (g *Group) Serve(term dfposition.Term, offset, room int) (answer Answer, fresh bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.role != dfgroup.RolePrimary || g.accepted != term {
		return Answer{}, false, g.refuse()
	}
	entries := g.log[min(offset, len(g.log)):]
	entries = entries[:min(room, len(entries))]
	answer = Answer{End: dfposition.Offset(len(g.log)), History: g.history, Entries: entries}
	return answer, len(entries) > 0 || (offset == 0 && room == 0), nil
}
