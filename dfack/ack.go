// Package dfack decides when a commit may be acknowledged. A majority of the
// group's upstreams, including the primary, must have flushed its position under
// the same term, as shown by reports that were requested after the commit.
package dfack

import (
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Options configures the time-outs of a gate.
type Options struct {
	// Timeout bounds the wait of one commit; it must be positive.
	Timeout dfclock.Millis
	// WaitTimeout bounds one group_wait; it must be positive.
	WaitTimeout dfclock.Millis
}

// DefaultOptions returns the default time-outs.
func DefaultOptions() Options {
	return Options{Timeout: DefaultTimeout, WaitTimeout: DefaultWaitTimeout}
}

// Action is an output of the gate, to be executed by its runner.
type Action interface{ action() }

// Answer ends the wait of one commit. Code is OK, NotMajority or PrimaryChanged.
// A full gate answers NotMajority, because the commit has already been sent.
type Answer struct {
	ID       uint64
	Position dfposition.Position
	Code     dfresult.Code
}

// Wait asks an upstream for a report once it has flushed up to Position.
type Wait struct {
	Upstream dfgroup.UpstreamID
	Position dfposition.Position
	Timeout  dfclock.Millis
}

func (Answer) action() {}
func (Wait) action()   {}

// pendingCommit is a commit that waits for its majority.
type pendingCommit struct {
	id       uint64
	position dfposition.Position
	// answeredAt is when the answer of the commit had arrived. Reports requested
	// earlier do not count.
	answeredAt dfclock.Millis
	deadline   dfclock.Millis
	// requiredTerm is the only term under which the commit may be acknowledged, or
	// zero for any.
	requiredTerm dfposition.Term
	// confirmations has one entry per upstream, in the order of the gate.
	confirmations []confirmation
}

// confirmation records that an upstream had the position in its log while it
// accepted the term. A later report never revokes it.
type confirmation struct {
	term    dfposition.Term
	primary bool
}

// report is the newest status report of an upstream.
type report struct {
	status   dfgroup.Status
	askedAt  dfclock.Millis
	received bool
}

// Gate holds the commits of one group that wait for their majority.
type Gate struct {
	options   Options
	upstreams []dfgroup.UpstreamID
	reports   map[dfgroup.UpstreamID]report
	// outstandingWaits has the upstreams with a running group_wait, at most one
	// each.
	outstandingWaits map[dfgroup.UpstreamID]bool
	commits          map[uint64]*pendingCommit
}

// NewGate returns a gate for the configured upstreams of a group.
func NewGate(options Options, upstreams []dfgroup.UpstreamID) *Gate {
	return &Gate{
		options:          options,
		upstreams:        append([]dfgroup.UpstreamID(nil), upstreams...),
		reports:          map[dfgroup.UpstreamID]report{},
		outstandingWaits: map[dfgroup.UpstreamID]bool{},
		commits:          map[uint64]*pendingCommit{},
	}
}

// Len returns the number of pending commits.
func (g *Gate) Len() int {
	return len(g.commits)
}

// Commit adds a commit whose answer has arrived by now. The ID must be unique
// among the pending commits.
func (g *Gate) Commit(now dfclock.Millis, id uint64, position dfposition.Position) []Action {
	return g.add(now, &pendingCommit{id: id, position: position})
}

// Confirm adds the answer of a request that may have changed nothing, such as
// an update that matched no row. The request was sent to the primary of the term,
// and the position was read after it. Unlike a commit it is never acknowledged
// under a later term: a replaced primary returns the same old position, although
// writes that the request did not see have been acknowledged since. A position of
// a later term means that the upstream was no longer the primary of the term.
func (g *Gate) Confirm(now dfclock.Millis, id uint64, position dfposition.Position, term dfposition.Term) []Action {
	if position.Term > term {
		return []Action{Answer{ID: id, Position: position, Code: dfresult.PrimaryChanged}}
	}
	return g.add(now, &pendingCommit{id: id, position: position, requiredTerm: term})
}

func (g *Gate) add(now dfclock.Millis, c *pendingCommit) []Action {
	if len(g.commits) >= MaxPendingCommits {
		return []Action{Answer{ID: c.id, Position: c.position, Code: dfresult.NotMajority}}
	}
	c.answeredAt = now
	c.deadline = now.Add(g.options.Timeout)
	c.confirmations = make([]confirmation, len(g.upstreams))
	g.commits[c.id] = c
	return g.startWaits(now)
}

// Forget removes a commit whose caller no longer waits.
func (g *Gate) Forget(id uint64) {
	delete(g.commits, id)
}

// Report applies a status report. Reports may arrive in any order.
func (g *Gate) Report(now dfclock.Millis, status dfgroup.Status, askedAt dfclock.Millis) []Action {
	for i, id := range g.upstreams {
		if id == status.Upstream {
			g.applyReport(i, status, askedAt)
		}
	}
	last := g.reports[status.Upstream]
	if !last.received || (askedAt >= last.askedAt && status.Accepted >= last.status.Accepted) {
		g.reports[status.Upstream] = report{status: status, askedAt: askedAt, received: true}
	}
	return g.answerDecided(now)
}

// applyReport records the commits that the report confirms.
func (g *Gate) applyReport(upstream int, status dfgroup.Status, askedAt dfclock.Millis) {
	for _, c := range g.commits {
		proof := confirmation{term: status.Accepted, primary: status.Role == dfgroup.RolePrimary}
		if askedAt < c.answeredAt || status.Accepted < max(c.position.Term, c.confirmations[upstream].term) {
			continue
		}
		if status.History.Locate(status.Flushed, c.position) == dfposition.Contained {
			c.confirmations[upstream] = proof
		}
	}
}

// WaitEnded ends a group_wait, with or without an answer. The answer must have
// been passed to Report before.
func (g *Gate) WaitEnded(now dfclock.Millis, upstream dfgroup.UpstreamID) []Action {
	delete(g.outstandingWaits, upstream)
	return g.startWaits(now)
}

// HasPending reports whether a commit waits, so that Tick has to be called.
func (g *Gate) HasPending() bool {
	return len(g.commits) > 0
}

// Tick answers the commits whose deadline has passed.
func (g *Gate) Tick(now dfclock.Millis) []Action {
	return g.answerDecided(now)
}

func (g *Gate) answerDecided(now dfclock.Millis) []Action {
	var actions []Action
	for _, c := range g.commitsByID() {
		code, decided := g.decide(now, c)
		if !decided {
			continue
		}
		delete(g.commits, c.id)
		actions = append(actions, Answer{ID: c.id, Position: c.position, Code: code})
	}
	return append(actions, g.startWaits(now)...)
}

// decide returns the result code of a commit, and false while it is undecided.
func (g *Gate) decide(now dfclock.Millis, c *pendingCommit) (dfresult.Code, bool) {
	terms := g.termsFrom(max(c.position.Term, c.requiredTerm))
	for _, term := range terms {
		if (c.requiredTerm == 0 || term == c.requiredTerm) && g.hasMajority(c, term) {
			return dfresult.OK, true
		}
		if g.primaryChanged(c, term) {
			return dfresult.PrimaryChanged, true
		}
	}
	if !now.Reached(c.deadline) {
		return 0, false
	}
	if len(terms) > 1 {
		return dfresult.PrimaryChanged, true
	}
	return dfresult.NotMajority, true
}

// hasMajority reports whether a majority that includes the primary of the term
// confirms the commit. Confirmations under different terms are never combined.
func (g *Gate) hasMajority(c *pendingCommit, term dfposition.Term) bool {
	count, primary := 0, false
	for _, proof := range c.confirmations {
		if proof.term != term {
			continue
		}
		count++
		primary = primary || proof.primary
	}
	return primary && count > len(g.upstreams)/2
}

// primaryChanged reports whether a majority accepts a later term whose primary
// has discarded the position, or under which the commit must not be acknowledged.
func (g *Gate) primaryChanged(c *pendingCommit, term dfposition.Term) bool {
	accepted, changed := 0, false
	for _, id := range g.upstreams {
		r := g.reports[id]
		if !r.received || r.status.Accepted != term {
			continue
		}
		accepted++
		if r.status.Role == dfgroup.RolePrimary {
			changed = c.requiredTerm != 0 && term > c.requiredTerm ||
				r.status.History.Locate(r.status.Flushed, c.position) == dfposition.Discarded
		}
	}
	return changed && accepted > len(g.upstreams)/2
}

// termsFrom returns the lowest term and the accepted terms above it, in ascending
// order.
func (g *Gate) termsFrom(lowest dfposition.Term) []dfposition.Term {
	terms := []dfposition.Term{lowest}
	for _, id := range g.upstreams {
		if r := g.reports[id]; r.received && r.status.Accepted > lowest {
			terms = append(terms, r.status.Accepted)
		}
	}
	sort.Slice(terms, func(i, j int) bool { return terms[i] < terms[j] })
	return terms
}

// startWaits starts a group_wait at each upstream that has none running and has
// not confirmed every commit.
func (g *Gate) startWaits(now dfclock.Millis) []Action {
	if len(g.commits) == 0 {
		return nil
	}
	var actions []Action
	for i, id := range g.upstreams {
		if g.outstandingWaits[id] {
			continue
		}
		c := g.nextUnconfirmed(i)
		if c == nil {
			continue
		}
		g.outstandingWaits[id] = true
		actions = append(actions, Wait{Upstream: id, Position: g.waitPosition(id, c), Timeout: g.waitTimeout(now, c)})
	}
	return actions
}

// nextUnconfirmed returns the commit with the lowest position that the upstream
// has not confirmed yet. An answer covers everything flushed by then, so waiting
// for the lowest confirms every commit as early as possible.
func (g *Gate) nextUnconfirmed(upstream int) *pendingCommit {
	var lowest *pendingCommit
	for _, c := range g.commits {
		if c.confirmations[upstream].term >= g.waitPosition(g.upstreams[upstream], c).Term {
			continue
		}
		if lowest == nil || c.position.Less(lowest.position) || (c.position == lowest.position && c.id < lowest.id) {
			lowest = c
		}
	}
	return lowest
}

// waitPosition returns the position to wait for, under the newest term known to
// be accepted by the upstream. A wait under an earlier term would only time out.
func (g *Gate) waitPosition(id dfgroup.UpstreamID, c *pendingCommit) dfposition.Position {
	position := c.position
	if r := g.reports[id]; r.received && r.status.Accepted > position.Term {
		position.Term = r.status.Accepted
	}
	return position
}

func (g *Gate) waitTimeout(now dfclock.Millis, c *pendingCommit) dfclock.Millis {
	return max(min(g.options.WaitTimeout, c.deadline-now), 1)
}

func (g *Gate) commitsByID() []*pendingCommit {
	commits := make([]*pendingCommit, 0, len(g.commits))
	for _, c := range g.commits {
		commits = append(commits, c)
	}
	sort.Slice(commits, func(i, j int) bool { return commits[i].id < commits[j].id })
	return commits
}
