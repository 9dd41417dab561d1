// Package dffleet decides which upstreams a host may use and which of them leads
// each service, from the platform's list and from what upstreams report.
package dffleet

import (
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfrevision"
)

const (
	// LapseGracePeriod is how long an upstream that vanished from the list may
	// still be used. Live upstreams return to the list within 2 s after an outage
	// of the platform; the rest allows for the delay of the list.
	LapseGracePeriod = 3 * dfclock.Second
	// ReturnTimeout is how long a leader that vanished from the list may take to
	// return before it is replaced. Live upstreams return within 2 s after an
	// outage of the platform.
	ReturnTimeout = 2200 * dfclock.Millisecond
	// DenialSpan is how long an upstream that denied being the leader is not taken
	// for it without newer evidence. It is longer than a promotion takes.
	DenialSpan = 2500 * dfclock.Millisecond
)

// noEvidence is an instant before every other.
const noEvidence dfclock.Millis = -1

// ID identifies an upstream.
type ID string

// Upstream is one entry of the platform's list. It is never modified.
type Upstream struct {
	ID ID
	// Born distinguishes incarnations of the same ID. It is a time in Unix
	// milliseconds.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of statements that the upstream runs concurrently.
	Slots    int
	Draining bool
	// Primary is true if the upstream reports itself as the leader.
	Primary bool
	// Warming is true while the upstream reports that it is slow after its start.
	Warming bool
	// Version orders entries of the same ID; it increases with each change.
	Version dfrevision.Revision
}

// member is an upstream and the state that was learned about it.
type member struct {
	upstream Upstream
	// lapsedAt is when the entry vanished, or Never.
	lapsedAt dfclock.Millis
	// drainingAt is when the upstream began to drain, or Never. It is unknownStart if this
	// host has never seen it otherwise and nobody has told.
	drainingAt dfclock.Millis
	// deniedAt is when the upstream denied being the leader, or a negative value.
	deniedAt dfclock.Millis
	// leaderEvidenceAt is the instant of the newest evidence that the upstream
	// leads, from its entry in the list or its answers. Negative means none.
	leaderEvidenceAt dfclock.Millis
	// term is the newest term that the upstream is known to lead, or zero.
	term dfposition.Term
}

// serviceTerms is what is known of the terms of one service.
type serviceTerms struct {
	// min is the lowest term that may lead; it never decreases.
	min dfposition.Term
	// latestLed is the newest term that had a leader; it never decreases.
	latestLed dfposition.Term
}

// source is where an entry comes from.
type source int

const (
	// change is a change of the list that this host has just learned.
	change source = iota
	// wholeList may have entries that changed long ago.
	wholeList
	// restoredList may have entries that are older than the known ones although their
	// versions are higher. They are no evidence of who leads.
	restoredList
)

// Fleet is one host's view of the upstreams. It is not safe for concurrent use.
type Fleet struct {
	members map[ID]*member
	// version is the newest version of the list that was applied in whole or in
	// part.
	version dfrevision.Revision
	// requireTerm is true where a replaced leader continues and still reports
	// itself as the leader in the list. Only its term distinguishes it from its
	// successor.
	requireTerm bool
	terms       map[string]serviceTerms
	// drains has when upstreams began to drain. It outlives their entries, which may
	// vanish for a while.
	drains map[incarnation]dfclock.Millis
}

// New returns an empty fleet for a platform that demotes the leaders that it
// replaces.
func New() *Fleet {
	return &Fleet{members: map[ID]*member{}, terms: map[string]serviceTerms{}, drains: map[incarnation]dfclock.Millis{}}
}

// NewWithTerms returns an empty fleet for a platform that does not demote the
// leaders that it replaces. An upstream counts as leader only with a known term.
func NewWithTerms() *Fleet {
	fleet := New()
	fleet.requireTerm = true
	return fleet
}

// Version returns the newest version of the list that was applied.
func (f *Fleet) Version() dfrevision.Revision {
	return f.version
}

// Put applies an entry of the list. It reports whether the entry is a new
// incarnation of a known upstream, whose earlier state was discarded.
func (f *Fleet) Put(now dfclock.Millis, upstream Upstream) (newIncarnation bool) {
	return f.put(now, upstream, change)
}

