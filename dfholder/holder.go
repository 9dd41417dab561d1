// Package dfholder runs the requests of one database at a host that holds one
// of its slots: it watches the group, keeps the connections, routes reads, and
// gates the acknowledgement of writes.
package dfholder

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfcontrol"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dflease"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

// Holder is one held slot.
type Holder struct {
	options Options
	log     *log.Logger
	watcher *dfcontrol.Watcher
	control *dfcontrol.Client
	pools   map[dfgroup.UpstreamID]*dfupstream.Pool
	// opened has when the connections of each pool were established.
	opened    map[dfgroup.UpstreamID]*openings
	knowledge *knowledge
	router    *router
	// share is the limit of each pool.
	share atomic.Int64

	// writing counts the open units at the primary.
	writing atomic.Int64
	// reads and writes admit the requests of each kind.
	reads, writes *admission
	// held is true while writes wait for a primary; only the watcher's goroutine
	// uses it.
	held bool

	// working counts the requests, waiting ones included.
	working atomic.Int64

	unitsMu sync.Mutex
	// units has the open units at a primary.
	units map[*unit]struct{}
	// waits has the writes that wait for a connection to a primary.
	waits map[*wait]struct{}
	// down has the upstreams whose pools were told that they do not answer; it
	// belongs to the watcher's goroutine.
	down map[dfgroup.UpstreamID]bool
	// meters observe the answer times of each upstream.
	meters map[dfgroup.UpstreamID]*dfupstream.SilenceMeter

	marksMu sync.Mutex
	// marks has the leaving marks that this holder passed on.
	marks map[dfgroup.UpstreamID]bool

	// ctx ends with Close.
	ctx    context.Context
	stop   context.CancelFunc
	duties sync.WaitGroup
}

// New starts a holder. Close ends it.
func New(options Options, logger *log.Logger) (*Holder, error) {
	upstreams := configuredUpstreams(options)
	ids := make([]dfgroup.UpstreamID, len(upstreams))
	addresses := make(map[dfgroup.UpstreamID]string, len(upstreams))
	for i, upstream := range upstreams {
		ids[i] = upstream.ID
		addresses[upstream.ID] = upstream.Address
	}
	dial := func(ctx context.Context, upstream dfgroup.UpstreamID) (net.Conn, error) {
		return options.Dial(ctx, "tcp", addresses[upstream])
	}
	control, err := dfcontrol.NewClient(dial, options.Database.Name, options.ControlPassword, ids)
	if err != nil {
		return nil, eris.Wrapf(err, "holder %s", options.Group)
	}
	h := &Holder{
		options:   options,
		log:       logger,
		control:   control,
		pools:     make(map[dfgroup.UpstreamID]*dfupstream.Pool, len(upstreams)),
		units:     make(map[*unit]struct{}),
		waits:     make(map[*wait]struct{}),
		down:      make(map[dfgroup.UpstreamID]bool, len(upstreams)),
		meters:    make(map[dfgroup.UpstreamID]*dfupstream.SilenceMeter, len(upstreams)),
		marks:     make(map[dfgroup.UpstreamID]bool),
		opened:    make(map[dfgroup.UpstreamID]*openings, len(upstreams)),
		knowledge: newKnowledge(initialKnowledge(options), options.Now),
	}
	h.share.Store(int64(options.Database.Share()))
	h.reads = newAdmission(options.Database.Share()*len(upstreams), options.Now)
	h.writes = newAdmission(options.Database.Share(), options.Now)
	h.ctx, h.stop = context.WithCancel(context.Background())
	for _, upstream := range upstreams {
		h.opened[upstream.ID] = newOpenings()
		h.pools[upstream.ID] = h.newPool(upstream)
		h.meters[upstream.ID] = &dfupstream.SilenceMeter{}
	}
	h.watcher, err = dfcontrol.NewWatcher(h.watcherOptions(upstreams))
	if err != nil {
		h.stop()
		h.closePools()
		return nil, eris.Wrapf(err, "holder %s", options.Group)
	}
	h.router = newRouter(h)
	h.duties.Go(func() { h.keepFloor(h.ctx) })
	h.duties.Go(func() { h.keepWarm(h.ctx) })
	return h, nil
}

