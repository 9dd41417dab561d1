package dfhost

import (
	"context"
	"sort"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dflease"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
)

// Spans of the reading of slot rows beside the keeper's own reads.
const (
	rowsTick = 200 * dfclock.Millisecond
	// rowsSpan is the least age at which the rows of a database in use are read
	// again although no holder refused, and rowsShare the span for each such
	// database: 2,000 hosts make at most 400 reads/s by it.
	rowsSpan  = 10 * dfclock.Second
	rowsShare = 5 * dfclock.Second
	// vacantSpan replaces it while the host holds one slot and another is
	// vacant; position leases need rows younger than dfsession.MembershipMaxAge.
	vacantSpan = 2 * dfclock.Second
	// doubtSpan replaces it after a holder refused or could not be reached.
	doubtSpan = 500 * dfclock.Millisecond
	// rowsTimeout bounds one read.
	rowsTimeout = time.Second
)

// groupRows is what a host knows of the slots of one database.
type groupRows struct {
	// rows are the held slots by index; the slice is never modified.
	rows []slotRow
	// readAt is when the rows were asked for.
	readAt dfclock.Millis
	// triedAt is when the last read began, whether it succeeded or not.
	triedAt dfclock.Millis
	// doubted is set when a holder refused; the next read clears it.
	doubted bool
	// used is set once a request needed the rows.
	used bool
}

// runRows reads the rows of the databases that requests need.
func (s *slots) runRows(ctx context.Context) {
	for {
		s.readDue(ctx)
		if !sleep(ctx, rowsTick) {
			return
		}
	}
}

func (s *slots) readDue(ctx context.Context) {
	for _, group := range s.due() {
		readAt := s.host.now()
		listCtx, cancel := context.WithTimeout(ctx, rowsTimeout)
		rows, err := s.host.settings.Platform.List(listCtx, dflease.SlotPrefix(group))
		cancel()
		if err == nil {
			s.learn(group, s.decoded(rows), readAt)
			continue
		}
		s.askPeer(ctx)
		return
	}
}

// due returns the groups whose rows are to be read now.
func (s *slots) due() []dfgroup.ID {
	now := s.host.now()
	snapshot := s.host.configuration()
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []dfgroup.ID
	idle := max(rowsSpan, dfclock.Millis(len(s.known))*rowsShare)
	for _, group := range snapshot.Groups() {
		known := s.known[group]
		_, holds := s.holders[group]
		if !holds && !known.used {
			continue
		}
		database, _ := snapshot.Database(group)
		span := idle
		if holds && len(known.rows) < database.Slots {
			span = vacantSpan
		}
		if known.doubted || len(known.rows) == 0 {
			span = doubtSpan
		}
		if known.triedAt > 0 && now.Since(known.triedAt) < span {
			continue
		}
		known.triedAt = now
		s.known[group] = known
		due = append(due, group)
	}
	return due
}

// decoded returns the held slots among rows, by index.
func (s *slots) decoded(rows []dfplatform.Row) []slotRow {
	var held []slotRow
	for _, row := range rows {
		group, index, value, err := dflease.DecodeSlot(row)
		if err != nil || value.Host == "" {
			continue
		}
		held = append(held, s.located(slotRow{
			Group: group, Index: index, Host: value.Host, Incarnation: value.Incarnation,
			Address: value.Address, Epoch: value.Epoch,
		}))
	}
	sort.Slice(held, func(i, j int) bool { return held[i].Index < held[j].Index })
	return held
}

// located adds the data centre, which the row does not have.
func (s *slots) located(row slotRow) slotRow {
	if host, found := s.host.members.find(row.Host); found {
		row.DataCentre = host.DataCentre
	}
	return row
}

// takeRows learns from what the keeper has read.
func (s *slots) takeRows(read dflease.RowsRead) {
	byGroup := make(map[dfgroup.ID][]dfplatform.Row)
	for _, row := range read.Rows {
		if group, _, _, err := dflease.DecodeSlot(row); err == nil {
			byGroup[group] = append(byGroup[group], row)
		}
	}
	// The keeper's clock may differ from the host's, so the age is carried over.
	readAt := s.host.now().Add(-s.keeper.now().Since(read.RequestedAt))
	for group, rows := range byGroup {
		s.learn(group, s.decoded(rows), readAt)
	}
}

// askPeer learns rows from a peer while the table does not answer.
func (s *slots) askPeer(ctx context.Context) {
	address, found := s.host.members.anyPeer()
	if !found {
		return
	}
	peer, err := s.host.directory.Peer(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	reply, err := peer.Client().Slots(ctx, &dfproto.SlotsRequest{})
	if err != nil {
		return
	}
	for _, row := range reply.Rows {
		s.merge(s.located(slotRow{
			Group: dfgroup.ID(row.Group), Index: int(row.Index), Host: row.Host,
			Incarnation: row.Incarnation, Epoch: row.Epoch, Address: row.Address,
		}))
	}
}

// merge takes a row of a peer if its epoch is newer. Position leases do not
// rest on it, because its age is not known.
func (s *slots) merge(row slotRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.known[row.Group]
	rows := make([]slotRow, 0, len(known.rows)+1)
	for _, present := range known.rows {
		if present.Index == row.Index && present.Epoch >= row.Epoch {
			return
		}
		if present.Index != row.Index {
			rows = append(rows, present)
		}
	}
	rows = append(rows, row)
	sort.Slice(rows, func(i, j int) bool { return rows[i].Index < rows[j].Index })
	known.rows = rows
	s.known[row.Group] = known
}

// doubt makes the rows of a group be read again soon.
func (s *slots) doubt(group dfgroup.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.known[group]
	known.doubted, known.used = true, true
	s.known[group] = known
}

// learn takes newer rows of a group and tells the own slot of its peers.
func (s *slots) learn(group dfgroup.ID, rows []slotRow, readAt dfclock.Millis) {
	database, _ := s.host.configuration().Database(group)
	s.mu.Lock()
	known := s.known[group]
	if readAt < known.readAt {
		s.mu.Unlock()
		return
	}
	known.rows, known.readAt, known.doubted = rows, readAt, false
	known.triedAt = max(known.triedAt, readAt)
	s.known[group] = known
	holder := s.holders[group]
	s.mu.Unlock()
	if holder != nil {
		s.introduce(holder, rows, database.Slots, readAt)
	}
}
