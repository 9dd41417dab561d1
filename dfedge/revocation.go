package dfedge

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

const (
	// noticeTimeout bounds one attempt to deliver a notice: the connection and the
	// in-flight statements that the other host waits for. It does not allow for a
	// lost packet, which the next attempt covers.
	noticeTimeout = 400 * time.Millisecond
	// noticeRetryDelay is the pause before a notice is sent again to a host that
	// did not answer.
	noticeRetryDelay = 100 * time.Millisecond
	// inFlightTimeout is how long a host waits for statements in flight at a
	// responsive leader before it confirms a notice. Otherwise their outcome would
	// be unknown.
	inFlightTimeout = 80 * dfclock.Millisecond
	// inFlightPollInterval is how often the statements in flight are checked.
	inFlightPollInterval = 5 * time.Millisecond
)

// handleNotice answers a notice. Statements in flight at a responsive leader get
// a short time to finish; no new ones are sent to it.
func (e *Edge) handleNotice(notice dfrevocation.Notice) dfrevocation.Reply {
	e.mu.Lock()
	now := e.options.Now()
	s := e.services[notice.Service]
	if s == nil {
		e.mu.Unlock()
		return dfrevocation.Reply{Accepted: true, Term: notice.Term}
	}
	voter, reply := s.voter.WithNotice(now, notice, e.fleet.LatestLedTerm(s.name))
	s.voter = voter
	if notice.Released {
		e.mu.Unlock()
		return reply
	}
	e.log.Info().Str("Service", s.name).Str("Holder", notice.Holder).Uint64("Epoch", notice.Epoch).
		Uint64("Term", uint64(notice.Term)).Bool("Accepted", reply.Accepted).Msg("lease: revocation notice answered")
	if !reply.Accepted {
		e.mu.Unlock()
		return reply
	}
	s.leaderPaused = true
	until := now
	if !s.successor.Suspected() && now-s.successor.AnsweredAt() < inFlightTimeout*2 {
		until = now.Add(inFlightTimeout)
	}
	for s.leaderStatements > 0 && e.options.Now() < until {
		e.mu.Unlock()
		time.Sleep(inFlightPollInterval)
		e.mu.Lock()
	}
	s.leaderPaused = false
	e.raiseMinTerm(s, notice.Term)
	e.mu.Unlock()
	return reply
}

// revoke revokes the leadership of a service's leader at all hosts, and demotes
// the leader itself if it is reachable.
func (e *Edge) revoke(ctx context.Context, s *service, wanted dfsuccession.Revoke) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(dfrevocation.RevocationTimeout)*time.Millisecond)
	e.mu.Lock()
	startedAt := e.options.Now()
	hosts := e.neighbours.OtherHosts()
	notice := dfrevocation.Notice{
		Service: s.name, Holder: e.options.Self.ID, Target: wanted.Target, Epoch: wanted.Epoch,
		Term: e.nextTerm(s),
	}
	var oldLeaders []dffleet.Upstream
	for _, upstream := range e.fleet.ByService(s.name) {
		if upstream.ID == wanted.Replaced || upstream.Primary {
			oldLeaders = append(oldLeaders, upstream)
		}
	}
	e.mu.Unlock()
	hostIDs := []string{e.options.Self.ID}
	for _, host := range hosts {
		hostIDs = append(hostIDs, host.ID)
	}
	events := make(chan dfrevocation.Event, len(hostIDs)+len(oldLeaders))
	var wg sync.WaitGroup
	wg.Go(func() {
		if e.handleNotice(notice).Accepted {
			events <- dfrevocation.Accepted{Host: e.options.Self.ID}
			return
		}
		events <- dfrevocation.Refused{}
	})
	for _, host := range hosts {
		wg.Go(func() { events <- e.sendNotice(ctx, host, notice) })
	}
	for _, upstream := range oldLeaders {
		wg.Go(func() { e.demote(ctx, s, upstream, notice.Term, events) })
	}
	// Notices continue after the verdict, so that hosts not needed for it are
	// notified too.
	go func() {
		wg.Wait()
		cancel()
	}()
	verdict, open := e.awaitVerdict(dfrevocation.NewTally(startedAt, hostIDs), events)
	e.log.Warn().Str("Service", s.name).Str("Replaced", string(wanted.Replaced)).Uint64("Epoch", wanted.Epoch).
		Uint64("Term", uint64(notice.Term)).Bool("Clear", verdict == dfrevocation.Clear).Strs("Open", open).
		Int64("Millis", int64(e.options.Now()-startedAt)).Msg("lease: leader revoked")
	if verdict == dfrevocation.Clear {
		e.notifySuccessor(s, dfsuccession.Revoked{})
		return
	}
	e.notifySuccessor(s, dfsuccession.RevokeFailed{})
	notice.Released = true
	e.handleNotice(notice)
	release := context.WithoutCancel(ctx)
	for _, host := range hosts {
		go func() {
			if _, err := e.sendNoticeOnce(release, host, notice); err != nil {
				e.log.Info().Str("Neighbour", host.ID).Err(err).Msg("lease: cannot release promise")
			}
		}()
	}
	e.withdrawClaim(s, wanted.Epoch)
}

