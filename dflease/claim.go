package dflease

import (
	"bytes"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

// read takes the answer of a read: it notes how long rows stand unchanged and
// compares the slots with their rows.
func (k *Keeper) read(now dfclock.Millis, event RowsRead) []Action {
	found := make(map[string]dfplatform.Row, len(event.Rows))
	for _, row := range event.Rows {
		found[row.Key] = row
	}
	own := HostKey(k.settings.Host)
	k.ownKnown = true
	if k.readingOwn {
		k.rows[own] = k.rows[own].with(found[own], event.AskedAt, now)
		return k.superseded(found[own])
	}
	rows := make(map[string]sighting, len(k.asked))
	for key := range k.asked {
		rows[key] = k.rows[key].with(found[key], event.AskedAt, now)
	}
	k.rows = rows
	actions := k.superseded(found[own])
	for _, group := range k.order {
		actions = append(actions, k.compare(group, event.AskedAt)...)
	}
	k.readAt = now.Add(k.readInterval())
	return actions
}

// with returns the sighting after a read.
func (s sighting) with(row dfplatform.Row, askedAt, now dfclock.Millis) sighting {
	next := s
	next.row, next.askedAt, next.readAt = row, askedAt, now
	// A row that was deleted and written again may have the same version.
	same := row.Version == s.row.Version && bytes.Equal(row.Value, s.row.Value)
	if s.readAt == 0 || !same || askedAt.Since(s.readAt) > maxReadGap {
		next.since = now
	}
	if !same {
		next.slot, next.host = decoded(row)
	}
	return next
}

// decoded returns the value of a row of either kind, zero if it is malformed.
func decoded(row dfplatform.Row) (SlotRow, HostRow) {
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

// lapsed reports whether reads have shown the row unchanged for a whole TTL.
func (s sighting) lapsed() bool {
	return s.row.Version > 0 && s.askedAt.Since(s.since) >= LeaseTTL
}

// superseded notices that a taker removed or another process replaced the own
// host row. All slots are lost then, and the host joins again as a new
// incarnation, so that rows of the old one never come back to life.
func (k *Keeper) superseded(row dfplatform.Row) []Action {
	if _, value := decoded(row); value.Incarnation == k.Incarnation() {
		// A commit whose answer was lost took effect; the next renewal dates it.
		k.joined = true
		return nil
	}
	if !k.joined {
		return nil
	}
	k.joined = false
	k.generation++
	k.validUntil = 0
	var actions []Action
	for _, group := range k.order {
		if held, ok := k.slots[group]; ok {
			actions = append(actions, k.lose(held, "another host took over after the lease lapsed"))
		}
	}
	return actions
}

// compare compares the slot that the host holds in a group with the rows.
func (k *Keeper) compare(group dfgroup.ID, askedAt dfclock.Millis) []Action {
	var actions []Action
	held, holding := k.slots[group]
	for index := range k.wants[group].Slots {
		row := k.slotRow(group, index)
		ours := row.Host == k.settings.Host && row.Incarnation == k.Incarnation() && k.joined
		switch {
		case holding && held.index == index && (!ours || row.Epoch != held.epoch):
			actions = append(actions, k.lose(held, "the row names another owner"))
			holding = false
		case holding && held.index == index:
			if held.doubted && askedAt > held.doubtedAt {
				held.doubted = false
			}
		case ours && !holding:
			held = newSlot(group, index, row)
			holding = true
			k.slots[group] = held
			actions = append(actions, Held{group, index, row.Epoch})
		}
	}
	return actions
}

func newSlot(group dfgroup.ID, index int, row SlotRow) *slot {
	earlier := SlotRow{Epoch: row.Epoch - 1, Cleared: row.Cleared}
	return &slot{
		group: group, index: index, epoch: row.Epoch, base: row.Cleared,
		names:     earlierNames(group, index, earlier),
		upstreams: make(map[dfgroup.UpstreamID]clearing),
		proofs:    make(map[dfgroup.UpstreamID]dfclock.Millis),
	}
}

// vacant reports whether a slot may be claimed: it was released or never held,
// its holder's incarnation has no host row, or that row has lapsed.
func (k *Keeper) vacant(row SlotRow) bool {
	if row.Host == "" {
		return true
	}
	seen, ok := k.rows[HostKey(row.Host)]
	if !ok || seen.readAt == 0 {
		return false
	}
	if seen.row.Version == 0 {
		return true
	}
	if seen.host.Incarnation != row.Incarnation {
		return true
	}
	return row.Host != k.settings.Host && seen.lapsed()
}

// claim returns the writes that claim one slot, the slot's row first. The host
// row of a lapsed holder is deleted in the same commit: if the holder renewed
// meanwhile the commit conflicts, and if it renews later it learns of its loss.
func (k *Keeper) claim(now dfclock.Millis) []dfplatform.Write {
	for _, group := range k.order {
		if _, holding := k.slots[group]; holding {
			continue
		}
		index, ok := k.choose(group, now)
		if !ok {
			continue
		}
		row := k.slotRow(group, index)
		next := SlotRow{
			Host: k.settings.Host, Incarnation: k.Incarnation(), Address: k.settings.Address,
			Epoch: row.Epoch + 1, Cleared: row.Cleared,
		}
		writes := []dfplatform.Write{{
			Key: SlotKey(group, index), IfVersion: k.rows[SlotKey(group, index)].row.Version, Value: encode(next),
		}}
		holder := k.rows[HostKey(row.Host)]
		if row.Host != "" && row.Host != k.settings.Host && holder.lapsed() {
			writes = append(writes, dfplatform.Write{
				Key: HostKey(row.Host), IfVersion: holder.row.Version, Delete: true,
			})
		}
		return writes
	}
	return nil
}

// choose returns the slot of a group that this host should claim now. With v
// vacant slots the first v candidates without a slot take one each at once;
// each further candidate waits longer.
func (k *Keeper) choose(group dfgroup.ID, now dfclock.Millis) (int, bool) {
	var vacancies []int
	holders := make(map[string]bool)
	for index := range k.wants[group].Slots {
		key := SlotKey(group, index)
		seen := k.rows[key]
		row := k.slotRow(group, index)
		malformed := seen.row.Version > 0 && row.Epoch == 0
		vacant := seen.readAt > 0 && !malformed && k.vacant(row)
		if vacant && !seen.vacant {
			seen.vacantSince = now
		}
		seen.vacant = vacant
		k.rows[key] = seen
		if vacant {
			vacancies = append(vacancies, index)
		} else {
			holders[row.Host] = true
		}
	}
	rank, ok := k.rank(group, holders)
	if !ok || len(vacancies) == 0 {
		return 0, false
	}
	if rank < len(vacancies) {
		return vacancies[rank], true
	}
	wait := dfclock.Millis(rank-len(vacancies)+1) * stagger
	since := k.rows[SlotKey(group, vacancies[0])].vacantSince
	return vacancies[0], now.Since(since) >= wait
}

// rank returns the place of this host among the live candidates without a slot.
func (k *Keeper) rank(group dfgroup.ID, holders map[string]bool) (int, bool) {
	rank := 0
	for _, candidate := range k.wants[group].Candidates {
		switch {
		case candidate == k.settings.Host:
			return rank, true
		case !holders[candidate] && k.live[candidate]:
			rank++
		}
	}
	return 0, false
}

// readInterval returns the span to the next read. Rows are watched closely
// while this host may have to claim a slot, and at once if something came up
// that the last read was asked too early for.
func (k *Keeper) readInterval() dfclock.Millis {
	interval := k.idleInterval()
	for _, group := range k.order {
		if !k.asked[SlotKey(group, 0)] {
			return 0
		}
		if held, holding := k.slots[group]; holding {
			if held.doubted {
				return 0
			}
			continue
		}
		if _, ok := k.rank(group, nil); !ok {
			continue
		}
		for index := range k.wants[group].Slots {
			row := k.slotRow(group, index)
			if row.Host != "" && !k.asked[HostKey(row.Host)] {
				return 0
			}
			if k.vacant(row) || !k.live[row.Host] {
				interval = min(interval, watchRead)
			}
		}
	}
	return interval
}

// idleInterval returns the span between reads while nothing is vacant. It grows
// with the number of hosts and with what each reads.
func (k *Keeper) idleInterval() dfclock.Millis {
	interval := dfclock.Millis(len(k.live)*k.calls) * dfclock.Second / idleReads
	return min(max(interval, minIdleRead), maxIdleRead)
}

// clearedRows returns the writes that note in the slot rows that no earlier
// owner has connections left.
func (k *Keeper) clearedRows() []dfplatform.Write {
	var writes []dfplatform.Write
	for _, group := range k.order {
		held, ok := k.slots[group]
		if !ok {
			continue
		}
		all, _ := held.clear(k.wants[group].Upstreams)
		row := k.slotRow(group, held.index)
		if !all || row.Cleared+1 >= held.epoch || row.Epoch != held.epoch {
			continue
		}
		row.Cleared = held.epoch - 1
		writes = append(writes, k.slotWrite(group, held.index, row))
	}
	return writes
}

func (k *Keeper) slotWrite(group dfgroup.ID, index int, row SlotRow) dfplatform.Write {
	key := SlotKey(group, index)
	return dfplatform.Write{Key: key, IfVersion: k.rows[key].row.Version, Value: encode(row)}
}

// release returns the writes that give back all slots and the lease.
func (k *Keeper) release() []dfplatform.Write {
	var writes []dfplatform.Write
	for _, group := range k.order {
		held, ok := k.slots[group]
		if !ok {
			continue
		}
		row := SlotRow{Epoch: held.epoch, Cleared: held.base}
		if all, _ := held.clear(k.wants[group].Upstreams); all {
			row.Cleared = held.epoch
		}
		writes = append(writes, k.slotWrite(group, held.index, row))
	}
	own := HostKey(k.settings.Host)
	if version := k.rows[own].row.Version; k.joined && version > 0 {
		writes = append(writes, dfplatform.Write{Key: own, IfVersion: version, Delete: true})
	}
	return writes
}
