// Package dfgroup describes one database group, that is a primary with its
// replicas, as one host knows it.
package dfgroup

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

// ID names a database group: "service/database".
type ID string

// UpstreamID names an upstream within the system.
type UpstreamID string

// Role is what an upstream reports of itself.
type Role string

// Roles that an upstream reports.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Status is one report of an upstream.
type Status struct {
	Upstream   UpstreamID
	DataCentre string
	Role       Role
	// Accepted is the highest term that the upstream accepted; it never falls.
	Accepted dfposition.Term
	// Actor won the accepted term.
	Actor string
	// LogTerm is the term of the last log entry; LogTerm <= Accepted.
	LogTerm dfposition.Term
	// Flushed is the end of the log; Applied <= Flushed.
	Flushed dfposition.Offset
	Applied dfposition.Offset
	History dfposition.History
	// Following is empty unless the role is replica.
	Following UpstreamID
	// PrimarySilence is the span since a replica heard its primary; negative on a primary.
	PrimarySilence dfclock.Millis
	Leaving        bool
	// Discarded is "term:from-to" of a tail cut on the last follow, or empty.
	Discarded string
}

// Upstream is what a host knows of one upstream.
type Upstream struct {
	ID         UpstreamID
	DataCentre string
	Address    string
	// Status is the last report; it is meaningful only if ReportedAt is positive.
	Status Status
	// AskedAt is when the request for the last report was sent; AskedAt <= ReportedAt.
	AskedAt    dfclock.Millis
	ReportedAt dfclock.Millis
	// Leaving is the upstream's own report or the platform's host list.
	Leaving bool
	// Ejected is true while the upstream gets no ordinary work.
	Ejected bool
}

// View is an immutable snapshot of a group. Use the With methods to derive another.
type View struct {
	ID ID
	// Term is the highest term that the host has seen; it never falls between
	// successive views of one group.
	Term dfposition.Term
	// Primary is empty while the primary of Term is not known.
	Primary UpstreamID
	// Upstreams has the configured upstreams in a fixed order and is never modified.
	Upstreams []Upstream
}

// NewView returns a view of configured upstreams without any report.
func NewView(id ID, upstreams []Upstream) View {
	return View{ID: id, Upstreams: append([]Upstream(nil), upstreams...)}
}

// Majority returns the number of upstreams that form a majority.
func (v View) Majority() int {
	return len(v.Upstreams)/2 + 1
}

// Find returns the upstream with the identity.
func (v View) Find(id UpstreamID) (Upstream, bool) {
	for _, upstream := range v.Upstreams {
		if upstream.ID == id {
			return upstream, true
		}
	}
	return Upstream{}, false
}

// WithStatus returns the view with a newer report of one upstream. A report
// that was asked for earlier than the known one changes nothing.
func (v View) WithStatus(status Status, askedAt, reportedAt dfclock.Millis) View {
	next := v.copied()
	for i := range next.Upstreams {
		upstream := &next.Upstreams[i]
		if upstream.ID != status.Upstream {
			continue
		}
		if upstream.ReportedAt > 0 && askedAt < upstream.AskedAt {
			return v
		}
		upstream.Status = status
		upstream.AskedAt = askedAt
		upstream.ReportedAt = reportedAt
		upstream.Leaving = status.Leaving
	}
	return next.withTerm(status)
}

// WithLeaving returns the view with the leaving mark of one upstream set.
func (v View) WithLeaving(id UpstreamID, leaving bool) View {
	next := v.copied()
	for i := range next.Upstreams {
		if next.Upstreams[i].ID == id {
			next.Upstreams[i].Leaving = leaving
		}
	}
	return next
}

// WithEjected returns the view with the ejection mark of one upstream set.
func (v View) WithEjected(id UpstreamID, ejected bool) View {
	next := v.copied()
	for i := range next.Upstreams {
		if next.Upstreams[i].ID == id {
			next.Upstreams[i].Ejected = ejected
		}
	}
	return next
}

// WithPrimary returns the view with the primary of a term. A lower term than
// the known one changes nothing.
func (v View) WithPrimary(term dfposition.Term, primary UpstreamID) View {
	if term < v.Term {
		return v
	}
	next := v.copied()
	next.Term = term
	next.Primary = primary
	return next
}

// Confirmed reports whether a majority, the primary among it, accepted the
// view's term in reports that were asked for at or after the given instant.
func (v View) Confirmed(since dfclock.Millis) bool {
	count, primary := 0, false
	for _, upstream := range v.Upstreams {
		if upstream.ReportedAt == 0 || upstream.AskedAt < since || upstream.Status.Accepted != v.Term {
			continue
		}
		count++
		if upstream.ID == v.Primary && upstream.Status.Role == RolePrimary {
			primary = true
		}
	}
	return primary && count >= v.Majority()
}

func (v View) copied() View {
	v.Upstreams = append([]Upstream(nil), v.Upstreams...)
	return v
}

func (v View) withTerm(status Status) View {
	if status.Accepted > v.Term {
		v.Term = status.Accepted
		v.Primary = ""
	}
	if status.Role == RolePrimary && status.Accepted == v.Term {
		v.Primary = status.Upstream
	}
	return v
}
