package dflease

import (
	"bytes"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

// handleRowsRead processes the result of a read: it records how long rows have
// been unchanged and reconciles the slots with their rows.
func (m *Manager) handleRowsRead(now dfclock.Millis, event RowsRead) []Action {
	found := make(map[string]dfplatform.Row, len(event.Rows))
	for _, row := range event.Rows {
		found[row.Key] = row
	}
	own := HostKey(m.settings.Host)
	m.ownVersionKnown = true
	if m.readingOwnRow {
		m.observations[own] = m.observations[own].updated(found[own], event.RequestedAt, now)
		return m.checkOwnRow(found[own])
	}
	rows := make(map[string]observation, len(m.requestedKeys))
	for key := range m.requestedKeys {
		rows[key] = m.observations[key].updated(found[key], event.RequestedAt, now)
	}
	m.observations = rows
	actions := m.checkOwnRow(found[own])
	for _, group := range m.groupIDs {
		actions = append(actions, m.reconcileGroup(group, event.RequestedAt)...)
	}
	m.nextReadAt = now.Add(m.readInterval())
	return actions
}

// updated returns the observation after a read of the row.
func (o observation) updated(row dfplatform.Row, requestedAt, now dfclock.Millis) observation {
	next := o
	next.row, next.requestedAt, next.readAt = row, requestedAt, now
	// A row that was deleted and created again may have the same version.
	same := row.Version == o.row.Version && bytes.Equal(row.Value, o.row.Value)
	if o.readAt == 0 || !same || requestedAt.Since(o.readAt) > maxReadGap {
		next.unchangedSince = now
	}
	if !same {
		next.slot, next.host = decodeRow(row)
	}
	return next
}

// decodeRow decodes a slot or host row. It returns zero values if the row is
// absent or malformed.
func decodeRow(row dfplatform.Row) (SlotRow, HostRow) {
	if row.Version == 0 {
		return SlotRow{}, HostRow{}
	}
	if _, _, slot, err := DecodeSlot(row); err == nil {
		return slot, HostRow{}
	}
	host, err := DecodeHost(row)
	if err != nil {
		return SlotRow{}, HostRow{}
	}
	return SlotRow{}, host
}

// expired reports whether the row has been observed unchanged for LeaseTTL.
func (o observation) expired() bool {
	return o.row.Version > 0 && o.requestedAt.Since(o.unchangedSince) >= LeaseTTL
}

// checkOwnRow detects that a new owner has deleted the own host row or another
// process has replaced it. All slots are lost then, and the host registers as a
// new incarnation, so that slot rows of the old one never become valid again.
func (m *Manager) checkOwnRow(row dfplatform.Row) []Action {
	if _, value := decodeRow(row); value.Incarnation == m.Incarnation() {
		// This includes a commit that took effect but whose answer was lost; the
		// next renewal sets validUntil.
		m.registered = true
		return nil
	}
	if !m.registered {
		return nil
	}
	m.registered = false
	m.generation++
	m.validUntil = 0
	var actions []Action
	for _, group := range m.groupIDs {
		if held, ok := m.slots[group]; ok {
			actions = append(actions, m.dropSlot(held, "another host took over after the lease lapsed"))
		}
	}
	return actions
}

// reconcileGroup updates the slot that the host owns in a group from the rows.
func (m *Manager) reconcileGroup(group dfgroup.ID, requestedAt dfclock.Millis) []Action {
	var actions []Action
	held, holding := m.slots[group]
	for index := range m.groups[group].Slots {
		row := m.slotRow(group, index)
		ours := row.Host == m.settings.Host && row.Incarnation == m.Incarnation() && m.registered
		switch {
		case holding && held.index == index && (!ours || row.Epoch != held.epoch):
			actions = append(actions, m.dropSlot(held, "the row names another owner"))
			holding = false
		case holding && held.index == index:
			if held.unconfirmed && requestedAt > held.unconfirmedSince {
				held.unconfirmed = false
			}
		case ours && !holding:
			held = newSlot(group, index, row)
			holding = true
			m.slots[group] = held
			actions = append(actions, Held{group, index, row.Epoch})
		}
	}
	return actions
}

func newSlot(group dfgroup.ID, index int, row SlotRow) *slot {
	earlier := SlotRow{Epoch: row.Epoch - 1, Cleared: row.Cleared}
	return &slot{
		group: group, index: index, epoch: row.Epoch, clearedEpoch: row.Cleared,
		earlierNames: earlierNames(group, index, earlier), lacksOwners: row.lacksOwners(),
		upstreams:   make(map[dfgroup.UpstreamID]clearingProgress),
		probeSentAt: make(map[dfgroup.UpstreamID]dfclock.Millis),
	}
}

// vacant reports whether a slot may be claimed: it was released or never claimed,
// its owner's incarnation has no host row, or the owner's lease has expired.
func (m *Manager) vacant(row SlotRow) bool {
	if row.Host == "" {
		return true
	}
	observed, ok := m.observations[HostKey(row.Host)]
	if !ok || observed.readAt == 0 {
		return false
	}
	if observed.row.Version == 0 {
		return true
	}
	if observed.host.Incarnation != row.Incarnation {
		return true
	}
	return row.Host != m.settings.Host && observed.expired()
}

// claimWrites returns the writes that claim one slot, the slot's row first. If the
// owner's lease has expired, its host row is deleted in the same commit: if the
// owner has renewed meanwhile the commit conflicts, and if it tries to renew later
// it detects the loss.
func (m *Manager) claimWrites(now dfclock.Millis) []dfplatform.Write {
	for _, group := range m.groupIDs {
		if _, holding := m.slots[group]; holding {
			continue
		}
		index, ok := m.chooseSlot(group, now)
		if !ok {
			continue
		}
		row := m.slotRow(group, index)
		next := SlotRow{
			Host: m.settings.Host, Incarnation: m.Incarnation(), Address: m.settings.Address,
			Epoch: nextEpoch(row.Epoch, m.era()), Cleared: row.Cleared,
		}
		writes := []dfplatform.Write{{
			Key: SlotKey(group, index), IfVersion: m.observations[SlotKey(group, index)].row.Version, Value: encode(next),
		}}
		holder := m.observations[HostKey(row.Host)]
		if row.Host != "" && row.Host != m.settings.Host && holder.expired() {
			writes = append(writes, dfplatform.Write{
				Key: HostKey(row.Host), IfVersion: holder.row.Version, Delete: true,
			})
		}
		return writes
	}
	return nil
}

// era returns the era of the table in which the own host row was read. A claim is
// committed together with that row, so it fails in a later one.
func (m *Manager) era() uint64 {
	return m.observations[HostKey(m.settings.Host)].row.Version.Era()
}

// chooseSlot returns the slot of a group that this host should claim now. With v
// vacant slots the first v candidates without a slot claim one each at once; each
// further candidate waits claimStagger longer than the one before it.
func (m *Manager) chooseSlot(group dfgroup.ID, now dfclock.Millis) (int, bool) {
	var vacancies []int
	holders := make(map[string]bool)
	for index := range m.groups[group].Slots {
		key := SlotKey(group, index)
		observed := m.observations[key]
		row := m.slotRow(group, index)
		malformed := observed.row.Version > 0 && row.Epoch == 0
		vacant := observed.readAt > 0 && !malformed && m.vacant(row)
		if vacant && !observed.vacant {
			observed.vacantSince = now
		}
		observed.vacant = vacant
		m.observations[key] = observed
		if vacant {
			vacancies = append(vacancies, index)
		} else {
			holders[row.Host] = true
		}
	}
	rank, ok := m.rank(group, holders)
	if !ok || len(vacancies) == 0 {
		return 0, false
	}
	if rank < len(vacancies) {
		return vacancies[rank], true
	}
	wait := dfclock.Millis(rank-len(vacancies)+1) * claimStagger
	since := m.observations[SlotKey(group, vacancies[0])].vacantSince
	return vacancies[0], now.Since(since) >= wait
}

// rank returns the rank of this host among the live candidates without a slot.
func (m *Manager) rank(group dfgroup.ID, holders map[string]bool) (int, bool) {
	rank := 0
	for _, candidate := range m.groups[group].Candidates {
		switch {
		case candidate == m.settings.Host:
			return rank, true
		case !holders[candidate] && m.live[candidate]:
			rank++
		}
	}
	return 0, false
}

// readInterval returns the time to the next read. It is short while this host may
// have to claim a slot, and zero if the last read does not cover a new group, a
// new owner or an unconfirmed slot.
func (m *Manager) readInterval() dfclock.Millis {
	interval := m.idleInterval()
	for _, group := range m.groupIDs {
		if !m.requestedKeys[SlotKey(group, 0)] {
			return 0
		}
		if held, holding := m.slots[group]; holding {
			if held.unconfirmed {
				return 0
			}
			continue
		}
		if _, ok := m.rank(group, nil); !ok {
			continue
		}
		for index := range m.groups[group].Slots {
			row := m.slotRow(group, index)
			if row.Host != "" && !m.requestedKeys[HostKey(row.Host)] {
				return 0
			}
			if m.vacant(row) || !m.live[row.Host] {
				interval = min(interval, watchReadInterval)
			}
		}
	}
	return interval
}

// idleInterval returns the time between reads while no slot is vacant. It grows
// with the number of hosts and of calls per read.
func (m *Manager) idleInterval() dfclock.Millis {
	interval := dfclock.Millis(len(m.live)*m.readCalls) * dfclock.Second / idleReadsPerSecond
	return min(max(interval, minIdleReadInterval), maxIdleReadInterval)
}

// clearedWrites returns the writes that record in the slot rows that earlier
// owners have no connections left.
func (m *Manager) clearedWrites() []dfplatform.Write {
	var writes []dfplatform.Write
	for _, group := range m.groupIDs {
		held, ok := m.slots[group]
		if !ok {
			continue
		}
		all, _ := held.clearedUpstreams(m.groups[group].Upstreams)
		row := m.slotRow(group, held.index)
		if !all || row.Cleared+1 >= held.epoch || row.Epoch != held.epoch {
			continue
		}
		row.Cleared = held.epoch - 1
		writes = append(writes, m.slotWrite(group, held.index, row))
	}
	return writes
}

func (m *Manager) slotWrite(group dfgroup.ID, index int, row SlotRow) dfplatform.Write {
	key := SlotKey(group, index)
	return dfplatform.Write{Key: key, IfVersion: m.observations[key].row.Version, Value: encode(row)}
}

// releaseWrites returns the writes that release all slots and the lease.
func (m *Manager) releaseWrites() []dfplatform.Write {
	var writes []dfplatform.Write
	for _, group := range m.groupIDs {
		held, ok := m.slots[group]
		if !ok {
			continue
		}
		row := SlotRow{Epoch: held.epoch, Cleared: held.clearedEpoch}
		if all, _ := held.clearedUpstreams(m.groups[group].Upstreams); all {
			row.Cleared = held.epoch
		}
		writes = append(writes, m.slotWrite(group, held.index, row))
	}
	own := HostKey(m.settings.Host)
	if version := m.observations[own].row.Version; m.registered && version > 0 {
		writes = append(writes, dfplatform.Write{Key: own, IfVersion: version, Delete: true})
	}
	return writes
}