func configuredUpstreams(options Options) []dfgroup.Upstream {
	upstreams := make([]dfgroup.Upstream, len(options.Database.Upstreams))
	for i, upstream := range options.Database.Upstreams {
		upstreams[i] = dfgroup.Upstream{
			ID: upstream.ID, DataCentre: upstream.DataCentre, Address: upstream.Address,
		}
	}
	return upstreams
}

func (h *Holder) watcherOptions(upstreams []dfgroup.Upstream) dfcontrol.Options {
	options := dfcontrol.DefaultOptions()
	options.Group = h.options.Group
	options.Upstreams = upstreams
	options.Actor = h.options.Host + "/" + h.options.Incarnation
	options.Rank = h.options.Rank
	options.DataCentre = h.options.DataCentre
	options.Control = h.control
	options.Now = h.options.Now
	options.InFlight = func() int { return int(h.writing.Load()) }
	options.OnAudit = h.options.OnAudit
	options.OnView = h.viewChanged
	return options
}

func (h *Holder) newPool(upstream dfgroup.Upstream) *dfupstream.Pool {
	config := dfupstream.PoolConfig{
		Conn: dfupstream.Config{
			Dial:               h.dialWhenAllowed(upstream.ID),
			Admit:              func(conn *dfupstream.Conn) error { return h.admit(upstream.ID, conn) },
			Address:            upstream.Address,
			User:               h.options.User,
			Password:           h.options.Password,
			Database:           h.options.Database.Name,
			ApplicationName:    h.ApplicationName(),
			IdleSessionTimeout: h.options.IdleTimeout,
			Classify:           h.options.Classify,
		},
		Now:          h.options.Now,
		Seed:         h.options.Seed,
		OnTerminated: h.options.OnCut,
		OnSilent: func(pid uint32) {
			h.terminate(upstream.ID, pid)
		},
	}
	config.Pool.Limit = h.options.Database.Share()
	// Without a valid host lease connections are opened only while probes on
	// older ones are answered, so there has to be an older one.
	config.Pool.MinOpen = 1
	return dfupstream.NewPool(config)
}

// ApplicationName marks the connections of this holder's epoch, so that a later
// holder of the slot can end them.
func (h *Holder) ApplicationName() string {
	return dflease.ApplicationName(h.options.Group, h.options.Slot, h.options.Epoch)
}

// Open admits and routes a request.
func (h *Holder) Open(ctx context.Context, request dfunit.Request) (dfunit.Unit, error) {
	if h.working.Add(1) > int64(h.inFlightLimit()) {
		h.working.Add(-1)
		return nil, dfresult.NewError(dfresult.QueueFull, "database %s", h.options.Group).WithRetryAfter(retryHint)
	}
	finish, err := h.admitRequest(ctx, request)
	if err != nil {
		h.working.Add(-1)
		return nil, err
	}
	opened, err := h.open(ctx, request)
	if err != nil {
		finish(isOverload(err))
		h.working.Add(-1)
		return nil, err
	}
	opened.finish = finish
	return opened, nil
}

// isOverload reports whether the error shows that the upstreams have more work
// than they can do.
func isOverload(err error) bool {
	return dfresult.HasCode(err, dfresult.NoConnection)
}

func (h *Holder) inFlightLimit() int {
	if h.options.RequestsInFlight > 0 {
		return h.options.RequestsInFlight
	}
	return DefaultRequestsInFlight
}

func (h *Holder) open(ctx context.Context, request dfunit.Request) (*unit, error) {
	if request.Class == dfunit.ClassRead {
		chosen, err := h.router.route(ctx, request)
		if err != nil {
			return nil, err
		}
		return h.openOn(ctx, request, chosen)
	}
	if err := h.watcher.AwaitWrites(ctx); err != nil {
		return nil, err
	}
	view := h.watcher.View()
	primary, found := view.Find(view.Primary)
	if !found {
		return nil, dfresult.NewError(dfresult.NoPrimary, "database %s", h.options.Group).WithRetryAfter(retryHint)
	}
	return h.openOn(ctx, request, choice{upstream: primary, term: view.Term})
}

