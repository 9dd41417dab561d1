package dfhost

import (
	"context"
	"sort"
	"sync"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfholder"
	"dragonflygrade/dflease"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfsession"
)

// slotRow is what this host knows of one held slot.
type slotRow struct {
	Group       dfgroup.ID
	Index       int
	Host        string
	Incarnation string
	DataCentre  string
	Address     string
	Epoch       uint64
}

// slots keeps the slots that this host holds and what it knows of the others.
type slots struct {
	host     *Host
	keeper   *keeper
	failures failures

	mu sync.RWMutex
	// holders is keyed by group; a host holds at most one slot of a group.
	holders map[dfgroup.ID]*dfholder.Holder
	// former has the last holder of each group that was closed; its knowledge
	// is carried over when this process takes a slot of the group again.
	former map[dfgroup.ID]*dfholder.Holder
	known  map[dfgroup.ID]groupRows
	// closing counts holders that are being closed.
	closing sync.WaitGroup
	// caps has the databases whose limits were raised lately.
	caps map[dfgroup.ID]limitCap
	// wants is what the keeper was last told.
	wants wants
}

func newSlots(h *Host) *slots {
	return &slots{
		host:    h,
		keeper:  newKeeper(h),
		holders: make(map[dfgroup.ID]*dfholder.Holder),
		former:  make(map[dfgroup.ID]*dfholder.Holder),
		known:   make(map[dfgroup.ID]groupRows),
		caps:    make(map[dfgroup.ID]limitCap),
	}
}

// holder returns the own slot of the group, or nil.
func (s *slots) holder(group dfgroup.ID) *dfholder.Holder {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.holders[group]
}

// all returns the held slots in no particular order.
func (s *slots) all() []*dfholder.Holder {
	s.mu.RLock()
	defer s.mu.RUnlock()
	holders := make([]*dfholder.Holder, 0, len(s.holders))
	for _, holder := range s.holders {
		holders = append(holders, holder)
	}
	return holders
}

// rows returns the known slots of the group. The slice is never modified.
func (s *slots) rows(group dfgroup.ID) []slotRow {
	s.mu.RLock()
	known := s.known[group]
	s.mu.RUnlock()
	if !known.used {
		s.doubt(group)
	}
	return known.rows
}

// peersByAddress lists, for each other slot holder, the databases in common.
func (s *slots) peersByAddress() map[string][]string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	peers := make(map[string][]string)
	for group := range s.holders {
		for _, row := range s.known[group].rows {
			if row.Host != s.host.settings.ID {
				peers[row.Address] = append(peers[row.Address], string(group))
			}
		}
	}
	return peers
}

