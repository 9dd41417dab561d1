package dfhost

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfwire"
)

// peers exchanges position leases with other slot holders and serves the units
// that other hosts forward.
type peers struct {
	host *Host
	// relayed counts the open units of other hosts.
	relayed atomic.Int64
}

func newPeers(h *Host) *peers {
	return &peers{host: h}
}

func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(dfsession.RenewInterval) * time.Millisecond)
	defer ticker.Stop()
	for {
		// A draining host lets its leases end, so that peers don't wait for it.
		if !p.host.draining.Load() {
			p.renew(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew asks each peer once for the leases of all databases in common.
func (p *peers) renew(ctx context.Context) {
	for address, groups := range p.host.slots.peersByAddress() {
		go p.renewAt(ctx, address, groups)
	}
}

// watch calls the holders of the slots that this host stands by for, so that a
// dead one is noticed although nothing else is exchanged with it.
func (p *peers) watch(ctx context.Context) {
	for {
		for _, row := range p.host.slots.watched() {
			go p.ping(ctx, row)
		}
		if !sleep(ctx, p.host.jitter(watchPeriod)) {
			return
		}
	}
}

func (p *peers) ping(ctx context.Context, row slotRow) {
	peer, err := p.host.directory.Peer(row.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(watchPeriod)*time.Millisecond/2)
	defer cancel()
	request := &dfproto.AnnounceRequest{Host: p.host.settings.ID, Version: p.host.configuration().Version()}
	_, err = peer.Client().Announce(ctx, request)
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.host.members.contacted(row.Host, err == nil)
	}
}

// watchPeriod separates the calls to watched holders. With 16 hosts that stand
// by for a cell they cost a holder about 1 KB/s.
const watchPeriod = 2 * dfclock.Second

func (p *peers) renewAt(ctx context.Context, address string, groups []string) {
	peer, err := p.host.directory.Peer(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(dfsession.RenewInterval)*time.Millisecond)
	defer cancel()
	sentAt := p.host.now()
	request := &dfproto.LeaseRequest{Host: p.host.settings.ID, Incarnation: p.host.slots.keeper.incarnation(), Groups: groups}
	reply, err := peer.Client().Lease(ctx, request)
	p.host.members.contacted(p.host.slots.hostAt(address), err == nil)
	if err != nil {
		return
	}
	for _, group := range reply.Granted {
		p.host.slots.leased(dfgroup.ID(group), address, reply.Incarnation, sentAt, dfclock.Millis(reply.TTLMillis))
	}
}

// drain waits until the units of other hosts have ended.
func (p *peers) drain(ctx context.Context) {
	for p.relayed.Load() > 0 && sleep(ctx, drainPause) {
		continue
	}
}

// drainPause separates looks at the units that still run.
const drainPause = 10 * dfclock.Millisecond

// handler answers the calls of peers.
type handler struct {
	host *Host
}

// OpenRelayed opens a unit for a caller of another host.
func (s *handler) OpenRelayed(ctx context.Context, request dfunit.Request, epoch uint64) (dfunit.Unit, error) {
	h := s.host
	holder := h.slots.holder(request.Group)
	if holder == nil || holder.Epoch() != epoch {
		return nil, dfresult.NewError(dfresult.SlotLost, "host %s, database %s", h.settings.ID, request.Group)
	}
	// The unit is counted before the check, so that a drain waits for it.
	h.peers.relayed.Add(1)
	if h.draining.Load() {
		h.peers.relayed.Add(-1)
		return nil, dfresult.NewError(dfresult.HostDraining, "host %s", h.settings.ID)
	}
	unit, err := holder.Open(ctx, request)
	if err != nil {
		h.peers.relayed.Add(-1)
		return nil, err
	}
	return &relayedUnit{Unit: unit, peers: h.peers}, nil
}

// relayedUnit counts a unit of another host while it is open.
type relayedUnit struct {
	dfunit.Unit
	peers *peers
	once  sync.Once
}

// Close ends the unit.
func (u *relayedUnit) Close() {
	u.Unit.Close()
	u.once.Do(func() { u.peers.relayed.Add(-1) })
}

// Lease grants position leases for the databases of which this host holds a slot.
func (s *handler) Lease(request *dfproto.LeaseRequest) *dfproto.LeaseReply {
	reply := &dfproto.LeaseReply{TTLMillis: int64(dfsession.LeaseTTL), Incarnation: s.host.slots.keeper.incarnation()}
	for _, group := range request.Groups {
		if s.host.slots.grant(dfgroup.ID(group), request.Host, request.Incarnation) {
			reply.Granted = append(reply.Granted, group)
		}
	}
	return reply
}

// Notify records positions that a peer is about to acknowledge.
func (s *handler) Notify(request *dfproto.NotifyRequest) *dfproto.NotifyReply {
	for _, position := range request.Positions {
		if holder := s.host.slots.holder(dfgroup.ID(position.Group)); holder != nil {
			holder.RecordNotification(position)
		}
	}
	return &dfproto.NotifyReply{}
}

// Positions tells the known position of a caller.
func (s *handler) Positions(request *dfproto.PositionsRequest) *dfproto.PositionsReply {
	holder := s.host.slots.holder(dfgroup.ID(request.Group))
	if holder == nil || !s.host.slots.keeper.valid() {
		return &dfproto.PositionsReply{}
	}
	position, known := holder.CallerPosition(request.Caller)
	return &dfproto.PositionsReply{Holder: known, Position: dfproto.EncodePosition(position)}
}

// Configuration returns what the sender lacks.
func (s *handler) Configuration(request *dfproto.ConfigurationRequest) *dfproto.ConfigurationReply {
	return s.host.adoption.answer(request)
}

// Announce takes note of a newer version at a peer.
func (s *handler) Announce(request *dfproto.AnnounceRequest) *dfproto.AnnounceReply {
	return s.host.adoption.announced(request)
}

// Slots returns the slot rows that this host knows.
func (s *handler) Slots() *dfproto.SlotsReply {
	return s.host.slots.answer()
}

// CancelCaller cancels the statement of a caller of this host.
func (s *handler) CancelCaller(request *dfproto.CancelRequest) *dfproto.CancelReply {
	key := dfwire.Key{PID: request.ProcessID, Secret: request.SecretKey}
	return &dfproto.CancelReply{Found: s.host.wire.Cancel(key)}
}

// canceller passes cancel requests on to the host that issued their key.
type canceller struct {
	host *Host
}

// cancelTimeout bounds the call to another host.
const cancelTimeout = time.Second

// PassOn sends the cancel to every live host with the number in the key.
func (c *canceller) PassOn(ctx context.Context, key dfwire.Key) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for _, member := range c.host.members.live() {
		if hostNumber(member.ID) != key.Host() || member.ID == c.host.settings.ID {
			continue
		}
		peer, err := c.host.directory.Peer(member.Address)
		if err != nil {
			continue
		}
		request := &dfproto.CancelRequest{ProcessID: key.PID, SecretKey: key.Secret}
		if _, err := peer.Client().Cancel(ctx, request); err != nil {
			c.host.log.Debug().Err(err).Str("Peer", member.ID).Msg("peers: cancel not passed on")
		}
	}
}