// choice is an upstream for one request.
type choice struct {
	upstream dfgroup.Upstream
	replica  bool
	// rung is the step of the read ladder, or zero for a write.
	rung int
	// term is the primary's term for a write.
	term dfposition.Term
}

func (h *Holder) openOn(ctx context.Context, request dfunit.Request, chosen choice) (*unit, error) {
	pool := h.pools[chosen.upstream.ID]
	write := request.Class == dfunit.ClassWrite
	if write {
		h.writing.Add(1)
	}
	conn, err := h.connection(ctx, request, chosen)
	if err != nil {
		if write {
			h.writing.Add(-1)
		}
		return nil, err
	}
	opened := &unit{
		holder:   h,
		request:  request,
		upstream: chosen.upstream,
		pool:     pool,
		conn:     conn,
		rung:     chosen.rung,
		replica:  chosen.replica,
		term:     chosen.term,
		release: func() {
			if write {
				h.writing.Add(-1)
			}
			h.working.Add(-1)
		},
	}
	if write {
		h.remember(opened)
		if h.replaced(chosen.term) {
			// The view changed before the unit was remembered.
			conn.Close()
		}
	}
	return opened, nil
}

// SetRank changes the rank of this actor in promotions.
func (h *Holder) SetRank(rank int) {
	h.watcher.SetRank(rank)
}

// MarkLeaving passes the platform's marks on to the upstreams, where every slot
// holder sees them with the next report. A mark that is gone is taken back only
// if this holder had passed it on.
func (h *Holder) MarkLeaving(leaving map[string]bool) {
	h.marksMu.Lock()
	defer h.marksMu.Unlock()
	for _, upstream := range h.watcher.View().Upstreams {
		marked := leaving[string(upstream.ID)]
		if marked == h.marks[upstream.ID] || (marked && upstream.Leaving) {
			continue
		}
		h.marks[upstream.ID] = marked
		h.duties.Go(func() { h.passMark(upstream.ID, marked) })
	}
}

func (h *Holder) passMark(upstream dfgroup.UpstreamID, leaving bool) {
	ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
	defer cancel()
	if _, err := h.control.SetLeaving(ctx, upstream, leaving); err != nil {
		h.log.Warn().Err(err).Str("Upstream", string(upstream)).Msg("holder: leaving mark not passed on")
		h.marksMu.Lock()
		delete(h.marks, upstream)
		h.marksMu.Unlock()
	}
}

// PlannedChange moves the lead away from the present primary.
func (h *Holder) PlannedChange(ctx context.Context) error {
	return h.watcher.Switchover(ctx)
}

// State describes the holder for operators.
type State struct {
	View dfgroup.View
	// Slot and Epoch identify this holder among those of the group.
	Slot  int
	Epoch uint64
	// Complete is true while reads need not ask other holders.
	Complete    bool
	Working     int
	Connections map[dfgroup.UpstreamID]int
	Limit       int
}

// State returns the present state.
func (h *Holder) State() State {
	state := State{
		View:        h.watcher.View(),
		Slot:        h.options.Slot,
		Epoch:       h.options.Epoch,
		Complete:    h.knowledge.complete(),
		Working:     int(h.working.Load()),
		Connections: make(map[dfgroup.UpstreamID]int, len(h.pools)),
		Limit:       int(h.share.Load()),
	}
	for id, pool := range h.pools {
		state.Connections[id] = pool.Stats().Total()
	}
	return state
}

// Group returns the group of the slot.
func (h *Holder) Group() dfgroup.ID {
	return h.options.Group
}

// Epoch returns the epoch of the slot.
func (h *Holder) Epoch() uint64 {
	return h.options.Epoch
}

// Close ends all connections of the slot.
func (h *Holder) Close() {
	h.stop()
	h.duties.Wait()
	h.reads.close()
	h.writes.close()
	h.closePools()
	h.watcher.Stop()
	h.control.Close()
}

func (h *Holder) closePools() {
	for _, pool := range h.pools {
		pool.Close()
	}
}

func (h *Holder) now() dfclock.Millis {
	return h.options.Now()
}

// contextUntil bounds a context by a span.
func contextUntil(ctx context.Context, span dfclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(max(span, 0))*time.Millisecond)
}
