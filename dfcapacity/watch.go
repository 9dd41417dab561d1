package dfcapacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfcontrol"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandin"
)

// watchBound is how long watchers may take to find or change a primary.
const watchBound = 20 * time.Second

// slowTick is ten times the watchers' tick, to show what the tick costs.
const slowTick = 10 * dfcontrol.TickPeriod

// group is the upstreams of one database.
type group struct {
	upstreams []*dfstandin.Upstream
	known     []dfgroup.Upstream
	addresses map[dfgroup.UpstreamID]string
}

func startGroup(number int) (*group, error) {
	g := &group{addresses: make(map[dfgroup.UpstreamID]string)}
	var first dfgroup.UpstreamID
	for i := range int(Target.UpstreamsEach) {
		id := dfgroup.UpstreamID(fmt.Sprintf("upstream-%04d-%d", number, i))
		centre := fmt.Sprintf("centre-%02d", i)
		upstream, err := dfstandin.Start(dfstandin.Options{ID: id, DataCentre: centre, Following: first})
		if err != nil {
			g.stop()
			return nil, err
		}
		if i == 0 {
			first = id
		}
		g.upstreams = append(g.upstreams, upstream)
		g.addresses[id] = upstream.Address()
		g.known = append(g.known, dfgroup.Upstream{ID: id, DataCentre: centre, Address: upstream.Address()})
	}
	for _, upstream := range g.upstreams {
		var peers []dfstandin.Peer
		for _, other := range g.upstreams {
			if other != upstream {
				peers = append(peers, other.Peer())
			}
		}
		upstream.SetPeers(peers)
	}
	return g, nil
}

func (g *group) stop() {
	for _, upstream := range g.upstreams {
		upstream.Stop()
	}
}

// direct answers status polls within the process, so that the watcher's own
// cost shows. It changes nothing at the upstreams.
type direct struct {
	dfcontrol.Group
	upstreams map[dfgroup.UpstreamID]*dfstandin.Upstream
}

func (g *group) direct() direct {
	upstreams := make(map[dfgroup.UpstreamID]*dfstandin.Upstream)
	for _, upstream := range g.upstreams {
		upstreams[upstream.ID()] = upstream
	}
	return direct{upstreams: upstreams}
}

// Status answers at once.
func (d direct) Status(_ context.Context, upstream dfgroup.UpstreamID) (dfgroup.Status, error) {
	return d.upstreams[upstream].Status(), nil
}

// Fence refuses; a watcher that finds a primary asks for none.
func (d direct) Fence(context.Context, dfgroup.UpstreamID, dfposition.Term, string) (dfgroup.Status, error) {
	return dfgroup.Status{}, eris.New("capacity: no changes here")
}

// wired polls over connections whose bytes are counted.
func (g *group) wired(count *traffic) (*dfcontrol.Client, error) {
	var ids []dfgroup.UpstreamID
	for _, upstream := range g.known {
		ids = append(ids, upstream.ID)
	}
	return dfcontrol.NewClient(func(ctx context.Context, id dfgroup.UpstreamID) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", g.addresses[id])
		if err != nil {
			return nil, err
		}
		return counted{conn, count}, nil
	}, "main", "", ids)
}

// holder is the watchers of one host.
type holder struct {
	watchers []*dfcontrol.Watcher
	clients  []*dfcontrol.Client
	// tick replaces the watchers' tick unless it is zero.
	tick time.Duration
}

// clock counts from the start of the process, never at zero.
var processStart = time.Now().Add(-time.Second)

func now() dfclock.Millis {
	return dfclock.Millis(time.Since(processStart).Milliseconds())
}

func (h *holder) watch(number, rank int, g *group, control dfcontrol.Group) error {
	options := dfcontrol.DefaultOptions()
	options.Group = dfgroup.ID(fmt.Sprintf("service-%04d/main", number))
	options.Upstreams, options.Control, options.Now = g.known, control, now
	options.Actor, options.Rank = fmt.Sprintf("%s/%s/%d", hostID(number), incarnation, rank), rank
	options.DataCentre = "centre-01"
	if h.tick > 0 {
		options.TickPeriod = h.tick
	}
	watcher, err := dfcontrol.NewWatcher(options)
	if err == nil {
		h.watchers = append(h.watchers, watcher)
	}
	return err
}

