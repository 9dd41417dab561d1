// Package dfroster decides which hosts count for a majority. The host table of the
// platform's store has a row for each host; a host that stops as planned removes its own.
// A host that nobody hears is reported in its row, and the row is removed if nobody has
// objected within RemovalDelay. Every step is a write under the condition that the row has
// not changed, so two parts of a divided fleet cannot both remove the other.
package dfroster

import (
	"maps"
	"slices"
	"strings"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfrevision"
)

const (
	// Validity is how long after the store last confirmed the list a host may count a
	// majority of it while some of its hosts are not in contact. Those could have
	// reported the others as missing since.
	Validity = 7500 * dfclock.Millisecond
	// RemovalDelay is how long a host stays reported as missing before its row is
	// removed. It exceeds Validity by the 2 s for which an owner of limits relies on an
	// earlier majority (dfquota.QuorumTTL), and by the time for which its grants are used.
	RemovalDelay = Validity + 2500*dfclock.Millisecond
	// reportPause is how long a host whose report was withdrawn is not reported again. It
	// bounds the writes about a host that only some reach.
	reportPause = 2 * dfclock.Second
	// objectionDelay is how long a host that is reported itself leaves it to a speaker to
	// withdraw the report, which does so for all hosts at once.
	objectionDelay = 600 * dfclock.Millisecond
	// restoredSpan is how long hosts are kept that are not in the first list of an era of
	// the store. Their rows were lost with the store's content, and they write them again.
	restoredSpan = 5 * dfclock.Second
	// maxRows bounds the rows that are written in one transaction.
	maxRows = 40
)

// unset is a time before any other, for events that have not happened.
const unset dfclock.Millis = -1

// Entry is the row of one host. It is never modified.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Host dfmember.Host
	// MissedBy is the ID of the host that reported this one as missing, or empty.
	MissedBy string
	// Version is the revision of the row.
	Version dfrevision.Revision
}

// WithMissedBy returns the entry with a host that misses it, or with none.
func (e Entry) WithMissedBy(id string) Entry {
	e.MissedBy = id
	return e
}

// Presence is what a host knows of the contact with another.
type Presence int

const (
	// Unknown means that neither is certain.
	Unknown Presence = iota
	// Present means that the other host was in contact with this one or with a host that
	// told this one.
	Present
	// Missing means that this host would know of a contact, and there was none.
	Missing
)

// PresenceFunc returns what this host knows of the contact with another.
type PresenceFunc func(host dfmember.Host) Presence

// Action is what a host has to do about the table.
type Action interface{ isAction() }

// Join writes the row of this host, which is not in the table or reported as missing.
type Join struct{}

// Rewrite writes the entries if their rows have not changed.
type Rewrite struct{ Entries []Entry }

// Remove removes the rows of the entries if they have not changed.
type Remove struct{ Entries []Entry }

func (Join) isAction()    {}
func (Rewrite) isAction() {}
func (Remove) isAction()  {}

// member is a host of the table.
type member struct {
	entry Entry
	// seenAt is when this host first saw the version of the entry.
	seenAt dfclock.Millis
	// withdrawnAt is when a report that the host is missing was last withdrawn, or unset.
	withdrawnAt dfclock.Millis
	// restoredUntil is until when the host counts although a restored store lacks it, or
	// unset.
	restoredUntil dfclock.Millis
}

func (m *member) isReported() bool { return m.entry.MissedBy != "" }

// Roster is one host's view of the host table. It is not safe for concurrent use.
type Roster struct {
	self dfmember.Host
	// members are the hosts that count, by ID.
	members map[string]*member
	// asOf is the newest revision of the store at which the table was known to have
	// members. It is never below changed. Zero means that the table is not known.
	asOf dfrevision.Revision
	// changed is the revision of the newest change, or of the read of the whole table that
	// may have contained a later one.
	changed dfrevision.Revision
	// confirmedAt is the latest time at which the table was known to have members, or
	// unset.
	confirmedAt dfclock.Millis
	// joinedAt is when this host was first seen in the table without interruption, or
	// unset.
	joinedAt dfclock.Millis
}

