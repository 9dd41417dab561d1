package dfholder

import (
	"context"
	"math/rand/v2"
	"sync"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfroute"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfunit"
)

// router performs the steps by which dfroute routes the reads of one database.
type router struct {
	holder *Holder

	mu     sync.Mutex
	routes *dfroute.Router
	// newestReport is the time of the newest status report in the view of routes.
	newestReport dfclock.Millis
}

func newRouter(h *Holder) *router {
	source := rand.New(rand.NewPCG(h.options.Seed, 2))
	return &router{holder: h, routes: dfroute.New(h.options.DataCentre, dfroute.DefaultOptions(), source)}
}

// updateView sets a newer view in routes. The caller holds mu.
func (r *router) updateView() {
	view := r.holder.watcher.View()
	newest := dfclock.Millis(0)
	for _, upstream := range view.Upstreams {
		newest = max(newest, upstream.ReportedAt)
	}
	if newest != r.newestReport || view.Term != r.routes.View().Term || view.Primary != r.routes.View().Primary {
		r.routes.SetView(view)
		r.newestReport = newest
	}
}

// route performs routing steps until an upstream is chosen or the read is refused.
func (r *router) route(ctx context.Context, request dfunit.Request) (routeTarget, error) {
	caller := dfsession.CallerOf(request.Service, request.Caller)
	known := r.holder.positions.lookup(caller)
	r.mu.Lock()
	r.updateView()
	state, action := r.routes.Read(r.holder.now(), &request, known)
	r.mu.Unlock()
	for {
		switch a := action.(type) {
		case dfroute.UseUpstream:
			return r.useUpstream(a)
		case dfroute.Refuse:
			return routeTarget{}, a.Error
		}
		event := r.perform(ctx, caller, action)
		if ctx.Err() != nil {
			return routeTarget{}, dfresult.NewError(dfresult.DeadlinePassed, "the read was being routed")
		}
		r.mu.Lock()
		r.updateView()
		state, action = r.routes.Continue(r.holder.now(), state, event)
		r.mu.Unlock()
	}
}

func (r *router) useUpstream(use dfroute.UseUpstream) (routeTarget, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream, found := r.routes.View().Find(use.Upstream)
	if !found {
		return routeTarget{}, dfresult.NewError(dfresult.NoFreshUpstream, "upstream %s left the group", use.Upstream)
	}
	r.routes.Started(r.holder.now(), use.Upstream)
	return routeTarget{upstream: upstream, replica: use.Replica, rung: use.Rung}, nil
}

// finished records the end of a read at its upstream. Writes are not recorded.
func (r *router) finished(target routeTarget, latency dfclock.Millis, ok bool) {
	if target.rung == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes.Finished(r.holder.now(), target.upstream.ID, latency, ok)
}

func (r *router) perform(ctx context.Context, caller dfsession.Caller, action dfroute.Action) dfroute.Event {
	switch a := action.(type) {
	case dfroute.AskPeers:
		return r.askPeers(ctx, caller, a)
	case dfroute.TakeBarrier:
		return r.awaitBarrier(ctx, a.Until, func(startedAt dfclock.Millis, position dfposition.Position) dfroute.Event {
			return dfroute.BarrierReached{StartedAt: startedAt, Position: position}
		})
	case dfroute.ConfirmPrimary:
		return r.awaitBarrier(ctx, a.Until, func(startedAt dfclock.Millis, position dfposition.Position) dfroute.Event {
			return dfroute.PrimaryConfirmed{Upstream: r.primary(), StartedAt: startedAt, Position: position}
		})
	case dfroute.WaitReplica:
		return r.waitReplica(ctx, a)
	}
	return dfroute.TimedOut{}
}

func (r *router) primary() dfgroup.UpstreamID {
	return r.holder.watcher.View().Primary
}

func (r *router) awaitBarrier(ctx context.Context, until dfclock.Millis, event func(dfclock.Millis, dfposition.Position) dfroute.Event) dfroute.Event {
	startedAt := r.holder.now()
	ctx, cancel := contextWithTimeout(ctx, until.Since(startedAt))
	defer cancel()
	position, err := r.holder.watcher.Barrier(ctx)
	if err != nil {
		return dfroute.TimedOut{}
	}
	return event(startedAt, position)
}

// askPeers requests the caller's position from all peers concurrently and waits for
// every response.
func (r *router) askPeers(ctx context.Context, caller dfsession.Caller, action dfroute.AskPeers) dfroute.Event {
	ctx, cancel := contextWithTimeout(ctx, action.Until.Since(r.holder.now()))
	defer cancel()
	type reply struct {
		position dfposition.Position
		known    bool
	}
	replies := make(chan reply, len(action.Peers))
	request := &dfproto.PositionsRequest{Group: string(r.holder.options.Group), Caller: uint64(caller)}
	for _, peer := range action.Peers {
		go func() {
			position, known := r.holder.options.FetchPosition(ctx, peer, request)
			replies <- reply{position: position, known: known}
		}()
	}
	event := dfroute.PeersAnswered{All: true}
	for range action.Peers {
		answer := <-replies
		event.Positions = append(event.Positions, answer.position)
		event.All = event.All && answer.known
	}
	return event
}

// waitReplica waits for replicaPollInterval, in which newer reports may arrive, or
// until the end of the wait for the replica.
func (r *router) waitReplica(ctx context.Context, action dfroute.WaitReplica) dfroute.Event {
	delay := min(replicaPollInterval, action.Until.Since(r.holder.now()))
	waitCtx, cancel := contextWithTimeout(ctx, delay)
	defer cancel()
	<-waitCtx.Done()
	if r.holder.now().Reached(action.Until) {
		return dfroute.TimedOut{}
	}
	return dfroute.ViewChanged{}
}