func (h *holder) watchWired(number, rank int, g *group, count *traffic) error {
	client, err := g.wired(count)
	if err != nil {
		return err
	}
	h.clients = append(h.clients, client)
	return h.watch(number, rank, g, client)
}

func (h *holder) stop() {
	for _, watcher := range h.watchers {
		watcher.Stop()
	}
	for _, client := range h.clients {
		client.Close()
	}
}

// await waits until every watcher names a primary other than the given ones.
func (h *holder) await(ctx context.Context, former ...dfgroup.UpstreamID) error {
	for end := time.Now().Add(watchBound); time.Now().Before(end); {
		found := 0
		for i, watcher := range h.watchers {
			primary := watcher.View().Primary
			if primary != "" && (len(former) == 0 || primary != former[i]) {
				found++
			}
		}
		if found == len(h.watchers) {
			return nil
		}
		if err := pause(ctx, 5*time.Millisecond); err != nil {
			return err
		}
	}
	return eris.Errorf("capacity: %d watchers found no primary within %s", len(h.watchers), watchBound)
}

func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// watching measures watchers over the wire and within the process. All of them
// watch one group, so that the stand-ins' replication is the same at each size.
func (m *measurement) watching(ctx context.Context) error {
	g, err := startGroup(0)
	if err != nil {
		return err
	}
	defer g.stop()
	for _, size := range m.sizes.Databases {
		if err := m.watchOver(ctx, size, g, "watch.wire"); err != nil {
			return err
		}
		if err := m.watchOver(ctx, size, g, "watch.own"); err != nil {
			return err
		}
		if err := m.watchOver(ctx, size, g, "watch.slow"); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) watchOver(ctx context.Context, size int, g *group, key string) error {
	h, count := &holder{}, &traffic{}
	defer func() { h.stop() }()
	if key == "watch.slow" {
		h.tick = slowTick
	}
	before := memory()
	for i := range size {
		var err error
		if key == "watch.wire" {
			err = h.watchWired(i, 0, g, count)
		} else {
			err = h.watch(i, 0, g, g.direct())
		}
		if err != nil {
			return err
		}
	}
	if err := h.await(ctx); err != nil {
		return err
	}
	if err := pause(ctx, m.sizes.Watch/4); err != nil {
		return err
	}
	m.add(key+"Memory", size, memory()-before)
	bytes, writes, started, startedAt := count.bytes.Load(), count.writes.Load(), processorTime(), time.Now()
	if err := pause(ctx, m.sizes.Watch); err != nil {
		return err
	}
	span := time.Since(startedAt).Seconds()
	m.add(key+"Time", size, (processorTime()-started)/span)
	if key == "watch.wire" {
		m.add(key+"Bytes", size, float64(count.bytes.Load()-bytes)/span)
		m.add(key+"Polls", size, float64(count.writes.Load()-writes)/span)
	}
	return nil
}

// promotions measures how long one actor takes to replace the primaries of
// several databases that die together.
func (m *measurement) promotions(ctx context.Context) error {
	for _, size := range m.sizes.Promotions {
		gap, err := m.promote(ctx, size)
		if err != nil {
			return err
		}
		m.add("promote.gap", size, gap.Seconds())
	}
	return nil
}

func (m *measurement) promote(ctx context.Context, size int) (time.Duration, error) {
	h, count := &holder{}, &traffic{}
	var groups []*group
	defer func() {
		h.stop()
		for _, g := range groups {
			g.stop()
		}
	}()
	var former []dfgroup.UpstreamID
	for i := range size {
		g, err := startGroup(i)
		if err != nil {
			return 0, err
		}
		groups = append(groups, g)
		former = append(former, g.upstreams[0].ID())
		if err := h.watchWired(i, 0, g, count); err != nil {
			return 0, err
		}
	}
	if err := h.await(ctx); err != nil {
		return 0, err
	}
	if err := pause(ctx, m.sizes.Watch/2); err != nil {
		return 0, err
	}
	startedAt := time.Now()
	for _, g := range groups {
		go g.upstreams[0].Stop()
	}
	err := h.await(ctx, former...)
	return time.Since(startedAt), err
}
