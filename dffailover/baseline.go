package dffailover

import "dragonflygrade/dfclock"

// The two plain rules below are baselines for measurement. Hosts don't use them.

const (
	// FixedTimeout is the silence after which the plain rule calls a primary dead.
	FixedTimeout = 5 * dfclock.Second
	// TableLeaseTTL is the life of the leader's lease in the platform's table.
	TableLeaseTTL = 10 * dfclock.Second
	// TableLeaseRenewal separates renewals; two may fail within the TTL.
	TableLeaseRenewal = 3 * dfclock.Second
)

// TableRow is the lease row of a group as read from the table.
type TableRow struct {
	Holder  string
	Version uint64
}

// TableRule decides promotion through the table only: an actor may change the
// primary while it holds the row, and takes the row after it stayed unchanged
// for the TTL.
type TableRule struct {
	actor string
	row   TableRow
	// since is when the row was first read as it is now; zero before the first read.
	since dfclock.Millis
	// until is the end of the own lease, counted from before the request.
	until dfclock.Millis
}

// NewTableRule returns a rule that has read nothing.
func NewTableRule(actor string) *TableRule {
	return &TableRule{actor: actor}
}

// Read takes the row as read now.
func (r *TableRule) Read(now dfclock.Millis, row TableRow) {
	if r.since == 0 || row != r.row {
		r.row = row
		r.since = now
	}
}

// Wants returns the row to write by a conditional write, if the lease is due.
// A holder that sees no healthy primary still renews: it leads the change.
func (r *TableRule) Wants(now dfclock.Millis) (TableRow, bool) {
	next := TableRow{Holder: r.actor, Version: r.row.Version + 1}
	switch {
	case r.since == 0:
		return TableRow{}, false
	case r.row.Holder == r.actor:
		return next, now.Reached(r.since.Add(TableLeaseRenewal))
	case r.row.Holder == "":
		return next, true
	}
	return next, now.Reached(r.since.Add(TableLeaseTTL))
}

// Wrote takes the success of a conditional write that was sent at an instant.
func (r *TableRule) Wrote(sentAt dfclock.Millis, row TableRow) {
	r.row = row
	r.since = sentAt
	r.until = sentAt.Add(TableLeaseTTL)
}

// Holds reports whether this actor may change the primary.
func (r *TableRule) Holds(now dfclock.Millis) bool {
	return now < r.until
}