// withdrawClaim withdraws a claim under which no order was sent. Otherwise
// starting hosts would assume that the leader is about to be replaced.
func (e *Edge) withdrawClaim(s *service, epoch uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	value, err := json.Marshal(claim{Holder: e.options.Self.ID})
	if err == nil {
		write := dfplatform.Write{Key: claimsTable + s.name, IfVersion: dfrevision.Revision(epoch), Value: value}
		err = e.options.Platform.Commit(ctx, e.options.Self.ID, write)
	}
	e.log.Info().Str("Service", s.name).Uint64("Epoch", epoch).Err(err).Msg("lease: claim withdrawn")
}

// awaitVerdict feeds replies to the tally until it reaches a verdict. Only the
// tally bounds the wait: replies may still be queued after the last host has
// answered.
func (e *Edge) awaitVerdict(tally *dfrevocation.Tally, events chan dfrevocation.Event) (dfrevocation.Verdict, []string) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-events:
			tally.Handle(e.options.Now(), event)
		case <-ticker.C:
		}
		if verdict := tally.Verdict(e.options.Now()); verdict != dfrevocation.Pending {
			return verdict, tally.Unconfirmed()
		}
	}
}

// sendNotice sends a notice to a host until it answers.
func (e *Edge) sendNotice(ctx context.Context, host dfmember.Host, notice dfrevocation.Notice) dfrevocation.Event {
	for ctx.Err() == nil {
		reply, err := e.sendNoticeOnce(ctx, host, notice)
		switch {
		case err == nil && reply.Accepted:
			return dfrevocation.Accepted{Host: host.ID}
		case err == nil:
			e.mu.Lock()
			e.fleet.RecordTerm(notice.Service, reply.Term-1)
			e.mu.Unlock()
			return dfrevocation.Refused{}
		case errors.Is(err, syscall.ECONNREFUSED):
			return dfrevocation.Gone{Host: host.ID}
		}
		sleep(ctx, noticeRetryDelay)
	}
	return nil
}

func (e *Edge) sendNoticeOnce(ctx context.Context, host dfmember.Host, notice dfrevocation.Notice) (dfrevocation.Reply, error) {
	report, err := e.requestOnce(ctx, host, dfneighbour.Request{Host: e.options.Self, Notice: &notice})
	if err != nil {
		return dfrevocation.Reply{}, err
	}
	if report.Reply == nil {
		return dfrevocation.Reply{}, eris.Errorf("lease: %s did not answer the notice", host.ID)
	}
	return *report.Reply, nil
}

// requestOnce sends a request to a host over a connection of its own.
func (e *Edge) requestOnce(ctx context.Context, host dfmember.Host, request dfneighbour.Request) (dfneighbour.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	conn, err := e.options.Dial(ctx, host.Address)
	if err != nil {
		return dfneighbour.Report{}, eris.Wrapf(err, "lease: connect to %s", host.ID)
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return dfneighbour.Report{}, eris.Wrap(err, "lease: set deadline")
	}
	if err := dfneighbour.WriteRequest(conn, request); err != nil {
		return dfneighbour.Report{}, err
	}
	return dfneighbour.ReadReport(conn)
}

// replyToNotice handles a neighbour's notice and sends the reply.
func (e *Edge) replyToNotice(conn net.Conn, notice dfrevocation.Notice) error {
	if e.promisesUnknown() {
		return eris.Errorf("lease: notice under epoch %d not answered, earlier promises are not known", notice.Epoch)
	}
	reply := e.handleNotice(notice)
	return dfneighbour.WriteReport(conn, dfneighbour.Report{Host: e.options.Self, Reply: &reply})
}

// demote orders a replaced leader to become a replica, until it confirms.
func (e *Edge) demote(ctx context.Context, s *service, upstream dffleet.Upstream, term dfposition.Term, events chan dfrevocation.Event) {
	for ctx.Err() == nil {
		_, report, err := e.queryUpstream(ctx, upstream, statusTimeout, dfstatement.Demote{Term: term})
		if err == nil && !report.Primary {
			e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Uint64("Term", uint64(term)).
				Msg("lease: leader demoted")
			events <- dfrevocation.Demoted{}
			return
		}
		e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Err(err).Msg("lease: leader not demoted")
		sleep(ctx, noticeRetryDelay)
	}
}
