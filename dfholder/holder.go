// Package dfholder executes the requests of one database at a host that holds one
// of its slots. It monitors the group of upstreams, pools connections, routes
// reads, and delays the acknowledgement of writes until they are replicated.
package dfholder

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfadmission"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfcontrol"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dflease"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

// Holder executes the requests of one slot that this host holds.
type Holder struct {
	options Options
	log     *log.Logger
	watcher *dfcontrol.Watcher
	control *dfcontrol.Client
	pools   map[dfgroup.UpstreamID]*dfupstream.Pool
	// connectTimes has the times at which the connections of each pool were
	// established.
	connectTimes map[dfgroup.UpstreamID]*connectTimes
	positions    *positionTracker
	router       *router
	// connectionLimit is the maximum number of connections to each upstream.
	connectionLimit atomic.Int64

	// openWrites counts the write units that hold or wait for a connection.
	openWrites atomic.Int64
	// reads and writes control the admission of read and write requests.
	reads, writes *dfadmission.Controller
	// writesHeld is true while there is no primary and writes are queued. It is used
	// only by the watcher's goroutine.
	writesHeld bool

	// inFlight counts the requests, including queued ones.
	inFlight atomic.Int64

	unitsMu sync.Mutex
	// writeUnits has the write units that hold a connection.
	writeUnits map[*unit]struct{}
	// connectionWaits has the writes that wait for a connection to the primary.
	connectionWaits map[*connectionWait]struct{}
	// unreachable is true for the upstreams whose pools are set to unreachable. It is
	// used only by the watcher's goroutine.
	unreachable map[dfgroup.UpstreamID]bool
	// silenceMeters derive the silence timeout of each upstream from its response
	// times.
	silenceMeters map[dfgroup.UpstreamID]*dfupstream.SilenceMeter

	leavingMu sync.Mutex
	// leavingMarks is true for the upstreams on which this holder set the leaving
	// mark.
	leavingMarks map[dfgroup.UpstreamID]bool

	// ctx is cancelled by Close.
	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
}

// New starts a holder. Close stops it.
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
		options:         options,
		log:             logger,
		control:         control,
		pools:           make(map[dfgroup.UpstreamID]*dfupstream.Pool, len(upstreams)),
		writeUnits:      make(map[*unit]struct{}),
		connectionWaits: make(map[*connectionWait]struct{}),
		unreachable:     make(map[dfgroup.UpstreamID]bool, len(upstreams)),
		silenceMeters:   make(map[dfgroup.UpstreamID]*dfupstream.SilenceMeter, len(upstreams)),
		leavingMarks:    make(map[dfgroup.UpstreamID]bool),
		connectTimes:    make(map[dfgroup.UpstreamID]*connectTimes, len(upstreams)),
		positions:       newPositionTracker(initialPositions(options), options.Now),
	}
	h.connectionLimit.Store(int64(options.Database.Share()))
	h.reads = newAdmission(options.Database.Share()*len(upstreams), options.Now)
	h.writes = newAdmission(options.Database.Share(), options.Now)
	h.ctx, h.stop = context.WithCancel(context.Background())
	for _, upstream := range upstreams {
		h.connectTimes[upstream.ID] = newConnectTimes()
		h.pools[upstream.ID] = h.newPool(upstream)
		h.silenceMeters[upstream.ID] = &dfupstream.SilenceMeter{}
	}
	h.watcher, err = dfcontrol.NewWatcher(h.watcherOptions(upstreams))
	if err != nil {
		h.stop()
		h.closePools()
		return nil, eris.Wrapf(err, "holder %s", options.Group)
	}
	h.router = newRouter(h)
	h.background.Go(func() { h.maintainFloor(h.ctx) })
	h.background.Go(func() { h.keepAlive(h.ctx) })
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
	options.InFlight = func() int { return int(h.openWrites.Load()) }
	options.OnAudit = h.options.OnAudit
	options.OnView = h.onViewChanged
	return options
}

