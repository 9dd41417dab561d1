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
	e.neighbours.Add(e.options.Now(), host)
}

// startExchanges starts an exchange loop for each target neighbour that has none.
// e.mu must be held.
func (e *Edge) startExchanges(ctx context.Context, now dfclock.Millis) {
	for address := range e.neighbours.PollTargets(now) {
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
	now := e.options.Now()
	period, ok = e.neighbours.PollTargets(now)[address]
	if e.awaitsFirstLease(now) {
		period = min(period, firstLeasePeriod)
	}
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
		e.neighbours.RecordFailure(e.options.Now(), address)
		e.mu.Unlock()
	}
	return next, err
}

func (e *Edge) requestReport(ctx context.Context, address string, conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := e.newRequest(address)
	introduced := e.countsAsContact()
	if conn == nil {
		opened, err := e.options.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		conn = opened
		if introduced {
			request.Host = e.options.Self
		}
	}
	deadline, _ := ctx.Deadline()
	askedAt := e.options.Now()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, closeOnError(conn, err)
	}
	if err := dfneighbour.WriteRequest(conn, request); err != nil {
		return nil, closeOnError(conn, err)
	}
	answer, err := dfneighbour.ReadReport(conn)
	if err != nil {
		return nil, closeOnError(conn, err)
	}
	e.handleReport(askedAt, answer)
	e.fetchNewerDocument(address, answer)
	if !introduced {
		// The next exchange names this host, if it counts as a contact by then.
		return nil, closeOnError(conn, nil)
	}
	return conn, nil
}

// newRequest returns the request for a neighbour. The speaker of the host's own
// data centre is also told about the leaders; other hosts get only the versions.
func (e *Edge) newRequest(address string) dfneighbour.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	request := dfneighbour.Request{Catalog: e.catalog.Version(), Fleet: e.fleet.Version(), HostsDigest: e.neighbours.Digest(), Roster: e.neighbours.RosterAsOf(), Holds: e.holdList()}
	if e.neighbours.Speakers(now)[e.options.Self.DataCentre].Address == address {
		for _, s := range e.services {
			request.Leaders = append(request.Leaders, e.newLeaderState(now, s))
		}
	}
	return request
}

// serveNeighbour answers the requests of one neighbour until it is idle for too
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
		request, err := dfneighbour.ReadRequest(conn)
		if err != nil {
			return
		}
		if request.Host.ID != "" {
			host = request.Host
		}
		if request.Fetch {
			if err := e.sendDocument(conn, request); err != nil {
				return
			}
			continue
		}
		if request.Hold != nil {
			reply := e.handleHoldNotice(*request.Hold)
			if err := dfneighbour.WriteReport(conn, dfneighbour.Report{Host: e.options.Self, HoldReply: &reply}); err != nil {
				return
			}
			continue
		}
		if request.Notice != nil {
			if err := e.replyToNotice(conn, *request.Notice); err != nil {
				return
			}
			continue
		}
		report := e.newReport(request, host, lastReportAt)
		lastReportAt = e.options.Now()
		if err := dfneighbour.WriteReport(conn, report); err != nil {
			return
		}
	}
}

// newReport returns the answer to a request.
func (e *Edge) newReport(request dfneighbour.Request, sender dfmember.Host, lastReportAt dfclock.Millis) dfneighbour.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.adoptLeaderStates(now, request.Leaders)
	e.adoptHolds(now, request.Holds)
	e.neighbours.HandleRequest(now, lastReportAt, sender, request.Leaders)
	report := dfneighbour.Report{
		Host:            e.options.Self,
		Catalog:         e.catalog.Version(),
		Fleet:           e.fleet.Version(),
		CurrentAge:      now - e.currentAt(now),
		RemoteReachable: e.neighbours.RemoteReachable(now),
		Isolated:        e.cutOff(now),
		IsolationKnown:  e.canJudgeIsolation(now),
		QuorumAge:       -1,
		Holds:           e.holdList(),
		HoldsLoaded:     e.holdsLoaded,
	}
	if e.usesLeases() {
		report.ClaimsLoaded = e.claimsAdoptable(now)
	}
	if e.needsQuorum() {
		if at := e.neighbours.QuorumAt(now); at >= 0 && e.countsAsContactLocked() {
			report.QuorumAge = now - at
		}
		if sender.DataCentre != e.options.Self.DataCentre && e.countsAsContactLocked() {
			report.Contacts = e.neighbours.Contacts(now)
		}
	}
	if request.HostsDigest != e.neighbours.Digest() {
		report.Hosts = e.neighbours.Hosts(now)
	}
	e.neighbours.AddRoster(now, request, &report)
	if request.Catalog < report.Catalog {
		report.Document = e.documentFor(request)
	}
	if request.Fleet < report.Fleet {
		report.Upstreams = e.fleet.Listed()
	}
	report.Drains = e.fleet.Drains(now)
	for _, s := range e.services {
		state := e.newLeaderState(now, s)
		state.AliveVotes, state.DeadVotes = e.neighbours.LocalVotes(now, s.name, s.leader, now-voteMaxAge)
		if state.Suspected {
			state.DeadVotes++
		} else if state.AnswerAge <= voteMaxAge {
			state.AliveVotes++
		}
		report.Leaders = append(report.Leaders, state)
	}
	return report
}

