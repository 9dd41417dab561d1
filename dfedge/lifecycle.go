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
)

// questionTimeout bounds a question for readiness or metrics.
const questionTimeout = 2 * time.Second

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
	neighbours, err := config.Listen(ctx, "tcp4", e.options.Self.Address)
	if err != nil {
		return nil, eris.Wrap(err, "edge: listen for neighbours")
	}
	go func() {
		for {
			conn, err := neighbours.Accept()
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
	server := &http.Server{Handler: handler, ReadHeaderTimeout: questionTimeout, WriteTimeout: questionTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (e *Edge) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serveReadiness answers the entry's question.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	ready := e.unreadySince == dfclock.Never && e.loaded() && e.oriented
	e.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// loaded reports whether the host knows enough to serve.
func (e *Edge) loaded() bool {
	return e.catalog.Version() > 0 && e.fleetRead
}

func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.counters.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// stepReadiness gives the entry to other hosts while this one stops or is cut
// off from what it needs, and hands its quiet sessions over once the entry has
// noticed.
func (e *Edge) stepReadiness(now dfclock.Millis) {
	e.oriented = e.oriented || e.surroundings(now).oriented() && e.leased(now)
	unready := e.stoppingAt != dfclock.Never || e.cutOff(now) || e.oriented && !e.leased(now)
	switch {
	case !unready && e.unreadySince != dfclock.Never:
		e.unreadySince = dfclock.Never
		e.log.Info().Msg("readiness: ready again")
	case unready && e.unreadySince == dfclock.Never:
		e.unreadySince = now
		e.log.Warn().Bool("Stopping", e.stoppingAt != dfclock.Never).Int("Sessions", len(e.sessions)).
			Msg("readiness: not ready")
	}
	if !unready || now-e.unreadySince < noticeSpan {
		return
	}
	for x := range e.sessions {
		x.close()
	}
}

// cutOff reports whether hosts of other data centres are out of reach together
// with the leaders of at least half of the services. Hosts that do not speak
// follow their speaker, which knows first, unless they hear a leader elsewhere.
func (e *Edge) cutOff(now dfclock.Millis) bool {
	told, judged, ok := e.circle.CutOff(now)
	switch {
	case ok && judged:
		e.isolation.cut = told && !e.hearsElsewhere(now)
		return e.isolation.cut
	case ok || !e.judges(now):
		return e.isolation.cut
	}
	leaders := make([]reach, 0, len(e.services))
	for _, s := range e.services {
		leader := reach{suspected: s.successor.Suspected(), heardAgo: dfclock.Never}
		_, leader.known = e.fleet.Leader(now, s.name)
		if s.successor.HasAnswered() {
			leader.heardAgo = now - s.successor.AnsweredAt()
		}
		leaders = append(leaders, leader)
	}
	return e.isolation.judge(e.circle.Remote(now), leaders)
}

// surroundings returns what the host knows of the others now.
func (e *Edge) surroundings(now dfclock.Millis) surroundings {
	_, judged, ok := e.circle.CutOff(now)
	return surroundings{
		platform: e.following && !e.catalogLost, told: ok && judged, remote: e.circle.HearsRemote(now),
		elsewhere: e.hearsElsewhere(now), up: now - e.startedAt,
	}
}

// judges reports whether the host has been up for long enough to tell whether it
// is cut off. One that has just started has heard nobody in either case.
func (e *Edge) judges(now dfclock.Millis) bool {
	return e.loaded() && now-e.startedAt >= dfneighbour.AliveSpan
}

// hearsElsewhere reports whether a leader of another data centre answered lately.
func (e *Edge) hearsElsewhere(now dfclock.Millis) bool {
	for _, s := range e.services {
		leader, ok := e.fleet.Leader(now, s.name)
		if ok && leader.DataCentre != e.options.Self.DataCentre && s.successor.HasAnswered() &&
			now-s.successor.AnsweredAt() < voteSpan {
			return true
		}
	}
	return false
}

// drain ends the sessions within the grace period. Open transactions get the
// first half of it.
func (e *Edge) drain(listener net.Listener) {
	e.mu.Lock()
	startedAt := e.options.Now()
	e.stoppingAt = startedAt
	e.stepReadiness(startedAt)
	e.mu.Unlock()
	half := startedAt.Add(e.options.GracePeriod / 2)
	end := startedAt.Add(e.options.GracePeriod - exitReserve)
	listening := true
	for {
		time.Sleep(tick)
		now := e.options.Now()
		if listening && now-startedAt >= noticeSpan {
			listening = false
			_ = listener.Close()
		}
		e.mu.Lock()
		left, lent := len(e.sessions), e.lent
		for x := range e.sessions {
			if now >= half {
				x.stop()
			}
		}
		e.mu.Unlock()
		if !listening && left == 0 && (lent == 0 || now >= half) || now >= end {
			e.log.Info().Int("Left", left).Int("Lent", lent).Int64("Millis", int64(now-startedAt)).Msg("drain: over")
			return
		}
	}
}
