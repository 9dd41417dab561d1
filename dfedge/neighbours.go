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

func (e *Edge) addNeighbour(host dfmember.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.neighbours.Learn(e.options.Now(), host)
}

// startExchanges starts an exchange loop for each target neighbour that has none.
// e.mu must be held.
func (e *Edge) startExchanges(ctx context.Context, now dfclock.Millis) {
	for address := range e.neighbours.Targets(now) {
		if e.exchangeTriggers[address] != nil {
			continue
		}
		trigger := make(chan struct{}, 1)
		e.exchangeTriggers[address] = trigger
		go e.exchangeLoop(ctx, address, trigger)
	}
}

// triggerExchanges starts exchanges immediately, because a decision waits for
// votes.
func (e *Edge) triggerExchanges() {
	for _, trigger := range e.exchangeTriggers {
		select {
		case trigger <- struct{}{}:
		default:
		}
	}
}

// exchangeLoop polls one neighbour for as long as it is a target.
func (e *Edge) exchangeLoop(ctx context.Context, address string, trigger chan struct{}) {
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
		case <-trigger:
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

// exchangePeriod returns the time until the next exchange with a neighbour. ok is
// false if the neighbour is no longer a target.
func (e *Edge) exchangePeriod(address string) (period dfclock.Millis, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	period, ok = e.neighbours.Targets(e.options.Now())[address]
	if !ok {
		delete(e.exchangeTriggers, address)
	}
	return period, ok
}

// exchange polls one neighbour and returns the connection for the next exchange.
func (e *Edge) exchange(ctx context.Context, address string, conn net.Conn) (net.Conn, error) {
	next, err := e.requestReport(ctx, address, conn)
	if err != nil {
		e.mu.Lock()
		e.neighbours.Failed(e.options.Now(), address)
		e.mu.Unlock()
	}
	return next, err
}

func (e *Edge) requestReport(ctx context.Context, address string, conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	question := e.newQuestion(address)
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
		return nil, closeOnError(conn, err)
	}
	if err := dfneighbour.WriteQuestion(conn, question); err != nil {
		return nil, closeOnError(conn, err)
	}
	answer, err := dfneighbour.ReadReport(conn)
	if err != nil {
		return nil, closeOnError(conn, err)
	}
	e.handleReport(askedAt, answer)
	e.fetchNewerDocument(address, answer)
	return conn, nil
}

// newQuestion returns the question for a neighbour. The speaker of the host's own
// data centre is also told about the leaders; other hosts get only the versions.
func (e *Edge) newQuestion(address string) dfneighbour.Question {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	question := dfneighbour.Question{Catalog: e.catalog.Version(), Fleet: e.fleet.Version(), Circle: e.neighbours.Digest()}
	if e.neighbours.Speakers(now)[e.options.Self.DataCentre].Address == address {
		for _, s := range e.services {
			question.Leads = append(question.Leads, e.newLead(now, s))
		}
	}
	return question
}

// serveNeighbour answers the questions of one neighbour until it is idle for too
// long.
func (e *Edge) serveNeighbour(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var host dfmember.Host
	// lastReportAt is when the last report was sent; opening the connection counts
	// as a report.
	lastReportAt := e.options.Now()
	for {
		if err := conn.SetDeadline(time.Now().Add(neighbourIdleTimeout)); err != nil {
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
			if err := e.sendDocument(conn, question); err != nil {
				return
			}
			continue
		}
		if question.Notice != nil {
			if err := e.replyToNotice(conn, *question.Notice); err != nil {
				return
			}
			continue
		}
		report := e.newReport(question, host, lastReportAt)
		lastReportAt = e.options.Now()
		if err := dfneighbour.WriteReport(conn, report); err != nil {
			return
		}
	}
}

// newReport returns the answer to a question.
func (e *Edge) newReport(question dfneighbour.Question, sender dfmember.Host, lastReportAt dfclock.Millis) dfneighbour.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.adoptLeads(now, question.Leads)
	e.neighbours.Met(now, lastReportAt, sender, question.Leads)
	report := dfneighbour.Report{
		Host:       e.options.Self,
		Catalog:    e.catalog.Version(),
		Fleet:      e.fleet.Version(),
		CurrentAgo: now - e.currentAt(now),
		Remote:     e.neighbours.Remote(now),
		CutOff:     e.cutOff(now),
		Judged:     e.canJudgeIsolation(now),
	}
	if e.usesLeases() {
		report.Informed = e.claimsLoaded
		report.QuorumAgo = -1
		if at := e.neighbours.QuorumAt(now); at >= 0 {
			report.QuorumAgo = now - at
		}
		if sender.DataCentre != e.options.Self.DataCentre {
			report.Touches = e.neighbours.Touches(now)
		}
	}
	if question.Circle != e.neighbours.Digest() {
		report.Hosts = e.neighbours.Hosts(now)
	}
	if question.Catalog < report.Catalog {
		report.Document = e.documentFor(question)
	}
	if question.Fleet < report.Fleet {
		report.Upstreams = e.fleet.Listed()
	}
	for _, s := range e.services {
		lead := e.newLead(now, s)
		lead.Alive, lead.Dead = e.neighbours.OwnVotes(now, s.name, s.leader, now-voteMaxAge)
		if lead.Suspected {
			lead.Dead++
		} else if lead.HeardAgo <= voteMaxAge {
			lead.Alive++
		}
		report.Leads = append(report.Leads, lead)
	}
	return report
}

// currentAt returns the latest time at which this host knew that it missed no
// version of the desired state.
func (e *Edge) currentAt(now dfclock.Millis) dfclock.Millis {
	if e.followingFeeds && !e.catalogFeedLost {
		return now
	}
	return max(e.lastCurrentAt, e.neighbours.CurrentAt())
}

// mustFollowFeeds reports whether this host has to poll the platform itself: it
// is the speaker of its data centre, or no neighbour keeps it up to date.
func (e *Edge) mustFollowFeeds(now dfclock.Millis) bool {
	maxAge := versionMaxAge
	if !e.neighbours.Probes(now) {
		maxAge = nonProberVersionMaxAge
	}
	return e.neighbours.Speaks(now) || now-max(e.lastCurrentAt, e.neighbours.CurrentAt()) >= maxAge
}

func (e *Edge) newLead(now dfclock.Millis, s *service) dfneighbour.Lead {
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
	if e.usesLeases() {
		lead.Term, lead.Led, lead.Floor = e.fleet.TermOf(s.leader), e.fleet.LatestLedTerm(s.name), e.fleet.MinTerm(s.name)
		lead.Epoch = s.voter.Epoch()
	}
	if s.successor.ChangingLeader() {
		lead.BackIn = max(dfclock.Millisecond, s.successor.LeaderExpectedAt(now)-now)
	}
	return lead
}

// handleReport merges a neighbour's answer to a question that was sent at
// askedAt.
func (e *Edge) handleReport(askedAt dfclock.Millis, report dfneighbour.Report) {
	e.adoptPackedDocument(report)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.neighbours.Heard(now, askedAt, report)
	if report.Upstreams != nil {
		e.adoptNeighbourFleet(report.Upstreams, report.Fleet, report.Host.ID)
	}
	e.adoptLeads(now, report.Leads)
	if report.Informed && !e.claimsLoaded && e.loaded() {
		e.adoptClaims(report.Leads)
	}
	for _, lead := range report.Leads {
		s := e.services[lead.Service]
		if s == nil || lead.Leader != s.leader || lead.ProvedAgo < 0 {
			continue
		}
		s.timeline.Add(dffresh.Proof{At: askedAt - lead.ProvedAgo, Position: lead.Position})
	}
}