// watched lists one slot of each host that holds a slot which this host may
// have to take over.
func (s *slots) watched() []slotRow {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var rows []slotRow
	seen := map[string]bool{s.host.settings.ID: true}
	for _, want := range s.wants.groups {
		for _, row := range s.known[want.Group].rows {
			if !seen[row.Host] {
				seen[row.Host] = true
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// hostAt returns the host whose slot rows have the address.
func (s *slots) hostAt(address string) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, known := range s.known {
		for _, row := range known.rows {
			if row.Address == address {
				return row.Host
			}
		}
	}
	return ""
}

// leased records a position lease that the peer at the address granted.
func (s *slots) leased(group dfgroup.ID, address, incarnation string, sentAt, span dfclock.Millis) {
	holder := s.holder(group)
	if holder == nil {
		return
	}
	for _, row := range s.rows(group) {
		if row.Address == address && row.Incarnation == incarnation {
			holder.RecordLease(peerOf(row), sentAt, span)
		}
	}
}

func peerOf(row slotRow) dfsession.Peer {
	return dfsession.Peer{Host: row.Host, Incarnation: row.Incarnation, Epoch: row.Epoch}
}

// grant grants a position lease to another slot holder while the host lease is
// valid and no earlier owner's connections are left at the primary.
func (s *slots) grant(group dfgroup.ID, host, incarnation string) bool {
	holder := s.holder(group)
	if holder == nil || !s.keeper.mayGrant(group, holder.Primary()) {
		return false
	}
	for _, row := range s.rows(group) {
		if row.Host == host && row.Incarnation == incarnation {
			return holder.GrantLease(peerOf(row))
		}
	}
	s.doubt(group)
	return false
}

// answer returns the known rows for a peer.
func (s *slots) answer() *dfproto.SlotsReply {
	s.mu.RLock()
	defer s.mu.RUnlock()
	reply := &dfproto.SlotsReply{}
	for _, known := range s.known {
		for _, row := range known.rows {
			reply.Rows = append(reply.Rows, &dfproto.SlotRow{
				Group: string(row.Group), Index: uint32(row.Index), Host: row.Host,
				Incarnation: row.Incarnation, Epoch: row.Epoch, Address: row.Address,
			})
		}
	}
	return reply
}

// addressOf returns the address of a peer.
func (s *slots) addressOf(group dfgroup.ID, peer dfsession.Peer) (string, bool) {
	for _, row := range s.rows(group) {
		if row.Host == peer.Host {
			return row.Address, true
		}
	}
	return "", false
}

// markLeaving passes on the platform's marks.
func (s *slots) markLeaving(leaving map[string]bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, holder := range s.holders {
		holder.MarkLeaving(leaving)
	}
}

// states describes the held slots by group.
func (s *slots) states() map[dfgroup.ID]dfholder.State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	states := make(map[dfgroup.ID]dfholder.State, len(s.holders))
	for group, holder := range s.holders {
		states[group] = holder.State()
	}
	return states
}

// statuses lists the known slots by group and index.
func (s *slots) statuses() []SlotStatus {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var statuses []SlotStatus
	for _, known := range s.known {
		for _, row := range known.rows {
			statuses = append(statuses, SlotStatus{Group: row.Group, Index: row.Index, Epoch: row.Epoch, Host: row.Host})
		}
	}
	sort.Slice(statuses, func(i, j int) bool {
		if statuses[i].Group != statuses[j].Group {
			return statuses[i].Group < statuses[j].Group
		}
		return statuses[i].Index < statuses[j].Index
	})
	return statuses
}

// closeAll ends the held slots without releasing them.
func (s *slots) closeAll() {
	s.mu.Lock()
	holders := s.holders
	s.holders = make(map[dfgroup.ID]*dfholder.Holder)
	s.mu.Unlock()
	for _, holder := range holders {
		holder.Release()
		s.closing.Go(holder.Close)
	}
	s.closing.Wait()
}

// start opens the holder of a slot that the table gives to this host.
func (s *slots) start(held dflease.Held) {
	if s.host.draining.Load() {
		// A claim that was under way; the release gives the slot back.
		return
	}
	holder, err := s.open(held)
	if err != nil {
		s.host.log.Error().Err(err).Msg("slots: not opened")
		return
	}
	s.mu.Lock()
	s.holders[held.Group] = holder
	known := s.known[held.Group]
	s.mu.Unlock()
	database, _ := s.host.configuration().Database(held.Group)
	if known.readAt > 0 {
		s.introduce(holder, known.rows, database.Slots, known.readAt)
	}
	s.limit(held.Group, holder)
	holder.MarkLeaving(*s.host.members.leaving.Load())
	s.host.log.Info().Str("Group", string(held.Group)).Int("Slot", held.Index).Msg("slots: open")
}

// stop closes the holder of a slot that is lost.
func (s *slots) stop(group dfgroup.ID) {
	s.mu.Lock()
	holder := s.holders[group]
	delete(s.holders, group)
	if holder != nil {
		s.former[group] = holder
	}
	s.mu.Unlock()
	if holder != nil {
		s.closing.Go(holder.Close)
	}
}

// introduce tells the own slot of the other holders.
func (s *slots) introduce(holder *dfholder.Holder, rows []slotRow, slotCount int, readAt dfclock.Millis) {
	roster := dfsession.Membership{RequestedAt: readAt, Vacant: max(slotCount-len(rows), 0)}
	rank := 0
	for _, row := range rows {
		if row.Host == s.host.settings.ID {
			continue
		}
		roster.Peers = append(roster.Peers, peerOf(row))
		if row.Index < holder.Slot() {
			rank++
		}
	}
	if s.keeper.ownersKnown() {
		// Otherwise the earlier roster stays: a holder that is missing in the rows may
		// still acknowledge writes.
		holder.SetRoster(roster)
	}
	holder.SetRank(rank)
}

// open makes the holder of a slot.
func (s *slots) open(held dflease.Held) (*dfholder.Holder, error) {
	h := s.host
	database, _ := h.configuration().Database(held.Group)
	s.mu.RLock()
	former := s.former[held.Group]
	s.mu.RUnlock()
	return dfholder.New(dfholder.Options{
		Group:           held.Group,
		Database:        database,
		Host:            h.settings.ID,
		Incarnation:     s.keeper.incarnation(),
		Slot:            held.Index,
		Epoch:           held.Epoch,
		DataCentre:      h.settings.DataCentre,
		Rank:            held.Index,
		Dial:            h.settings.DialUpstream,
		User:            h.settings.UpstreamUser,
		Password:        h.settings.UpstreamPassword,
		ControlPassword: h.settings.ControlPassword,
		Classify:        h.leavesBehind,
		Now:             h.now,
		LeaseNow:        s.keeper.now,
		Seed:            hostSeed(h.settings.ID + string(held.Group)),
		IdleTimeout:     dfholder.DefaultIdleTimeout,
		Notify: func(peer dfsession.Peer, position *dfproto.CallerPosition, answered func()) {
			if address, found := s.addressOf(held.Group, peer); found {
				h.notifier.Notify(address, position, answered)
			}
		},
		FetchPosition: s.ask(held.Group),
		OnAudit:       h.recordControl,
		MayOpen:       func(upstream dfgroup.UpstreamID) bool { return s.keeper.mayOpen(held.Group, upstream) },
		OnTerminated: func() {
			s.keeper.post(dflease.ConnectionTerminated{Group: held.Group, Epoch: held.Epoch})
		},
		ClaimedAt:  h.now(),
		FromVacant: held.Epoch == 1,
		Former:     former,
	}, h.log)
}

// ask returns the function by which a slot asks other holders for positions.
func (s *slots) ask(group dfgroup.ID) func(context.Context, dfsession.Peer, *dfproto.PositionsRequest) (dfposition.Position, bool) {
	return func(ctx context.Context, peer dfsession.Peer, request *dfproto.PositionsRequest) (dfposition.Position, bool) {
		address, found := s.addressOf(group, peer)
		if !found {
			return dfposition.Position{}, false
		}
		remote, err := s.host.directory.Peer(address)
		if err != nil {
			return dfposition.Position{}, false
		}
		reply, err := remote.Client().Positions(ctx, request)
		if err != nil || !reply.Holder {
			return dfposition.Position{}, false
		}
		return dfproto.DecodePosition(reply.Position), true
	}
}

// release gives the slots back on a graceful shutdown.
func (s *slots) release(ctx context.Context) {
	s.closeAll()
	outcome := "released"
	if !s.keeper.release(ctx) {
		outcome = "not released, the table did not answer"
	}
	s.host.record(dfaudit.Entry{Who: s.host.settings.ID, Kind: dfaudit.KindSlot, Service: "", Why: "drain", Outcome: outcome})
}