func (h *Holder) newPool(upstream dfgroup.Upstream) *dfupstream.Pool {
	config := dfupstream.PoolConfig{
		Conn: dfupstream.Config{
			Dial:               h.dialIfAllowed(upstream.ID),
			Admit:              func(conn *dfupstream.Conn) error { return h.admitConn(upstream.ID, conn) },
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
		OnTerminated: h.options.OnTerminated,
		OnSilent: func(pid uint32) {
			h.terminateBackend(upstream.ID, pid)
		},
	}
	config.Pool.Limit = h.options.Database.Share()
	// Without a valid host lease, connections may be opened only while probes on
	// existing ones succeed, so at least one is kept open.
	config.Pool.MinOpen = 1
	return dfupstream.NewPool(config)
}

// ApplicationName returns the application_name of this holder's connections. It
// identifies the slot and epoch, so that a later holder can terminate them.
func (h *Holder) ApplicationName() string {
	return dflease.ApplicationName(h.options.Group, h.options.Slot, h.options.Epoch)
}

// Open admits and routes a request and acquires a connection for it.
func (h *Holder) Open(ctx context.Context, request dfunit.Request) (dfunit.Unit, error) {
	if h.inFlight.Add(1) > int64(h.maxInFlight()) {
		h.inFlight.Add(-1)
		return nil, dfresult.NewError(dfresult.QueueFull, "database %s", h.options.Group).WithRetryAfter(retryAfter)
	}
	finish, err := h.admitRequest(ctx, request)
	if err != nil {
		h.inFlight.Add(-1)
		return nil, err
	}
	opened, err := h.open(ctx, request)
	if err != nil {
		finish(isOverload(err))
		h.inFlight.Add(-1)
		return nil, err
	}
	opened.finishAdmission = finish
	return opened, nil
}

// isOverload reports whether the error indicates that the upstreams are
// overloaded.
func isOverload(err error) bool {
	return dfresult.HasCode(err, dfresult.NoConnection)
}

func (h *Holder) maxInFlight() int {
	if h.options.MaxInFlight > 0 {
		return h.options.MaxInFlight
	}
	return DefaultMaxInFlight
}

func (h *Holder) open(ctx context.Context, request dfunit.Request) (*unit, error) {
	if request.Class == dfunit.ClassRead {
		target, err := h.router.route(ctx, request)
		if err != nil {
			return nil, err
		}
		return h.openOn(ctx, request, target)
	}
	if err := h.watcher.AwaitWrites(ctx); err != nil {
		return nil, err
	}
	view := h.watcher.View()
	primary, found := view.Find(view.Primary)
	if !found {
		return nil, dfresult.NewError(dfresult.NoPrimary, "database %s", h.options.Group).WithRetryAfter(retryAfter)
	}
	return h.openOn(ctx, request, routeTarget{upstream: primary, term: view.Term})
}

// routeTarget is the upstream chosen for a request.
type routeTarget struct {
	upstream dfgroup.Upstream
	replica  bool
	// rung is the routing step that chose the upstream, or zero for a write.
	rung int
	// term is the primary's term, or zero for a read.
	term dfposition.Term
}

func (h *Holder) openOn(ctx context.Context, request dfunit.Request, target routeTarget) (*unit, error) {
	pool := h.pools[target.upstream.ID]
	write := request.Class == dfunit.ClassWrite
	if write {
		h.openWrites.Add(1)
	}
	conn, err := h.acquireConnection(ctx, request, target)
	if err != nil {
		if write {
			h.openWrites.Add(-1)
		}
		return nil, err
	}
	opened := &unit{
		holder:   h,
		request:  request,
		upstream: target.upstream,
		pool:     pool,
		conn:     conn,
		rung:     target.rung,
		replica:  target.replica,
		term:     target.term,
		releaseCounts: func() {
			if write {
				h.openWrites.Add(-1)
			}
			h.inFlight.Add(-1)
		},
	}
	if write {
		h.trackWrite(opened)
		if h.isSuperseded(target.term) {
			// The view changed before the unit was tracked.
			conn.Close()
		}
	}
	return opened, nil
}

// SetRank changes the rank of this holder in promotions.
func (h *Holder) SetRank(rank int) {
	h.watcher.SetRank(rank)
}

// MarkLeaving copies the platform's leaving marks to the upstreams, where every slot
// holder sees them in the next status report. A mark that the platform removed is
// cleared only if this holder had set it.
func (h *Holder) MarkLeaving(leaving map[string]bool) {
	h.leavingMu.Lock()
	defer h.leavingMu.Unlock()
	for _, upstream := range h.watcher.View().Upstreams {
		marked := leaving[string(upstream.ID)]
		if marked == h.leavingMarks[upstream.ID] || (marked && upstream.Leaving) {
			continue
		}
		h.leavingMarks[upstream.ID] = marked
		h.background.Go(func() { h.setLeavingMark(upstream.ID, marked) })
	}
}

func (h *Holder) setLeavingMark(upstream dfgroup.UpstreamID, leaving bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leavingMarkTimeout)
	defer cancel()
	if _, err := h.control.SetLeaving(ctx, upstream, leaving); err != nil {
		h.log.Warn().Err(err).Str("Upstream", string(upstream)).Msg("holder: setting the leaving mark failed")
		h.leavingMu.Lock()
		delete(h.leavingMarks, upstream)
		h.leavingMu.Unlock()
	}
}

// Switchover replaces the current primary by another upstream.
func (h *Holder) Switchover(ctx context.Context) error {
	return h.watcher.Switchover(ctx)
}

// State describes the holder for operators.
type State struct {
	View dfgroup.View
	// Slot and Epoch identify this holder among those of the group.
	Slot  int
	Epoch uint64
	// Complete is true if reads can be routed without asking other holders.
	Complete bool
	// InFlight counts the requests, including queued ones.
	InFlight    int
	Connections map[dfgroup.UpstreamID]int
	// Limit is the maximum number of connections to each upstream.
	Limit int
}

// State returns the current state.
func (h *Holder) State() State {
	state := State{
		View:        h.watcher.View(),
		Slot:        h.options.Slot,
		Epoch:       h.options.Epoch,
		Complete:    h.positions.complete(),
		InFlight:    int(h.inFlight.Load()),
		Connections: make(map[dfgroup.UpstreamID]int, len(h.pools)),
		Limit:       int(h.connectionLimit.Load()),
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

// Close stops the background goroutines and closes all connections of the slot.
func (h *Holder) Close() {
	h.stop()
	h.background.Wait()
	h.reads.Close()
	h.writes.Close()
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

// contextWithTimeout is context.WithTimeout for a duration in milliseconds.
func contextWithTimeout(ctx context.Context, timeout dfclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(max(timeout, 0))*time.Millisecond)
}