// New returns the roster of a host that does not know the table yet.
func New(self dfmember.Host) *Roster {
	return &Roster{self: self, members: map[string]*member{}, confirmedAt: unset, joinedAt: unset}
}

// Known reports whether the table is known.
func (r *Roster) Known() bool { return r.asOf > 0 }

// AsOf returns the newest revision of the store that the roster reflects.
func (r *Roster) AsOf() dfrevision.Revision { return r.asOf }

// ConfirmedAt returns the latest time at which the roster was known to be current, or a
// negative value.
func (r *Roster) ConfirmedAt() dfclock.Millis { return r.confirmedAt }

// JoinedAt returns since when this host is in the table, or a negative value.
func (r *Roster) JoinedAt() dfclock.Millis { return r.joinedAt }

// Lists reports whether the table has a host, at the address that it has.
func (r *Roster) Lists(host dfmember.Host) bool {
	known := r.members[host.ID]
	return known != nil && known.entry.Host.Address == host.Address
}

// SeenAt returns when this host first saw the current row of a host, or a negative value.
// A row that reports no missing host shows that the host was there when it was written.
func (r *Roster) SeenAt(id string) dfclock.Millis {
	if known := r.members[id]; known != nil && !known.isReported() {
		return known.seenAt
	}
	return unset
}

// Hosts returns the hosts in the order of their IDs.
func (r *Roster) Hosts() []dfmember.Host {
	hosts := make([]dfmember.Host, 0, len(r.members))
	for _, known := range r.sorted() {
		hosts = append(hosts, known.entry.Host)
	}
	return hosts
}

// EntriesFor returns the entries, in the order of their IDs, for a host whose roster is
// from a revision, or none if that one has them already. It leaves out those that a restored
// store lacks: a host that knew them keeps them for restoredSpan by itself.
func (r *Roster) EntriesFor(asOf dfrevision.Revision) []Entry {
	if r.changed <= asOf {
		return nil
	}
	entries := make([]Entry, 0, len(r.members))
	for _, known := range r.sorted() {
		if known.restoredUntil == unset {
			entries = append(entries, known.entry)
		}
	}
	return entries
}

func (r *Roster) sorted() []*member {
	return slices.SortedFunc(maps.Values(r.members), func(a, b *member) int { return strings.Compare(a.entry.Host.ID, b.entry.Host.ID) })
}

// Replace adopts the whole table as of a revision of the store, unless a later one is
// known.
func (r *Roster) Replace(now dfclock.Millis, entries []Entry, asOf dfrevision.Revision) {
	if asOf <= r.asOf {
		return
	}
	restored := r.asOf > 0 && asOf.Era() > r.asOf.Era()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Host.ID] = true
		r.put(now, entry)
	}
	for id, known := range r.members {
		switch {
		case listed[id] || known.restoredUntil != unset:
		case restored:
			known.entry, known.restoredUntil = known.entry.WithMissedBy(""), now.Add(restoredSpan)
		default:
			delete(r.members, id)
		}
	}
	r.asOf, r.changed = asOf, asOf
	r.update(now)
}

// Apply adopts the changes of the table up to a revision of the store. A removed host is
// an entry without an address.
func (r *Roster) Apply(now dfclock.Millis, changes []Entry, asOf dfrevision.Revision) {
	for _, entry := range changes {
		if entry.Version <= r.asOf {
			continue
		}
		r.changed = max(r.changed, entry.Version)
		if entry.Host.Address == "" {
			delete(r.members, entry.Host.ID)
		} else {
			r.put(now, entry)
		}
	}
	r.asOf = max(r.asOf, asOf)
	r.update(now)
}

