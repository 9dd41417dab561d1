// Package dfack decides when a commit may be acknowledged: a majority of the
// group's upstreams, the primary among them, has flushed its position and
// accepts one term, as told by reports that were asked for after the commit.
package dfack

import (
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Options has the bounds of a gate.
type Options struct {
	// Timeout is the longest wait of one commit; it is positive.
	Timeout dfclock.Millis
	// WaitSpan is the bound of one group_wait; it is positive.
	WaitSpan dfclock.Millis
}

// DefaultOptions returns the bounds in force by default.
func DefaultOptions() Options {
	return Options{Timeout: DefaultTimeout, WaitSpan: DefaultWaitSpan}
}

// Action is what the gate asks its runner to do.
type Action interface{ action() }

// Answer ends the wait of one commit. Code is OK, NotMajority or
// PrimaryChanged; a full gate answers NotMajority, as the commit was sent.
type Answer struct {
	ID       uint64
	Position dfposition.Position
	Code     dfresult.Code
}

// Wait asks an upstream to report when its flushed position reaches a position.
type Wait struct {
	Upstream dfgroup.UpstreamID
	Position dfposition.Position
	Span     dfclock.Millis
}

func (Answer) action() {}
func (Wait) action()   {}

// commit is one commit that waits.
type commit struct {
	id       uint64
	position dfposition.Position
	// since is when the commit's answer had arrived: reports asked for earlier
	// do not count.
	since dfclock.Millis
	due   dfclock.Millis
	// only is the one term under which the commit may be released, or zero.
	only dfposition.Term
	// confirmed has one entry for each upstream of the gate.
	confirmed []confirmation
}

// confirmation tells that an upstream had the position in its log while it
// accepted the term. A later report never takes it back.
type confirmation struct {
	term    dfposition.Term
	primary bool
}

// report is the newest report of one upstream.
type report struct {
	status  dfgroup.Status
	askedAt dfclock.Millis
	known   bool
}

// Gate holds the commits of one group that wait for their majority.
type Gate struct {
	options   Options
	upstreams []dfgroup.UpstreamID
	reports   map[dfgroup.UpstreamID]report
	// waiting marks upstreams with an outstanding group_wait, at most one each.
	waiting map[dfgroup.UpstreamID]bool
	commits map[uint64]*commit
}

// NewGate returns a gate for the configured upstreams of a group.
func NewGate(options Options, upstreams []dfgroup.UpstreamID) *Gate {
	return &Gate{
		options:   options,
		upstreams: append([]dfgroup.UpstreamID(nil), upstreams...),
		reports:   map[dfgroup.UpstreamID]report{},
		waiting:   map[dfgroup.UpstreamID]bool{},
		commits:   map[uint64]*commit{},
	}
}

// Len returns the number of commits that wait.
func (g *Gate) Len() int {
	return len(g.commits)
}

// Commit adds a commit whose answer has arrived by now. The identity must be
// new among the commits that wait.
func (g *Gate) Commit(now dfclock.Millis, id uint64, position dfposition.Position) []Action {
	return g.add(now, &commit{id: id, position: position})
}

// Confirm adds the answer of a request that may have changed nothing, such as
// an update that matched no row. It was sent to the primary of the term, and the
// position was read behind it. Unlike a commit it is never released under a
// later term: a replaced primary gives the same old position, although writes
// that the request did not see were acknowledged since. A position of a later
// term came from an upstream that is no longer the primary it was asked as.
func (g *Gate) Confirm(now dfclock.Millis, id uint64, position dfposition.Position, term dfposition.Term) []Action {
	if position.Term > term {
		return []Action{Answer{ID: id, Position: position, Code: dfresult.PrimaryChanged}}
	}
	return g.add(now, &commit{id: id, position: position, only: term})
}

func (g *Gate) add(now dfclock.Millis, c *commit) []Action {
	if len(g.commits) >= MaxWaiting {
		return []Action{Answer{ID: c.id, Position: c.position, Code: dfresult.NotMajority}}
	}
	c.since = now
	c.due = now.Add(g.options.Timeout)
	c.confirmed = make([]confirmation, len(g.upstreams))
	g.commits[c.id] = c
	return g.waits(now)
}

// Forget drops a commit whose caller no longer waits.
func (g *Gate) Forget(id uint64) {
	delete(g.commits, id)
}

// Report takes a status report, in whatever order reports arrive.
func (g *Gate) Report(now dfclock.Millis, status dfgroup.Status, askedAt dfclock.Millis) []Action {
	for i, id := range g.upstreams {
		if id == status.Upstream {
			g.confirm(i, status, askedAt)
		}
	}
	known := g.reports[status.Upstream]
	if !known.known || (askedAt >= known.askedAt && status.Accepted >= known.status.Accepted) {
		g.reports[status.Upstream] = report{status: status, askedAt: askedAt, known: true}
	}
	return g.settle(now)
}

// confirm notes which commits the report proves.
func (g *Gate) confirm(upstream int, status dfgroup.Status, askedAt dfclock.Millis) {
	for _, c := range g.commits {
		proof := confirmation{term: status.Accepted, primary: status.Role == dfgroup.RolePrimary}
		if askedAt < c.since || status.Accepted < max(c.position.Term, c.confirmed[upstream].term) {
			continue
		}
		if status.History.Locate(status.Flushed, c.position) == dfposition.Contained {
			c.confirmed[upstream] = proof
		}
	}
}

// WaitEnded takes the end of a group_wait, with or without an answer. The
// answer itself goes to Report first.
func (g *Gate) WaitEnded(now dfclock.Millis, upstream dfgroup.UpstreamID) []Action {
	delete(g.waiting, upstream)
	return g.waits(now)
}

// Waiting reports whether a commit waits, so that Tick may have work.
func (g *Gate) Waiting() bool {
	return len(g.commits) > 0
}

// Tick answers the commits whose bound has passed.
func (g *Gate) Tick(now dfclock.Millis) []Action {
	return g.settle(now)
}

func (g *Gate) settle(now dfclock.Millis) []Action {
	var actions []Action
	for _, c := range g.ordered() {
		code, ended := g.judge(now, c)
		if !ended {
			continue
		}
		delete(g.commits, c.id)
		actions = append(actions, Answer{ID: c.id, Position: c.position, Code: code})
	}
	return append(actions, g.waits(now)...)
}

// judge returns the answer of a commit once there is one.
func (g *Gate) judge(now dfclock.Millis, c *commit) (dfresult.Code, bool) {
	terms := g.terms(max(c.position.Term, c.only))
	for _, term := range terms {
		if (c.only == 0 || term == c.only) && g.majority(c, term) {
			return dfresult.OK, true
		}
		if g.ended(c, term) {
			return dfresult.PrimaryChanged, true
		}
	}
	if !now.Reached(c.due) {
		return 0, false
	}
	if len(terms) > 1 {
		return dfresult.PrimaryChanged, true
	}
	return dfresult.NotMajority, true
}

// majority reports whether a majority with the primary of the term confirms
// the commit. Confirmations under different terms are never added up.
func (g *Gate) majority(c *commit, term dfposition.Term) bool {
	count, primary := 0, false
	for _, proof := range c.confirmed {
		if proof.term != term {
			continue
		}
		count++
		primary = primary || proof.primary
	}
	return primary && count > len(g.upstreams)/2
}

// ended reports whether a later term has a confirmed primary that lacks the
// position for good, or under which the commit must not be released.
func (g *Gate) ended(c *commit, term dfposition.Term) bool {
	accepted, ended := 0, false
	for _, id := range g.upstreams {
		r := g.reports[id]
		if !r.known || r.status.Accepted != term {
			continue
		}
		accepted++
		if r.status.Role == dfgroup.RolePrimary {
			ended = c.only != 0 && term > c.only ||
				r.status.History.Locate(r.status.Flushed, c.position) == dfposition.Discarded
		}
	}
	return ended && accepted > len(g.upstreams)/2
}

// terms returns the lowest term and the accepted terms above it, rising.
func (g *Gate) terms(lowest dfposition.Term) []dfposition.Term {
	terms := []dfposition.Term{lowest}
	for _, id := range g.upstreams {
		if r := g.reports[id]; r.known && r.status.Accepted > lowest {
			terms = append(terms, r.status.Accepted)
		}
	}
	sort.Slice(terms, func(i, j int) bool { return terms[i] < terms[j] })
	return terms
}

// waits starts a group_wait at each upstream that has none and owes a report.
func (g *Gate) waits(now dfclock.Millis) []Action {
	if len(g.commits) == 0 {
		return nil
	}
	var actions []Action
	for i, id := range g.upstreams {
		if g.waiting[id] {
			continue
		}
		c := g.next(i)
		if c == nil {
			continue
		}
		g.waiting[id] = true
		actions = append(actions, Wait{Upstream: id, Position: g.waitPosition(id, c), Span: g.span(now, c)})
	}
	return actions
}

// next returns the commit with the lowest position that the upstream has not
// confirmed yet. An answer covers all that is flushed by then, so the lowest
// serves every commit at the earliest moment.
func (g *Gate) next(upstream int) *commit {
	var lowest *commit
	for _, c := range g.commits {
		if c.confirmed[upstream].term >= g.waitPosition(g.upstreams[upstream], c).Term {
			continue
		}
		if lowest == nil || c.position.Less(lowest.position) || (c.position == lowest.position && c.id < lowest.id) {
			lowest = c
		}
	}
	return lowest
}

// waitPosition names the term that the upstream accepts by now, because a wait
// under an earlier term would only end with its bound.
func (g *Gate) waitPosition(id dfgroup.UpstreamID, c *commit) dfposition.Position {
	position := c.position
	if r := g.reports[id]; r.known && r.status.Accepted > position.Term {
		position.Term = r.status.Accepted
	}
	return position
}

func (g *Gate) span(now dfclock.Millis, c *commit) dfclock.Millis {
	return max(min(g.options.WaitSpan, c.due-now), 1)
}

func (g *Gate) ordered() []*commit {
	commits := make([]*commit, 0, len(g.commits))
	for _, c := range g.commits {
		commits = append(commits, c)
	}
	sort.Slice(commits, func(i, j int) bool { return commits[i].id < commits[j].id })
	return commits
}
