package dfedge

import (
	"context"
	"net"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
)

// learn adds a neighbour.
func (e *Edge) learn(host dfmember.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.circle.Learn(e.options.Now(), host)
}

// link starts an exchange loop for each host to ask that has none. The mutex is
// held.
func (e *Edge) link(ctx context.Context, now dfclock.Millis) {
	for address := range e.circle.Targets(now) {
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

// exchangeLoop asks one host until it is no longer one to ask.
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
		period, ok := e.exchangePeriod(address)
		if !ok {
			return
		}
		timer.Reset(time.Duration(period) * time.Millisecond)
	}
}

// exchangePeriod returns when to ask a host again; ok is false if others are to
// be asked instead.
func (e *Edge) exchangePeriod(address string) (period dfclock.Millis, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	period, ok = e.circle.Targets(e.options.Now())[address]
	if !ok {
		delete(e.poke, address)
	}
	return period, ok
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
	question := e.question(address)
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
	e.fetchNewer(address, answer)
	return conn, nil
}

// question tells the speaker of the own data centre what this host sees of the
// leaders; others get the versions only.
func (e *Edge) question(address string) dfneighbour.Question {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	question := dfneighbour.Question{Catalog: e.catalog.Version(), Fleet: e.fleet.Version(), Circle: e.circle.Digest()}
	if e.circle.Speakers(now)[e.options.Self.DataCentre].Address == address {
		for _, s := range e.services {
			question.Leads = append(question.Leads, e.lead(now, s))
		}
	}
	return question
}

// serveNeighbour answers one neighbour until it goes silent.
func (e *Edge) serveNeighbour(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var host dfmember.Host
	// toldAt is when the other side was told last; the connection itself counts.
	toldAt := e.options.Now()
	for {
		if err := conn.SetDeadline(time.Now().Add(neighbourSilence)); err != nil {
			return
		}
		question, err := dfneighbour.ReadQuestion(conn)
		if err != nil {
			return
		}
		if question.Host.ID != "" {
			host = question.Host
		}
		if question.Fetch {
			if err := e.handDocument(conn, question); err != nil {
				return
			}
			continue
		}
		if question.Notice != nil {
			if err := e.answerNotice(conn, *question.Notice); err != nil {
				return
			}
			continue
		}
		report := e.report(question, host, toldAt)
		toldAt = e.options.Now()
		if err := dfneighbour.WriteReport(conn, report); err != nil {
			return
		}
	}
}

// report answers a question.
func (e *Edge) report(question dfneighbour.Question, asker dfmember.Host, toldAt dfclock.Millis) dfneighbour.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.adopt(now, question.Leads)
	e.circle.Met(now, toldAt, asker, question.Leads)
	report := dfneighbour.Report{
		Host:       e.options.Self,
		Catalog:    e.catalog.Version(),
		Fleet:      e.fleet.Version(),
		CurrentAgo: now - e.currentAt(now),
		Remote:     e.circle.Remote(now),
		CutOff:     e.cutOff(now),
		Judged:     e.judges(now),
	}
	if e.leases() {
		report.Informed = e.informed
		report.QuorumAgo = -1
		if at := e.circle.QuorumAt(now); at >= 0 {
			report.QuorumAgo = now - at
		}
		if asker.DataCentre != e.options.Self.DataCentre {
			report.Touches = e.circle.Touches(now)
		}
	}
	if question.Circle != e.circle.Digest() {
		report.Hosts = e.circle.Hosts(now)
	}
	if question.Catalog < report.Catalog {
		report.Document = e.documentFor(question)
	}
	if question.Fleet < report.Fleet {
		report.Upstreams = e.fleet.Listed()
	}
	for _, s := range e.services {
		lead := e.lead(now, s)
		lead.Alive, lead.Dead = e.circle.OwnVotes(now, s.name, s.leader, now-voteSpan)
		if lead.Suspected {
			lead.Dead++
		} else if lead.HeardAgo <= voteSpan {
			lead.Alive++
		}
		report.Leads = append(report.Leads, lead)
	}
	return report
}

// currentAt is the latest instant at which this host knew that it missed no
// version of the desired state.
func (e *Edge) currentAt(now dfclock.Millis) dfclock.Millis {
	if e.following && !e.catalogLost {
		return now
	}
	return max(e.lostAt, e.circle.CurrentAt())
}

// follows reports whether this host has to ask the platform itself: it speaks
// for its data centre, or no neighbour keeps it current.
func (e *Edge) follows(now dfclock.Millis) bool {
	span := currentSpan
	if !e.circle.Probes(now) {
		span = listenerSpan
	}
	return e.circle.Speaks(now) || now-max(e.lostAt, e.circle.CurrentAt()) >= span
}

func (e *Edge) lead(now dfclock.Millis, s *service) dfneighbour.Lead {
	lead := dfneighbour.Lead{
		Service:   s.name,
		Leader:    s.leader,
		HeardAgo:  now - s.successor.AnsweredAt(),
		Suspected: s.successor.Suspected() || s.successor.Unresponsive(),
		ProvedAgo: -1,
	}
	if proof, ok := s.timeline.Newest(); ok {
		lead.ProvedAgo, lead.Position = now-proof.At, proof.Position
	}
	if e.leases() {
		lead.Term, lead.Led, lead.Floor = e.fleet.TermOf(s.leader), e.fleet.LatestLedTerm(s.name), e.fleet.MinTerm(s.name)
		lead.Epoch = s.voter.Epoch()
	}
	if s.successor.ChangingLeader() {
		lead.BackIn = max(dfclock.Millisecond, s.successor.LeaderExpectedAt(now)-now)
	}
	return lead
}

// takeReport learns from a neighbour's answer to a question of an instant.
func (e *Edge) takeReport(askedAt dfclock.Millis, report dfneighbour.Report) {
	e.takePacked(report)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.circle.Heard(now, askedAt, report)
	if report.Upstreams != nil {
		e.takeNeighbourFleet(report.Upstreams, report.Fleet, report.Host.ID)
	}
	e.adopt(now, report.Leads)
	if report.Informed && !e.informed && e.loaded() {
		e.beInformed(report.Leads)
	}
	for _, lead := range report.Leads {
		s := e.services[lead.Service]
		if s == nil || lead.Leader != s.leader || lead.ProvedAgo < 0 {
			continue
		}
		s.timeline.Add(dffresh.Proof{At: askedAt - lead.ProvedAgo, Position: lead.Position})
	}
}
