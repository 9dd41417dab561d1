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

// router carries out the read ladder for one database.
type router struct {
	holder *Holder

	mu    sync.Mutex
	state *dfroute.Router
	// reported is the newest report in the state's view.
	reported dfclock.Millis
}

func newRouter(h *Holder) *router {
	source := rand.New(rand.NewPCG(h.options.Seed, 2))
	return &router{holder: h, state: dfroute.New(h.options.DataCentre, dfroute.DefaultOptions(), source)}
}

// refresh gives newer reports to the state. The mutex is held.
func (r *router) refresh() {
	view := r.holder.watcher.View()
	newest := dfclock.Millis(0)
	for _, upstream := range view.Upstreams {
		newest = max(newest, upstream.ReportedAt)
	}
	if newest != r.reported || view.Term != r.state.View().Term || view.Primary != r.state.View().Primary {
		r.state.SetView(view)
		r.reported = newest
	}
}

// route climbs the ladder until an upstream is found or the read is refused.
func (r *router) route(ctx context.Context, request dfunit.Request) (choice, error) {
	caller := dfsession.CallerOf(request.Service, request.Caller)
	known := r.holder.knowledge.ask(caller)
	r.mu.Lock()
	r.refresh()
	ladder, action := r.state.Read(r.holder.now(), &request, known)
	r.mu.Unlock()
	for {
		switch a := action.(type) {
		case dfroute.UseUpstream:
			return r.chosen(a)
		case dfroute.Refuse:
			return choice{}, a.Error
		}
		event := r.carryOut(ctx, caller, action)
		if ctx.Err() != nil {
			return choice{}, dfresult.NewError(dfresult.DeadlinePassed, "the read was being routed")
		}
		r.mu.Lock()
		r.refresh()
		ladder, action = r.state.Continue(r.holder.now(), ladder, event)
		r.mu.Unlock()
	}
}

func (r *router) chosen(use dfroute.UseUpstream) (choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream, found := r.state.View().Find(use.Upstream)
	if !found {
		return choice{}, dfresult.NewError(dfresult.NoFreshUpstream, "upstream %s left the group", use.Upstream)
	}
	r.state.Started(r.holder.now(), use.Upstream)
	return choice{upstream: upstream, replica: use.Replica, rung: use.Rung}, nil
}

// ended tells the state that a read left its upstream.
func (r *router) ended(chosen choice, latency dfclock.Millis, ok bool) {
	if chosen.rung == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Finished(r.holder.now(), chosen.upstream.ID, latency, ok)
}

func (r *router) carryOut(ctx context.Context, caller dfsession.Caller, action dfroute.Action) dfroute.Event {
	switch a := action.(type) {
	case dfroute.AskPeers:
		return r.askPeers(ctx, caller, a)
	case dfroute.TakeBarrier:
		return r.barrier(ctx, a.Until, func(startedAt dfclock.Millis, position dfposition.Position) dfroute.Event {
			return dfroute.BarrierReached{StartedAt: startedAt, Position: position}
		})
	case dfroute.ConfirmPrimary:
		return r.barrier(ctx, a.Until, func(startedAt dfclock.Millis, position dfposition.Position) dfroute.Event {
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

func (r *router) barrier(ctx context.Context, until dfclock.Millis, event func(dfclock.Millis, dfposition.Position) dfroute.Event) dfroute.Event {
	startedAt := r.holder.now()
	ctx, cancel := contextUntil(ctx, until.Since(startedAt))
	defer cancel()
	position, err := r.holder.watcher.Barrier(ctx)
	if err != nil {
		return dfroute.TimedOut{}
	}
	return event(startedAt, position)
}

// askPeers asks all peers at once and needs every answer.
func (r *router) askPeers(ctx context.Context, caller dfsession.Caller, action dfroute.AskPeers) dfroute.Event {
	ctx, cancel := contextUntil(ctx, action.Until.Since(r.holder.now()))
	defer cancel()
	type reply struct {
		position dfposition.Position
		known    bool
	}
	replies := make(chan reply, len(action.Peers))
	request := &dfproto.PositionsRequest{Group: string(r.holder.options.Group), Caller: uint64(caller)}
	for _, peer := range action.Peers {
		go func() {
			position, known := r.holder.options.Ask(ctx, peer, request)
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

// waitReplica returns when newer reports have arrived or the bound has passed.
func (r *router) waitReplica(ctx context.Context, action dfroute.WaitReplica) dfroute.Event {
	span := min(routePause, action.Until.Since(r.holder.now()))
	waitCtx, cancel := contextUntil(ctx, span)
	defer cancel()
	<-waitCtx.Done()
	if r.holder.now().Reached(action.Until) {
		return dfroute.TimedOut{}
	}
	return dfroute.ViewChanged{}
}
