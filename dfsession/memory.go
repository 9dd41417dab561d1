package dfsession

import "dragonflygrade/dfposition"

const none = int32(-1)

// entry is the last known position of one caller, linked by time of its last change.
type entry struct {
	caller       Caller
	position     dfposition.Position
	older, newer int32
}

// memory keeps the positions of the callers that wrote last.
type memory struct {
	// limit is at least 1; len(entries) <= limit.
	limit   int
	entries []entry
	index   map[Caller]int32
	oldest  int32
	newest  int32
	// dropped is at or above every position that was dropped.
	dropped dfposition.Position
}

func newMemory(limit int) memory {
	return memory{limit: max(1, limit), index: map[Caller]int32{}, oldest: none, newest: none}
}

// raise records a position; a lower one than the known position changes nothing.
func (m *memory) raise(caller Caller, position dfposition.Position) {
	at, found := m.index[caller]
	if found {
		if m.entries[at].position.Less(position) {
			m.entries[at].position = position
		}
		m.unlink(at)
		m.link(at)
		return
	}
	if len(m.entries) < m.limit {
		at = int32(len(m.entries))
		m.entries = append(m.entries, entry{})
	} else {
		at = m.drop()
	}
	// The caller may be one that was dropped, and the position a late
	// notification of an older write.
	position = position.Max(m.dropped)
	m.entries[at] = entry{caller: caller, position: position, older: none, newer: none}
	m.index[caller] = at
	m.link(at)
}

// drop removes the oldest caller and returns its place.
func (m *memory) drop() int32 {
	at := m.oldest
	gone := m.entries[at]
	m.dropped = m.dropped.Max(gone.position)
	m.unlink(at)
	delete(m.index, gone.caller)
	return at
}

// find returns the caller's position, or the highest dropped one.
func (m *memory) find(caller Caller) dfposition.Position {
	if at, found := m.index[caller]; found {
		return m.entries[at].position
	}
	return m.dropped
}

func (m *memory) link(at int32) {
	m.entries[at].older, m.entries[at].newer = m.newest, none
	if m.newest != none {
		m.entries[m.newest].newer = at
	} else {
		m.oldest = at
	}
	m.newest = at
}

func (m *memory) unlink(at int32) {
	item := m.entries[at]
	if item.older != none {
		m.entries[item.older].newer = item.newer
	} else {
		m.oldest = item.newer
	}
	if item.newer != none {
		m.entries[item.newer].older = item.older
	} else {
		m.newest = item.older
	}
}
