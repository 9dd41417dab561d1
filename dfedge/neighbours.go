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
	next, err := e.ask(ctx, address, conn)
	if err != nil {
		e.mu.Lock()
		e.circle.Failed(e.options.Now(), address)
		e.mu.Unlock()
	}
	return next, err
}

func (e *Edge) ask(ctx context.Context, address string, conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	question := e.question()
	if conn == nil {
		opened, err := e.options.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		conn = opened
		question.Host = e.options.Self
	}
	deadline, _ := ctx.Deadline()
	askedAt := e.options.Now()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, closed(conn, err)
	}
	if err := dfneighbour.WriteQuestion(conn, question); err != nil {
		return nil, closed(conn, err)
	}
	answer, err := dfneighbour.ReadReport(conn)
	if err != nil {
		return nil, closed(conn, err)
	}
	e.takeReport(askedAt, answer)
	return conn, nil
}

func (e *Edge) question() dfneighbour.Question {
	e.mu.Lock()
	defer e.mu.Unlock()
	return dfneighbour.Question{Catalog: e.catalog.Version(), Fleet: e.fleet.Version(), Circle: e.circle.Digest()}
}

// serveNeighbour answers one neighbour until it goes silent.
func (e *Edge) serveNeighbour(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var host dfmember.Host
	for {
		if err := conn.SetDeadline(time.Now().Add(20 * time.Duration(exchangePeriod) * time.Millisecond)); err != nil {
			return
		}
		question, err := dfneighbour.ReadQuestion(conn)
		if err != nil {
			return
		}
		if question.Host.ID != "" {
			host = question.Host
		}
		if err := dfneighbour.WriteReport(conn, e.report(question, host)); err != nil {
			return
		}
	}
}

// report answers a question. Ages that a neighbour asks for count from its
// question, so this host learns only that the asker is there.
func (e *Edge) report(question dfneighbour.Question, asker dfmember.Host) dfneighbour.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.circle.Met(now, asker)
	report := dfneighbour.Report{Host: e.options.Self, Catalog: e.catalog.Version(), Fleet: e.fleet.Version()}
	if question.Circle != e.circle.Digest() {
		report.Hosts = e.circle.Hosts()
	}
	if question.Catalog < report.Catalog {
		report.Document = e.document
	}
	if question.Fleet < report.Fleet {
		report.Upstreams = e.fleet.All()
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
