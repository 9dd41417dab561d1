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

// errNotAllowed means that the slot gives no right to open connections now.
var errNotAllowed = eris.New("holder: the slot is not confirmed or earlier connections are not ended")

// openings has when connections were established, by process of the upstream.
type openings struct {
	mu sync.Mutex
	at map[uint32]dfclock.Millis
}

func newOpenings() *openings {
	return &openings{at: make(map[uint32]dfclock.Millis)}
}

// add notes a connection. Entries of closed connections are dropped once they
// outnumber the limit of the pool.
func (o *openings) add(pid uint32, at dfclock.Millis, limit int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for known, since := range o.at {
		if len(o.at) > 4*limit && since < at {
			delete(o.at, known)
		}
	}
	o.at[pid] = at
}

func (o *openings) find(pid uint32) (dfclock.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.at[pid]
	return at, found
}

// initialKnowledge carries the grants of an earlier holder in this process over.
func initialKnowledge(options Options) *dfsession.Tracker {
	if options.Former == nil {
		return dfsession.New(options.ClaimedAt, options.FromVacant, 0, 0)
	}
	former := options.Former.knowledge
	former.mu.Lock()
	defer former.mu.Unlock()
	return former.state.Reclaimed(options.ClaimedAt, options.FromVacant)
}

// dialWhenAllowed opens no stream while the slot gives no right to.
func (h *Holder) dialWhenAllowed(upstream dfgroup.UpstreamID) dfupstream.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !h.mayOpen(upstream) {
			return nil, errNotAllowed
		}
		return h.options.Dial(ctx, network, address)
	}
}

// admit checks the right once more when the upstream knows the connection, so
// that a later holder's termination has either ended it or comes after.
func (h *Holder) admit(upstream dfgroup.UpstreamID, conn *dfupstream.Conn) error {
	at := h.leaseNow()
	if !h.mayOpen(upstream) {
		return errNotAllowed
	}
	h.opened[upstream].add(conn.PID(), at, int(h.share.Load()))
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
	ctx, cancel := contextUntil(ctx, probeTimeout)
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
	return h.opened[upstream].find(conn.PID())
}

// keepWarm uses a connection to each upstream now and then, so that upstreams
// don't close the last one for idleness.
func (h *Holder) keepWarm(ctx context.Context) {
	ticker := time.NewTicker(warmPeriod)
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

// Upstreams lists the configured upstreams.
func (h *Holder) Upstreams() []dfgroup.UpstreamID {
	ids := make([]dfgroup.UpstreamID, len(h.options.Database.Upstreams))
	for i, upstream := range h.options.Database.Upstreams {
		ids[i] = upstream.ID
	}
	return ids
}

// Primary returns the present primary, or nothing.
func (h *Holder) Primary() dfgroup.UpstreamID {
	return h.watcher.View().Primary
}

// Slot returns the index of the slot.
func (h *Holder) Slot() int {
	return h.options.Slot
}

// Working returns the number of admitted requests.
func (h *Holder) Working() int {
	return int(h.working.Load())
}

// SetShare changes the connections that the slot may hold to each upstream.
// Connections beyond a lower limit are closed when they are returned.
func (h *Holder) SetShare(share int) {
	h.share.Store(int64(share))
	h.reads.setLimit(share * len(h.pools))
	h.writes.setLimit(share)
	for _, pool := range h.pools {
		pool.SetLimit(share)
	}
}

// Release stops the grants of position leases and the recording of writes; the
// slot row is changed only afterwards.
func (h *Holder) Release() {
	h.knowledge.mu.Lock()
	defer h.knowledge.mu.Unlock()
	h.knowledge.state.Release(h.now())
}
