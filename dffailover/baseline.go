package dffailover

import "dragonflygrade/dfclock"

// The fixed time-out and the table lease below are baselines for measurements.
// Hosts do not use them.

const (
	// FixedTimeout is the silence after which the baseline declares a primary dead.
	FixedTimeout = 5 * dfclock.Second
	// TableLeaseTTL is the duration of a promotion lease in the platform's table.
	TableLeaseTTL = 10 * dfclock.Second
	// TableLeaseRenewal separates renewals. Two of them may fail within the TTL.
	TableLeaseRenewal = 3 * dfclock.Second
)

// TableLeaseRow is the lease row of a group as read from the table.
type TableLeaseRow struct {
	Holder  string
	Version uint64
}

// TableLease grants promotions by a lease in the platform's table alone. An actor
// may change the primary while it holds the lease row, and takes the row over
// once it has not changed for the TTL.
type TableLease struct {
	actor string
	row   TableLeaseRow
	// rowSince is when the row was first read with its current content; zero before
	// the first read.
	rowSince dfclock.Millis
	// expiresAt is the end of this actor's lease, counted from when the write was
	// sent.
	expiresAt dfclock.Millis
}

// NewTableLease returns the lease of an actor that has not read the row yet.
func NewTableLease(actor string) *TableLease {
	return &TableLease{actor: actor}
}

// ObserveRow stores the row as read from the table.
func (l *TableLease) ObserveRow(now dfclock.Millis, row TableLeaseRow) {
	if l.rowSince == 0 || row != l.row {
		l.row = row
		l.rowSince = now
	}
}

// DueWrite returns the row for a conditional write if the lease is to be renewed
// or taken. A holder that sees no healthy primary still renews, because it is the
// one that promotes.
func (l *TableLease) DueWrite(now dfclock.Millis) (TableLeaseRow, bool) {
	next := TableLeaseRow{Holder: l.actor, Version: l.row.Version + 1}
	switch {
	case l.rowSince == 0:
		return TableLeaseRow{}, false
	case l.row.Holder == l.actor:
		return next, now.Reached(l.rowSince.Add(TableLeaseRenewal))
	case l.row.Holder == "":
		return next, true
	}
	return next, now.Reached(l.rowSince.Add(TableLeaseTTL))
}

// ConfirmWrite starts the lease at sentAt after a successful conditional write.
func (l *TableLease) ConfirmWrite(sentAt dfclock.Millis, row TableLeaseRow) {
	l.row = row
	l.rowSince = sentAt
	l.expiresAt = sentAt.Add(TableLeaseTTL)
}

// HoldsLease reports whether the actor holds the lease and may change the primary.
func (l *TableLease) HoldsLease(now dfclock.Millis) bool {
	return now < l.expiresAt
}
