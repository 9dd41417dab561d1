package dfholder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfupstream"
)

// errOpenNotAllowed is returned for a new connection while MayOpen is false.
var errOpenNotAllowed = eris.New("holder: new connections are not allowed: the slot is not confirmed or connections of an earlier holder are still open")

// connectTimes records when connections were established, by the process ID of
// their backend.
type connectTimes struct {
	mu    sync.Mutex
	byPID map[uint32]dfclock.Millis
}

func newConnectTimes() *connectTimes {
	return &connectTimes{byPID: make(map[uint32]dfclock.Millis)}
}

// add records a connection. While there are more than four entries for each
// connection that the pool may hold, older ones are dropped; most of them belong to
// closed connections.
func (c *connectTimes) add(pid uint32, at dfclock.Millis, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known, since := range c.byPID {
		if len(c.byPID) > 4*limit && since < at {
			delete(c.byPID, known)
		}
	}
	c.byPID[pid] = at
}

func (c *connectTimes) find(pid uint32) (dfclock.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, found := c.byPID[pid]
	return at, found
}

// initialPositions returns the initial state of a holder. It keeps the position
// leases that an earlier holder in this process granted and that may still be valid.
func initialPositions(options Options) *dfsession.Tracker {
	if options.Former == nil {
		return dfsession.New(options.ClaimedAt, options.FromVacant, 0, 0)
	}
	former := options.Former.positions
	former.mu.Lock()
	defer former.mu.Unlock()
	return former.state.Reclaimed(options.ClaimedAt, options.FromVacant)
}

// dialIfAllowed returns a dial function that fails while MayOpen is false.
func (h *Holder) dialIfAllowed(upstream dfgroup.UpstreamID) dfupstream.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !h.mayOpen(upstream) {
			return nil, errOpenNotAllowed
		}
		return h.options.Dial(ctx, network, address)
	}
}

// admitConn checks MayOpen again after the upstream has registered the connection.
// A later holder that terminates this slot's connections has then either already
// terminated this one or will still find it.
func (h *Holder) admitConn(upstream dfgroup.UpstreamID, conn *dfupstream.Conn) error {
	at := h.leaseNow()
	if !h.mayOpen(upstream) {
		return errOpenNotAllowed
	}
	h.connectTimes[upstream].add(conn.PID(), at, int(h.connectionLimit.Load()))
	return nil
}

func (h *Holder) mayOpen(upstream dfgroup.UpstreamID) bool {
	return h.options.MayOpen == nil || h.options.MayOpen(upstream)
}

func (h *Holder) leaseNow() dfclock.Millis {
	if h.options.LeaseNow == nil {
		return h.now()
	}
	return h.options.LeaseNow()
}

// Probe makes one round trip on a pooled connection and returns when that
// connection was established.
func (h *Holder) Probe(ctx context.Context, upstream dfgroup.UpstreamID) (dfclock.Millis, bool) {
	ctx, cancel := contextWithTimeout(ctx, probeTimeout)
	defer cancel()
	pool := h.pools[upstream]
	conn, err := pool.Get(ctx, h.now().Add(probeTimeout), probePriority)
	if err != nil {
		return 0, false
	}
	defer pool.Put(conn)
	if err := conn.Probe(ctx); err != nil {
		return 0, false
	}
	return h.connectTimes[upstream].find(conn.PID())
}

// keepAlive periodically probes a connection to each upstream, so that upstreams do
// not close the last one when its idle timeout expires.
func (h *Holder) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, upstream := range h.Upstreams() {
			h.Probe(ctx, upstream)
		}
	}
}

// Upstreams returns the IDs of the configured upstreams.
func (h *Holder) Upstreams() []dfgroup.UpstreamID {
	ids := make([]dfgroup.UpstreamID, len(h.options.Database.Upstreams))
	for i, upstream := range h.options.Database.Upstreams {
		ids[i] = upstream.ID
	}
	return ids
}

// Primary returns the current primary, or an empty ID if there is none.
func (h *Holder) Primary() dfgroup.UpstreamID {
	return h.watcher.View().Primary
}

// Slot returns the index of the slot.
func (h *Holder) Slot() int {
	return h.options.Slot
}

// InFlight returns the number of requests, including queued ones.
func (h *Holder) InFlight() int {
	return int(h.inFlight.Load())
}

// SetShare changes the maximum number of connections to each upstream. Connections
// beyond a lower limit are closed when they are returned to the pool.
func (h *Holder) SetShare(share int) {
	h.connectionLimit.Store(int64(share))
	h.reads.SetLimit(share * len(h.pools))
	h.writes.SetLimit(share)
	for _, pool := range h.pools {
		pool.SetLimit(share)
	}
}

// Release stops granting position leases and recording writes. It must be called
// before the slot row is changed.
func (h *Holder) Release() {
	h.positions.mu.Lock()
	defer h.positions.mu.Unlock()
	h.positions.state.Release(h.now())
}
