// Package dffleet decides which upstreams a host may use and which of them leads
// each service, from the platform's list and from what upstreams say themselves.
package dffleet

import (
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

const (
	// LapseGrace is how long an upstream that vanished from the list may still
	// be used. Upstreams that live return to the list within 2 s after an outage
	// of the platform; the rest is for the list's delay.
	LapseGracePeriod = 3 * dfclock.Second
	// ReturnSpan is how long an upstream that vanished from the list is given to
	// come back before another one takes its lead. After an outage of the
	// platform upstreams that live are back within 2 s.
	ReturnTimeout = 2200 * dfclock.Millisecond
	// RefutedSpan is how long a refuted lead is disbelieved without newer news.
	// It is longer than a promotion takes.
	DenialSpan = 2500 * dfclock.Millisecond
)

// noEvidence stands for an instant before every other.
const noEvidence dfclock.Millis = -1

// ID identifies an upstream.
type ID string

// Upstream is one entry of the platform's list. It is never modified.
type Upstream struct {
	ID ID
	// Born tells two lives of the same ID apart, in Unix milliseconds.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of statements that it runs at the same time.
	Slots    int
	Draining bool
	// Primary is the upstream's own view of its role.
	Primary bool
	// Version orders entries of the same ID; it rises with each change.
	Version uint64
}

// member is an upstream with what was learned about it.
type member struct {
	upstream Upstream
	// lapsedAt is when the entry vanished, or Never.
	lapsedAt dfclock.Millis
	// drainingAt is when draining was learned, or Never.
	drainingAt dfclock.Millis
	// refutedAt is when the upstream denied to lead, or a negative value.
	deniedAt dfclock.Millis
	// leadAt is the instant of the newest evidence that the upstream leads: a
	// claim in the list or a proof of its own. Negative means none.
	leaderEvidenceAt dfclock.Millis
	// term is the newest one that the upstream is known to lead, or zero.
	term dfposition.Term
}

// reign is what is known of the terms of one service.
type serviceTerms struct {
	// floor is the lowest term that may lead; it never falls.
	min dfposition.Term
	// led is the newest term that had a leader; it never falls.
	latestLed dfposition.Term
}

// Fleet is the state of one host. It is not safe for concurrent use.
type Fleet struct {
	members map[ID]*member
	// version is the newest version of the list that was taken whole or in part.
	version uint64
	// byTerm is true where a replaced leader goes on and says so in the list: only
	// its term tells it from its successor.
	requireTerm bool
	terms       map[string]serviceTerms
}

// New returns a fleet without upstreams whose platform takes the lead away from
// an upstream that it replaces.
func New() *Fleet {
	return &Fleet{members: map[ID]*member{}, terms: map[string]serviceTerms{}}
}

// NewByTerm returns a fleet without upstreams whose leaders are told by term.
func NewWithTerms() *Fleet {
	fleet := New()
	fleet.requireTerm = true
	return fleet
}

// Version returns the newest version of the list that was taken.
func (f *Fleet) Version() uint64 {
	return f.version
}

// Put takes an entry of the list. It reports whether an upstream's earlier life
// ended: nothing known of it holds any more.
func (f *Fleet) Put(now dfclock.Millis, upstream Upstream) (reborn bool) {
	f.version = max(f.version, upstream.Version)
	known := f.members[upstream.ID]
	if known != nil && known.upstream.Version > upstream.Version {
		return false
	}
	fresh := known == nil || known.upstream.Born != upstream.Born || known.upstream.Address != upstream.Address
	if fresh {
		reborn = known != nil
		known = &member{drainingAt: dfclock.Never, deniedAt: -DenialSpan, leaderEvidenceAt: noEvidence}
		f.members[upstream.ID] = known
	}
	switch {
	case !upstream.Primary:
		known.leaderEvidenceAt = noEvidence
	case fresh || !known.upstream.Primary:
		known.leaderEvidenceAt = now
		known.deniedAt = -DenialSpan
	}
	if upstream.Draining && known.drainingAt == dfclock.Never {
		known.drainingAt = now
	}
	known.upstream = upstream
	known.lapsedAt = dfclock.Never
	return reborn
}

// Lapse notes that an entry vanished from the list.
func (f *Fleet) Lapse(now dfclock.Millis, id ID, version uint64) {
	f.version = max(f.version, version)
	known := f.members[id]
	if known == nil || known.upstream.Version > version || known.lapsedAt != dfclock.Never {
		return
	}
	known.lapsedAt = now
}

// Replace takes the whole list; entries that it lacks have vanished.
func (f *Fleet) Replace(now dfclock.Millis, upstreams []Upstream, version uint64) (reborn []ID) {
	listed := make(map[ID]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.ID] = true
		if f.Put(now, upstream) {
			reborn = append(reborn, upstream.ID)
		}
	}
	for id := range f.members {
		if !listed[id] {
			f.Lapse(now, id, version)
		}
	}
	f.version = max(f.version, version)
	return reborn
}