func (r *Roster) put(now dfclock.Millis, entry Entry) {
	next := &member{entry: entry, seenAt: now, withdrawnAt: unset, restoredUntil: unset}
	if known := r.members[entry.Host.ID]; known != nil {
		next.withdrawnAt = known.withdrawnAt
		switch {
		case known.entry.Version == entry.Version:
			next.seenAt = known.seenAt
		case known.isReported() && !next.isReported():
			next.withdrawnAt = now
		}
	}
	r.members[entry.Host.ID] = next
}

// update refreshes what follows from the members and the time.
func (r *Roster) update(now dfclock.Millis) {
	for id, known := range r.members {
		if known.restoredUntil != unset && now.Reached(known.restoredUntil) {
			delete(r.members, id)
		}
	}
	switch {
	case !r.Lists(r.self):
		r.joinedAt = unset
	case r.joinedAt == unset:
		r.joinedAt = now
	}
}

// Confirm records that the table, as of a revision of the store that was current at a
// time, had no changes that the roster lacks. It does not count while the table reports a
// host as missing that is present: whoever reported it may remove it.
func (r *Roster) Confirm(asOf dfrevision.Revision, at dfclock.Millis, presence PresenceFunc) {
	if asOf < r.changed || !r.Known() {
		return
	}
	r.asOf = max(r.asOf, asOf)
	for id, known := range r.members {
		if known.isReported() && (id == r.self.ID || presence(known.entry.Host) == Present) {
			return
		}
	}
	r.confirmedAt = max(r.confirmedAt, at)
}

// Step returns what this host has to do about the table, or nil. Only hosts that follow
// the table judge others.
func (r *Roster) Step(now dfclock.Millis, judges bool, presence PresenceFunc) Action {
	if !r.Known() {
		return nil
	}
	r.update(now)
	self := r.members[r.self.ID]
	if !r.Lists(r.self) || self.isReported() && now-self.seenAt >= objectionDelay {
		return Join{}
	}
	if !judges {
		return nil
	}
	var rewritten, removed []Entry
	for _, known := range r.sorted() {
		if known.entry.Host.ID == r.self.ID || known.restoredUntil != unset {
			continue
		}
		switch seen := presence(known.entry.Host); {
		case known.isReported() && seen == Present:
			rewritten = append(rewritten, known.entry.WithMissedBy(""))
		case known.isReported() && seen == Missing && now-known.seenAt >= RemovalDelay:
			removed = append(removed, known.entry)
		case !known.isReported() && seen == Missing && (known.withdrawnAt == unset || now-known.withdrawnAt >= reportPause):
			rewritten = append(rewritten, known.entry.WithMissedBy(r.self.ID))
		}
	}
	switch {
	case len(rewritten) > 0:
		return Rewrite{rewritten[:min(maxRows, len(rewritten))]}
	case len(removed) > 0:
		return Remove{removed[:min(maxRows, len(removed))]}
	}
	return nil
}

// MajorityAt returns the latest time as of which this host may count on a majority of the
// table, or a negative value. heardAt returns the time of the last contact with another
// host, or a negative value. Hosts that are reported as missing do not help: they may have
// been removed. Where some hosts are not in contact, the table has to be confirmed: they may
// have removed the others.
func (r *Roster) MajorityAt(now dfclock.Millis, heardAt func(dfmember.Host) dfclock.Millis) dfclock.Millis {
	times := make([]dfclock.Millis, 0, len(r.members))
	for id, known := range r.members {
		if known.isReported() {
			continue
		}
		at := now
		if id != r.self.ID {
			at = heardAt(known.entry.Host)
		}
		if at >= 0 {
			times = append(times, at)
		}
	}
	majority := len(r.members)/2 + 1
	if len(times) < majority {
		return unset
	}
	slices.Sort(times)
	limit := unset
	if len(times) == len(r.members) {
		limit = times[0]
	}
	if r.confirmedAt != unset {
		limit = max(limit, r.confirmedAt.Add(Validity))
	}
	return min(times[len(times)-majority], limit)
}