// currentAt returns the latest time at which this host knew that it missed no
// version of the desired state.
func (e *Edge) currentAt(now dfclock.Millis) dfclock.Millis {
	if e.options.StrictRevocation {
		return max(e.feedConfirmedAt, e.neighbours.CurrentAt())
	}
	if e.followingFeeds && !e.catalogFeedLost {
		if !e.catalog.HasOrganisations() || now-e.feedAnsweredAt < feedSilenceTimeout {
			return now
		}
		// A platform that went silent leaves the long poll of the catalog open. Keys may
		// have been withdrawn since.
		return max(e.feedAnsweredAt, e.neighbours.CurrentAt())
	}
	return max(e.lastCurrentAt, e.neighbours.CurrentAt())
}

// mustFollowFeeds reports whether this host has to poll the platform itself: it
// is the speaker of its data centre, or no neighbour keeps it up to date.
func (e *Edge) mustFollowFeeds(now dfclock.Millis) bool {
	maxAge := versionMaxAge
	if !e.neighbours.IsProber(now) {
		maxAge = nonProberVersionMaxAge
	}
	return e.neighbours.IsSpeaker(now) || now-max(e.lastCurrentAt, e.neighbours.CurrentAt()) >= maxAge
}

func (e *Edge) newLeaderState(now dfclock.Millis, s *service) dfneighbour.LeaderState {
	state := dfneighbour.LeaderState{
		Service:   s.name,
		Leader:    s.leader,
		AnswerAge: now - s.successor.AnsweredAt(),
		Suspected: s.successor.Suspected() || s.successor.Unresponsive(),
		ProofAge:  -1,
	}
	if proof, ok := s.timeline.Newest(); ok {
		state.ProofAge, state.Position = now-proof.At, proof.Position
	}
	if e.usesLeases() {
		state.Term, state.LatestLedTerm, state.MinTerm = e.fleet.TermOf(s.leader), e.fleet.LatestLedTerm(s.name), e.fleet.MinTerm(s.name)
		state.Epoch = s.voter.Epoch()
	}
	if s.successor.ChangingLeader() {
		state.ExpectedIn = max(dfclock.Millisecond, s.successor.LeaderExpectedAt(now)-now)
	}
	return state
}

// handleReport merges a neighbour's answer to a request that was sent at
// askedAt.
func (e *Edge) handleReport(askedAt dfclock.Millis, report dfneighbour.Report) {
	e.adoptCompressedDocument(report)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.neighbours.HandleReport(now, askedAt, report)
	e.recordVersion(now, report.Catalog)
	if report.QuorumAge >= 0 && e.needsQuorum() && !e.usesLeases() {
		// The neighbour knows all hosts, and its report lists those that this host lacks.
		e.neighbours.MarkComplete()
	}
	if report.Upstreams != nil {
		e.adoptNeighbourFleet(report.Upstreams, report.Fleet, report.Host.ID)
	}
	for _, drain := range report.Drains {
		e.fleet.RecordDrain(drain.ID, drain.Born, askedAt-drain.Age)
	}
	e.adoptLeaderStates(now, report.Leaders)
	e.adoptHolds(now, report.Holds)
	if report.HoldsLoaded && e.coversOwnPromises(askedAt, report.QuorumAge) {
		e.holdsLoaded = true
	}
	if report.ClaimsLoaded && !e.claimsLoaded && e.loaded() && e.coversOwnPromises(askedAt, report.QuorumAge) {
		e.adoptClaims(report.Leaders)
	}
	for _, state := range report.Leaders {
		s := e.services[state.Service]
		if s == nil || state.Leader != s.leader || state.ProofAge < 0 {
			continue
		}
		s.timeline.Add(dffresh.Proof{At: askedAt - state.ProofAge, Position: state.Position})
	}
}