// put is Put of an entry from some source.
func (f *Fleet) put(now dfclock.Millis, upstream Upstream, from source) (newIncarnation bool) {
	f.version = max(f.version, upstream.Version)
	known := f.members[upstream.ID]
	switch {
	case known == nil:
	case known.upstream.Version > upstream.Version:
		return false
	case known.upstream == upstream:
		known.lapsedAt = dfclock.Never
		return false
	}
	isNew := known == nil || known.upstream.Born != upstream.Born || known.upstream.Address != upstream.Address
	if isNew {
		newIncarnation = known != nil
		known = &member{drainingAt: dfclock.Never, deniedAt: -DenialSpan, leaderEvidenceAt: noEvidence}
		f.members[upstream.ID] = known
	}
	switch {
	case from == restoredList:
	case !upstream.Primary:
		known.leaderEvidenceAt = noEvidence
	case isNew || !known.upstream.Primary:
		known.leaderEvidenceAt = now
		known.deniedAt = -DenialSpan
	}
	if upstream.Draining && known.drainingAt == dfclock.Never {
		known.drainingAt = f.drainStart(now, upstream, isNew && from != change)
	}
	known.upstream = upstream
	known.lapsedAt = dfclock.Never
	return newIncarnation
}

// Lapse records that an entry vanished from the list.
func (f *Fleet) Lapse(now dfclock.Millis, id ID, version dfrevision.Revision) {
	f.version = max(f.version, version)
	known := f.members[id]
	if known == nil || known.upstream.Version > version || known.lapsedAt != dfclock.Never {
		return
	}
	known.lapsedAt = now
}

// Replace applies a whole list. Entries that are not in it have vanished. It
// returns the upstreams of which the list has a new incarnation. The first list of an
// era was restored from an older copy and may say that a replaced leader leads.
func (f *Fleet) Replace(now dfclock.Millis, upstreams []Upstream, version dfrevision.Revision) (newIncarnations []ID) {
	from := wholeList
	if f.version > 0 && version.Era() > f.version.Era() {
		from = restoredList
	}
	listed := make(map[ID]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.ID] = true
		if f.put(now, upstream, from) {
			newIncarnations = append(newIncarnations, upstream.ID)
		}
	}
	for id := range f.members {
		if !listed[id] {
			f.Lapse(now, id, version)
		}
	}
	f.version = max(f.version, version)
	return newIncarnations
}

// Expire removes upstreams that vanished more than LapseGracePeriod ago and returns
// them.
func (f *Fleet) Expire(now dfclock.Millis) []ID {
	var gone []ID
	for id, known := range f.members {
		if known.lapsedAt != dfclock.Never && now.Reached(known.lapsedAt.Add(LapseGracePeriod)) {
			gone = append(gone, id)
			delete(f.members, id)
		}
	}
	f.forgetDrains(now)
	return gone
}

// RecordLeader records that an upstream proved at an instant that it leads.
func (f *Fleet) RecordLeader(id ID, at dfclock.Millis) {
	known := f.members[id]
	if known == nil || at <= known.deniedAt || !f.mayLead(known) {
		return
	}
	known.leaderEvidenceAt = max(known.leaderEvidenceAt, at)
	known.deniedAt = -DenialSpan
}

// RecordLeaderTerm records that an upstream proved at an instant that it leads a
// term. If the term was revoked, the upstream does not become the leader.
func (f *Fleet) RecordLeaderTerm(id ID, at dfclock.Millis, term dfposition.Term) {
	known := f.members[id]
	if known == nil {
		return
	}
	known.term = max(known.term, term)
	service := known.upstream.Service
	terms := f.terms[service]
	terms.latestLed = max(terms.latestLed, term)
	terms.min = max(terms.min, term)
	f.terms[service] = terms
	f.RecordLeader(id, at)
}

// RaiseMinTerm revokes the leadership of a service for all terms below one.
func (f *Fleet) RaiseMinTerm(service string, term dfposition.Term) {
	terms := f.terms[service]
	terms.min = max(terms.min, term)
	f.terms[service] = terms
}

// RecordTerm records that a term of a service has had a leader, which may be
// unknown.
func (f *Fleet) RecordTerm(service string, term dfposition.Term) {
	terms := f.terms[service]
	terms.latestLed = max(terms.latestLed, term)
	f.terms[service] = terms
}

// MinTerm returns the lowest term that may lead a service.
func (f *Fleet) MinTerm(service string) dfposition.Term {
	return f.terms[service].min
}

// LatestLedTerm returns the newest term of a service that is known to have had a
// leader.
func (f *Fleet) LatestLedTerm(service string) dfposition.Term {
	return f.terms[service].latestLed
}

// TermOf returns the newest term that an upstream is known to lead, or zero.
func (f *Fleet) TermOf(id ID) dfposition.Term {
	if known := f.members[id]; known != nil {
		return known.term
	}
	return 0
}

func (f *Fleet) mayLead(known *member) bool {
	return !f.requireTerm || known.term > 0 && known.term >= f.terms[known.upstream.Service].min
}