// Expire drops upstreams that vanished long ago and returns them.
func (f *Fleet) Expire(now dfclock.Millis) []ID {
	var gone []ID
	for id, known := range f.members {
		if known.lapsedAt != dfclock.Never && now.Reached(known.lapsedAt.Add(LapseGracePeriod)) {
			gone = append(gone, id)
			delete(f.members, id)
		}
	}
	return gone
}

// Led records that an upstream proved at an instant that it leads.
func (f *Fleet) RecordLeader(id ID, at dfclock.Millis) {
	known := f.members[id]
	if known == nil || at <= known.deniedAt || !f.mayLead(known) {
		return
	}
	known.leaderEvidenceAt = max(known.leaderEvidenceAt, at)
	known.deniedAt = -DenialSpan
}

// LedIn records that an upstream proved at an instant that it leads a term. An
// older term than one that was taken away counts for nothing.
func (f *Fleet) RecordLeaderTerm(id ID, at dfclock.Millis, term dfposition.Term) {
	known := f.members[id]
	if known == nil {
		return
	}
	known.term = max(known.term, term)
	service := known.upstream.Service
	now := f.terms[service]
	now.latestLed = max(now.latestLed, term)
	now.min = max(now.min, term)
	f.terms[service] = now
	f.RecordLeader(id, at)
}

// Raise takes the lead of a service away from terms below one.
func (f *Fleet) RaiseMinTerm(service string, term dfposition.Term) {
	now := f.terms[service]
	now.min = max(now.min, term)
	f.terms[service] = now
}

// Heard records that a term of a service has had a leader, of whatever name.
func (f *Fleet) RecordTerm(service string, term dfposition.Term) {
	now := f.terms[service]
	now.latestLed = max(now.latestLed, term)
	f.terms[service] = now
}

// Floor returns the lowest term that may lead a service.
func (f *Fleet) MinTerm(service string) dfposition.Term {
	return f.terms[service].min
}

// LedTerm returns the newest term of a service that is known to have had a leader.
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

// mayLead reports whether the lead was not taken away from an upstream.
func (f *Fleet) mayLead(known *member) bool {
	return !f.requireTerm || known.term > 0 && known.term >= f.terms[known.upstream.Service].min
}

// MayLead reports whether the lead was not taken away from an upstream.
func (f *Fleet) MayLead(id ID) bool {
	known := f.members[id]
	return known != nil && f.mayLead(known)
}

// Claimants returns the upstreams of a service that say to lead in a term that is
// not known, or that was taken away.
func (f *Fleet) UnverifiedLeaders(now dfclock.Millis, service string) []Upstream {
	var claimants []Upstream
	for _, upstream := range f.ByService(service) {
		known := f.members[upstream.ID]
		if upstream.Primary && known.reportsLeader(now) && !f.mayLead(known) {
			claimants = append(claimants, upstream)
		}
	}
	return claimants
}

// Refuted records that an upstream denied to lead.
func (f *Fleet) RecordDenial(now dfclock.Millis, id ID) {
	if known := f.members[id]; known != nil {
		known.deniedAt = now
		known.leaderEvidenceAt = noEvidence
	}
}

// Find returns an upstream by its identity.
func (f *Fleet) Find(id ID) (Upstream, bool) {
	known := f.members[id]
	if known == nil {
		return Upstream{}, false
	}
	return known.upstream, true
}

// Of returns the upstreams of a service that may be used, by identity. Draining
// ones are included; the caller prefers others.
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

// All returns every entry that is still listed.
func (f *Fleet) Listed() []Upstream {
	upstreams := make([]Upstream, 0, len(f.members))
	for _, known := range f.members {
		if known.lapsedAt == dfclock.Never {
			upstreams = append(upstreams, known.upstream)
		}
	}
	return upstreams
}

// Leader returns the upstream that is believed to lead a service: the one with
// the newest evidence among those that did not deny it since.
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

// claims reports whether the upstream says to lead. An upstream that denied the
// lead is believed again after a while if its entry still claims it.
func (m *member) reportsLeader(now dfclock.Millis) bool {
	if now.Before(m.deniedAt.Add(DenialSpan)) {
		return false
	}
	return m.upstream.Primary || m.leaderEvidenceAt > noEvidence
}

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

// Departing reports whether an upstream drains, or vanished for so long that it
// does not come back.
func (f *Fleet) Leaving(now dfclock.Millis, id ID) bool {
	known := f.members[id]
	if known == nil {
		return true
	}
	return known.drainingAt != dfclock.Never ||
		known.lapsedAt != dfclock.Never && now.Reached(known.lapsedAt.Add(ReturnTimeout))
}

// LeavingSince returns when a host learned that an upstream is draining or has
// vanished, or Never.
func (f *Fleet) LeavingSince(id ID) dfclock.Millis {
	known := f.members[id]
	if known == nil {
		return 0
	}
	return min(known.drainingAt, known.lapsedAt)
}
