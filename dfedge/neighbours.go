package dfedge

import (
	"context"
	"net"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
)

// learn adds a neighbour and starts the exchanges with it.
func (e *Edge) learn(ctx context.Context, host dfmember.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.circle.Learn(e.options.Now(), host)
	e.link(ctx)
}

// link starts an exchange loop for each neighbour that has none.
func (e *Edge) link(ctx context.Context) {
	for _, address := range e.circle.Addresses(e.options.Now()) {
		if e.poke[address] != nil {
			continue
		}
		poke := make(chan struct{}, 1)
		e.poke[address] = poke
		go e.exchangeLoop(ctx, address, poke)
	}
}

// pokeAll asks for exchanges at once, because a decision waits for votes.
func (e *Edge) pokeAll() {
	for _, poke := range e.poke {
		select {
		case poke <- struct{}{}:
		default:
		}
	}
}

func (e *Edge) exchangeLoop(ctx context.Context, address string, poke chan struct{}) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	heard := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-poke:
		}
		next, err := e.exchange(ctx, address, conn)
		if heard != (err == nil) {
			heard = err == nil
			e.log.Info().Str("Neighbour", address).Bool("Heard", heard).Err(err).Msg("neighbour: contact changed")
		}
		conn = next
		timer.Reset(time.Duration(exchangePeriod) * time.Millisecond)
		if e.forgotten(address) {
			return
		}
	}
}

func (e *Edge) forgotten(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, known := range e.circle.Addresses(e.options.Now()) {
		if known == address {
			return false
		}
	}
	delete(e.poke, address)
	return true
}

// exchange asks one neighbour and returns the connection for the next time.
func (e *Edge) exchange(ctx context.Context, address string, conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if conn == nil {
		opened, err := e.options.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		conn = opened
	}
	deadline, _ := ctx.Deadline()
	askedAt := e.options.Now()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, closed(conn, err)
	}
	if err := dfneighbour.WriteFrame(conn, e.report()); err != nil {
		return nil, closed(conn, err)
	}
	answer, err := dfneighbour.ReadFrame(conn)
	if err != nil {
		return nil, closed(conn, err)
	}
	e.takeReport(askedAt, answer)
	return conn, nil
}

// serveNeighbour answers one neighbour until it goes silent.
func (e *Edge) serveNeighbour(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for {
		if err := conn.SetDeadline(time.Now().Add(20 * time.Duration(exchangePeriod) * time.Millisecond)); err != nil {
			return
		}
		asked, err := dfneighbour.ReadFrame(conn)
		if err != nil {
			return
		}
		answer := e.report()
		e.mu.Lock()
		// The asker's ages count from an unknown instant before now, so only its
		// presence is noted. Its proofs arrive with this host's own question.
		e.circle.Met(e.options.Now(), asked.Host)
		if asked.Catalog < e.catalog.Version() {
			answer.Document = e.document
		}
		if asked.Fleet < e.fleet.Version() {
			answer.Upstreams = e.fleet.All()
		}
		e.mu.Unlock()
		if err := dfneighbour.WriteFrame(conn, answer); err != nil {
			return
		}
	}
}

// report is what this host tells now.
func (e *Edge) report() dfneighbour.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	report := dfneighbour.Report{
		Host:    e.options.Self,
		Catalog: e.catalog.Version(),
		Fleet:   e.fleet.Version(),
	}
	for _, host := range e.circle.Live(now) {
		if host.Address != e.options.Self.Address {
			report.Hosts = append(report.Hosts, host)
		}
	}
	for _, s := range e.services {
		report.Leads = append(report.Leads, e.lead(now, s))
	}
	return report
}

func (e *Edge) lead(now dfclock.Millis, s *service) dfneighbour.Lead {
	lead := dfneighbour.Lead{
		Service:   s.name,
		Leader:    s.leader,
		HeardAgo:  now - s.successor.HeardAt(),
		Suspected: s.successor.Suspected(),
		ProvedAgo: -1,
	}
	if proof, ok := s.timeline.Newest(); ok {
		lead.ProvedAgo, lead.Position = now-proof.At, proof.Position
	}
	if s.successor.Acting() {
		lead.BackIn = max(dfclock.Millisecond, s.successor.BackAt(now)-now)
	}
	lead.Connections = make(map[dffleet.ID]int, len(s.pools))
	for id, pool := range s.pools {
		if total := pool.Stats().Total(); total > 0 {
			lead.Connections[id] = total
		}
	}
	return lead
}

// takeReport learns from a neighbour's answer to a question of an instant.
func (e *Edge) takeReport(askedAt dfclock.Millis, report dfneighbour.Report) {
	if report.Document != nil {
		e.takeDocument(report.Document, report.Host.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.circle.Heard(now, askedAt, report)
	if report.Upstreams != nil {
		e.takeNeighbourFleet(report.Upstreams, report.Fleet, report.Host.ID)
	}
	for _, lead := range report.Leads {
		s := e.services[lead.Service]
		if s == nil || lead.Leader != s.leader || lead.ProvedAgo < 0 {
			continue
		}
		s.timeline.Add(dffresh.Proof{At: askedAt - lead.ProvedAgo, Position: lead.Position})
	}
}
