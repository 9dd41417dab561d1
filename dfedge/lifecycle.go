package dfedge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfquota"
)

// httpTimeout bounds a request for readiness or metrics.
const httpTimeout = 2 * time.Second

// listen opens all addresses and returns the listener for callers.
func (e *Edge) listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	callers, err := config.Listen(ctx, "tcp4", e.options.CallerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "edge: listen for callers")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", e.serveReadiness)
	if err := serveHTTP(ctx, config, e.options.ReadyAddress, mux); err != nil {
		return nil, err
	}
	if e.options.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("/metrics", e.serveMetrics)
		if err := serveHTTP(ctx, config, e.options.MetricsAddress, mux); err != nil {
			return nil, err
		}
	}
	if err := e.listenForwarded(ctx, config); err != nil {
		return nil, err
	}
	if e.options.Self.Address == "" {
		return callers, nil
	}
	neighbourListener, err := config.Listen(ctx, "tcp4", e.options.Self.Address)
	if err != nil {
		return nil, eris.Wrap(err, "edge: listen for neighbours")
	}
	go func() {
		for {
			conn, err := neighbourListener.Accept()
			if err != nil {
				return
			}
			go e.serveNeighbour(conn)
		}
	}()
	return callers, nil
}

func serveHTTP(ctx context.Context, config net.ListenConfig, address string, handler http.Handler) error {
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return eris.Wrapf(err, "edge: listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: httpTimeout, WriteTimeout: httpTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (e *Edge) acceptCallers(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveCaller(conn)
	}
}

// serveReadiness answers the load balancer's readiness checks.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	ready := e.unreadySince == dfclock.Never && e.loaded() && e.isolationKnown
	e.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// loaded reports whether the host knows enough to serve.
func (e *Edge) loaded() bool {
	return e.catalog.Version() > 0 && e.fleetLoaded
}

func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.counters.set.WritePrometheus(w)
	_, _ = w.Write(e.status())
	metrics.WritePrometheus(w, true)
}

// updateReadiness makes the host not ready while it is stopping, cut off, without a
// lease or without the majority that limits need, and closes idle sessions once the load balancer has had time
// to notice.
func (e *Edge) updateReadiness(now dfclock.Millis) {
	e.isolationKnown = e.isolationKnown || e.startupEvidence(now).isolationKnown() && e.leaseValid(now) && !e.awaitsWriteLease(now)
	unready := e.stoppingAt != dfclock.Never || e.cutOff(now) || e.isolationKnown && !e.leaseValid(now) || e.majorityLost(now)
	switch {
	case !unready && e.unreadySince != dfclock.Never:
		e.unreadySince = dfclock.Never
		e.log.Info().Msg("readiness: ready again")
	case unready && e.unreadySince == dfclock.Never:
		e.unreadySince = now
		e.log.Warn().Bool("Stopping", e.stoppingAt != dfclock.Never).Int("Sessions", len(e.sessions)).
			Msg("readiness: not ready")
	}
	if !unready || now-e.unreadySince < unreadyDetectionTime {
		return
	}
	for sess := range e.sessions {
		sess.closeWhenIdle()
	}
}

// majorityLost reports whether the host was in contact with a majority of the hosts and
// is not any more, where organisations have limits or replicas confirm commits. It then
// gets no tokens for its callers, or no lease for their writes, and others serve them.
func (e *Edge) majorityLost(now dfclock.Millis) bool {
	if e.usesLeases() || !e.needsQuorum() {
		return false
	}
	at := e.neighbours.QuorumAt(now)
	return at >= 0 && now-at >= dfquota.QuorumTTL
}

// cutOff reports whether hosts in other data centres and the leaders of at least
// half of the services are unreachable. Hosts other than the speaker adopt the
// verdict of their speaker, which detects it first, unless they hear from a
// leader in another data centre.
func (e *Edge) cutOff(now dfclock.Millis) bool {
	speakerIsolated, known, ok := e.neighbours.SpeakerIsolation(now)
	switch {
	case ok && known:
		e.isolation.isolated = speakerIsolated && !e.remoteLeaderReachable(now)
		return e.isolation.isolated
	case ok || !e.canJudgeIsolation(now):
		return e.isolation.isolated
	}
	leaders := make([]leaderContact, 0, len(e.services))
	for _, s := range e.services {
		leader := leaderContact{suspected: s.successor.Suspected(), heardAgo: dfclock.Never}
		_, leader.known = e.fleet.Leader(now, s.name)
		if s.successor.HasAnswered() {
			leader.heardAgo = now - s.successor.AnsweredAt()
		}
		leaders = append(leaders, leader)
	}
	return e.isolation.evaluate(e.neighbours.RemoteReachable(now), leaders)
}

// startupEvidence returns the current evidence about this host's connectivity.
func (e *Edge) startupEvidence(now dfclock.Millis) startupEvidence {
	_, known, ok := e.neighbours.SpeakerIsolation(now)
	return startupEvidence{
		platformReachable:     (e.followingFeeds || e.feedAnsweredBeforeLease(now)) && !e.catalogFeedLost,
		speakerJudged:         ok && known,
		remoteHostReachable:   e.neighbours.ReachesRemote(now),
		remoteLeaderReachable: e.remoteLeaderReachable(now),
		uptime:                now - e.startedAt,
	}
}

// canJudgeIsolation reports whether the host has been up long enough to tell
// whether it is cut off. Before that, it has heard from no host in either case.
func (e *Edge) canJudgeIsolation(now dfclock.Millis) bool {
	return e.loaded() && now-e.startedAt >= dfneighbour.LivenessTimeout
}

// remoteLeaderReachable reports whether a leader in another data centre answered
// recently.
func (e *Edge) remoteLeaderReachable(now dfclock.Millis) bool {
	for _, s := range e.services {
		leader, ok := e.fleet.Leader(now, s.name)
		if ok && leader.DataCentre != e.options.Self.DataCentre && s.successor.HasAnswered() &&
			now-s.successor.AnsweredAt() < voteMaxAge {
			return true
		}
	}
	return false
}

// drain ends the sessions within the grace period. Open transactions may use the
// first half of it.
func (e *Edge) drain(listener net.Listener) {
	e.mu.Lock()
	startedAt := e.options.Now()
	e.stoppingAt = startedAt
	e.updateReadiness(startedAt)
	e.mu.Unlock()
	transactionDeadline := startedAt.Add(e.options.GracePeriod / 2)
	deadline := startedAt.Add(e.options.GracePeriod - exitReserve)
	listening := true
	for {
		time.Sleep(tickInterval)
		now := e.options.Now()
		if listening && now-startedAt >= unreadyDetectionTime {
			listening = false
			_ = listener.Close()
		}
		e.mu.Lock()
		sessions, lent := len(e.sessions), e.lentConnections
		for sess := range e.sessions {
			if now >= transactionDeadline {
				sess.abort()
			}
		}
		e.mu.Unlock()
		if !listening && sessions == 0 && (lent == 0 || now >= transactionDeadline) || now >= deadline {
			e.log.Info().Int("Left", sessions).Int("Lent", lent).Int64("Millis", int64(now-startedAt)).Msg("drain: over")
			return
		}
	}
}