// MayLead reports whether an upstream may lead: its term was not revoked, and is
// known where terms are required.
func (f *Fleet) MayLead(id ID) bool {
	known := f.members[id]
	return known != nil && f.mayLead(known)
}

// UnverifiedLeaders returns the upstreams of a service that report themselves as
// the leader in a term that is unknown or was revoked.
func (f *Fleet) UnverifiedLeaders(now dfclock.Millis, service string) []Upstream {
	var unverified []Upstream
	for _, upstream := range f.ByService(service) {
		known := f.members[upstream.ID]
		if upstream.Primary && known.reportsLeader(now) && !f.mayLead(known) {
			unverified = append(unverified, upstream)
		}
	}
	return unverified
}

// LeadersOfUnknownTerm returns the listed upstreams of a service that report themselves
// as the leader in a term that is unknown. One of them may be the successor of a known
// leader.
func (f *Fleet) LeadersOfUnknownTerm(now dfclock.Millis, service string) []Upstream {
	var unknown []Upstream
	for _, upstream := range f.ByService(service) {
		known := f.members[upstream.ID]
		if upstream.Primary && known.term == 0 && known.lapsedAt == dfclock.Never && known.reportsLeader(now) {
			unknown = append(unknown, upstream)
		}
	}
	return unknown
}

// RecordDenial records that an upstream denied being the leader.
func (f *Fleet) RecordDenial(now dfclock.Millis, id ID) {
	if known := f.members[id]; known != nil {
		known.deniedAt = now
		known.leaderEvidenceAt = noEvidence
	}
}

// Find returns an upstream by its ID.
func (f *Fleet) Find(id ID) (Upstream, bool) {
	known := f.members[id]
	if known == nil {
		return Upstream{}, false
	}
	return known.upstream, true
}

// ByService returns the usable upstreams of a service in the order of their IDs.
// Draining upstreams are included; the caller should prefer others.
func (f *Fleet) ByService(service string) []Upstream {
	var upstreams []Upstream
	for _, known := range f.members {
		if known.upstream.Service == service {
			upstreams = append(upstreams, known.upstream)
		}
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].ID < upstreams[j].ID })
	return upstreams
}

// Listed returns every upstream that is still in the list.
func (f *Fleet) Listed() []Upstream {
	upstreams := make([]Upstream, 0, len(f.members))
	for _, known := range f.members {
		if known.lapsedAt == dfclock.Never {
			upstreams = append(upstreams, known.upstream)
		}
	}
	return upstreams
}

// Leader returns the upstream that is believed to lead a service: the one of the
// newest term, then with the newest evidence, that did not deny it since.
func (f *Fleet) Leader(now dfclock.Millis, service string) (Upstream, bool) {
	var best *member
	for _, known := range f.members {
		if known.upstream.Service != service || !known.reportsLeader(now) || !f.mayLead(known) {
			continue
		}
		if best == nil || known.preferredOver(best) {
			best = known
		}
	}
	if best == nil {
		return Upstream{}, false
	}
	return best.upstream, true
}

// reportsLeader reports whether the upstream says that it leads. An upstream that
// denied it is believed again after DenialSpan if its entry still says so.
func (m *member) reportsLeader(now dfclock.Millis) bool {
	if now.Before(m.deniedAt.Add(DenialSpan)) {
		return false
	}
	return m.upstream.Primary || m.leaderEvidenceAt > noEvidence
}

// preferredOver reports whether m is the more likely leader.
func (m *member) preferredOver(other *member) bool {
	if m.term != other.term {
		return m.term > other.term
	}
	if m.leaderEvidenceAt != other.leaderEvidenceAt {
		return m.leaderEvidenceAt > other.leaderEvidenceAt
	}
	if m.upstream.Version != other.upstream.Version {
		return m.upstream.Version > other.upstream.Version
	}
	return m.upstream.ID < other.upstream.ID
}

// Leaving reports whether an upstream drains, vanished from the list for longer
// than ReturnTimeout, or is unknown.
func (f *Fleet) Leaving(now dfclock.Millis, id ID) bool {
	known := f.members[id]
	if known == nil {
		return true
	}
	return known.drainingAt != dfclock.Never ||
		known.lapsedAt != dfclock.Never && now.Reached(known.lapsedAt.Add(ReturnTimeout))
}

// LeavingSince returns when an upstream began to drain or, as this host learned, vanished
// from the list, or Never. It is long ago if the upstream drains for an unknown time.
func (f *Fleet) LeavingSince(id ID) dfclock.Millis {
	known := f.members[id]
	if known == nil {
		return 0
	}
	return min(known.drainingAt, known.lapsedAt)
}
