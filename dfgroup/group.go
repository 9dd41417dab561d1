// Package dfgroup describes one database group, a primary with its replicas, as one
// host knows it.
package dfgroup

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

// ID identifies a database group as "service/database".
type ID string

// UpstreamID identifies an upstream within the system.
type UpstreamID string

// Role is the role that an upstream reports.
type Role string

// Roles of upstreams.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Status is a status report of an upstream.
type Status struct {
	Upstream   UpstreamID
	DataCentre string
	Role       Role
	// Accepted is the highest term that the upstream has accepted. It never decreases.
	Accepted dfposition.Term
	// Actor is the initiator of the promotion that won the accepted term.
	Actor string
	// LogTerm is the term of the last log entry; LogTerm <= Accepted.
	LogTerm dfposition.Term
	// Flushed is the end of the log; Applied <= Flushed.
	Flushed dfposition.Offset
	Applied dfposition.Offset
	History dfposition.History
	// Following is empty unless the role is replica.
	Following UpstreamID
	// PrimarySilence is the time since a replica last heard from its primary. It is
	// negative on a primary.
	PrimarySilence dfclock.Millis
	Leaving        bool
	// Discarded is the log range "term:from-to" that the last follow truncated, or
	// empty.
	Discarded string
}

// Upstream is what a host knows of one upstream.
type Upstream struct {
	ID         UpstreamID
	DataCentre string
	Address    string
	// Status is the last report. It is meaningful only if ReportedAt is positive.
	Status Status
	// AskedAt is when the request for the last report was sent; AskedAt <= ReportedAt.
	AskedAt    dfclock.Millis
	ReportedAt dfclock.Millis
	// Leaving is set by the upstream's own report or the platform's host list.
	Leaving bool
	// Ejected is true while the upstream gets no ordinary requests.
	Ejected bool
}

// View is an immutable snapshot of a group. The With methods return changed copies.
type View struct {
	ID ID
	// Term is the highest term that the host has seen. It never decreases between
	// successive views of one group.
	Term dfposition.Term
	// Primary is empty while the primary of Term is not known.
	Primary UpstreamID
	// Upstreams has the configured upstreams in a fixed order. It is never modified.
	Upstreams []Upstream
}

// NewView returns a view of the configured upstreams without any report.
func NewView(id ID, upstreams []Upstream) View {
	return View{ID: id, Upstreams: append([]Upstream(nil), upstreams...)}
}

// Majority returns the number of upstreams that form a majority.
func (v View) Majority() int {
	return len(v.Upstreams)/2 + 1
}

// Find returns the upstream with the ID.
func (v View) Find(id UpstreamID) (Upstream, bool) {
	for _, upstream := range v.Upstreams {
		if upstream.ID == id {
			return upstream, true
		}
	}
	return Upstream{}, false
}

// WithStatus returns the view with a newer report of one upstream. A report that was
// requested before the current one is ignored.
func (v View) WithStatus(status Status, askedAt, reportedAt dfclock.Millis) View {
	next := v.clone()
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

// WithLeaving returns the view with Leaving of one upstream changed.
func (v View) WithLeaving(id UpstreamID, leaving bool) View {
	next := v.clone()
	for i := range next.Upstreams {
		if next.Upstreams[i].ID == id {
			next.Upstreams[i].Leaving = leaving
		}
	}
	return next
}

// WithEjected returns the view with Ejected of one upstream changed.
func (v View) WithEjected(id UpstreamID, ejected bool) View {
	next := v.clone()
	for i := range next.Upstreams {
		if next.Upstreams[i].ID == id {
			next.Upstreams[i].Ejected = ejected
		}
	}
	return next
}

// WithPrimary returns the view with the primary of a term. A term below the view's
// term is ignored.
func (v View) WithPrimary(term dfposition.Term, primary UpstreamID) View {
	if term < v.Term {
		return v
	}
	next := v.clone()
	next.Term = term
	next.Primary = primary
	return next
}

// Confirmed reports whether a majority that includes the primary has accepted the
// view's term, according to reports requested at or after since.
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

func (v View) clone() View {
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
