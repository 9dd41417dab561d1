package dfhost

import (
	"context"
	"sync"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfholder"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfsession"
)

// slotRow is what this host knows of one slot.
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
	failures failures

	mu sync.RWMutex
	// holders is keyed by group; a host holds at most one slot of a group.
	holders map[dfgroup.ID]*dfholder.Holder
	// known has the rows of each group by index.
	known map[dfgroup.ID][]slotRow
}

func newSlots(h *Host) *slots {
	return &slots{
		host:    h,
		holders: make(map[dfgroup.ID]*dfholder.Holder),
		known:   make(map[dfgroup.ID][]slotRow),
	}
}

// holder returns the own slot of the group, or nil.
func (s *slots) holder(group dfgroup.ID) *dfholder.Holder {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.holders[group]
}

// rows returns the known slots of the group. The slice is never modified.
func (s *slots) rows(group dfgroup.ID) []slotRow {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.known[group]
}

// peersByAddress lists, for each other slot holder, the databases in common.
func (s *slots) peersByAddress() map[string][]string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	peers := make(map[string][]string)
	for group := range s.holders {
		for _, row := range s.known[group] {
			if row.Host != s.host.settings.ID {
				peers[row.Address] = append(peers[row.Address], string(group))
			}
		}
	}
	return peers
}

// leased records a position lease that the peer at the address granted.
func (s *slots) leased(group dfgroup.ID, address, incarnation string, sentAt, span dfclock.Millis) {
	holder := s.holder(group)
	if holder == nil {
		return
	}
	for _, row := range s.rows(group) {
		if row.Address == address && row.Incarnation == incarnation {
			holder.Leased(peerOf(row), sentAt, span)
		}
	}
}

func peerOf(row slotRow) dfsession.Peer {
	return dfsession.Peer{Host: row.Host, Incarnation: row.Incarnation, Epoch: row.Epoch}
}

// grant grants a position lease to another slot holder.
func (s *slots) grant(group dfgroup.ID, host, incarnation string) bool {
	holder := s.holder(group)
	if holder == nil || !s.leaseHeld() {
		return false
	}
	for _, row := range s.rows(group) {
		if row.Host == host && row.Incarnation == incarnation {
			return holder.Grant(peerOf(row))
		}
	}
	return false
}

// answer returns the known rows for a peer.
func (s *slots) answer() *dfproto.SlotsReply {
	s.mu.RLock()
	defer s.mu.RUnlock()
	reply := &dfproto.SlotsReply{}
	for _, rows := range s.known {
		for _, row := range rows {
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

// closeAll ends the held slots without releasing them.
func (s *slots) closeAll() {
	s.mu.Lock()
	holders := s.holders
	s.holders = make(map[dfgroup.ID]*dfholder.Holder)
	s.mu.Unlock()
	for _, holder := range holders {
		holder.Close()
	}
}

func (s *slots) put(group dfgroup.ID, holder *dfholder.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[group] = holder
}

// learn takes newer rows of a group and tells the own slot of its peers.
func (s *slots) learn(group dfgroup.ID, rows []slotRow, slotCount int, readAt dfclock.Millis) {
	s.mu.Lock()
	s.known[group] = rows
	holder := s.holders[group]
	s.mu.Unlock()
	if holder == nil {
		return
	}
	roster := dfsession.Roster{ReadAt: readAt, Vacant: slotCount - len(rows)}
	for _, row := range rows {
		if row.Host != s.host.settings.ID {
			roster.Peers = append(roster.Peers, peerOf(row))
		}
	}
	holder.SetRoster(roster)
}

// open starts the holder of a slot that this host has taken.
func (s *slots) open(row slotRow, claimedAt dfclock.Millis, fromVacant bool) (*dfholder.Holder, error) {
	h := s.host
	database, _ := h.configuration().Database(row.Group)
	return dfholder.New(dfholder.Options{
		Group:           row.Group,
		Database:        database,
		Host:            h.settings.ID,
		Incarnation:     h.incarnation,
		Slot:            row.Index,
		Epoch:           row.Epoch,
		DataCentre:      h.settings.DataCentre,
		Rank:            row.Index,
		Dial:            h.settings.DialUpstream,
		User:            h.settings.UpstreamUser,
		Password:        h.settings.UpstreamPassword,
		ControlPassword: h.settings.ControlPassword,
		Classify:        h.leavesBehind,
		Now:             h.now,
		Seed:            hostSeed(h.settings.ID + string(row.Group)),
		IdleTimeout:     dfholder.DefaultIdleTimeout,
		Notify: func(peer dfsession.Peer, position *dfproto.CallerPosition, answered func()) {
			if address, found := s.addressOf(row.Group, peer); found {
				h.notifier.Notify(address, position, answered)
			}
		},
		Ask:        s.ask(row.Group),
		OnAudit:    h.recordControl,
		ClaimedAt:  claimedAt,
		FromVacant: fromVacant,
	}, h.log)
}

// release gives the slots back on a graceful shutdown.
func (s *slots) release(ctx context.Context) {
	s.closeAll()
	s.releaseRows(ctx)
}
