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
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

const (
	// noticeTimeout bounds one try of a notice: a connection, the statements that
	// the other host lets end first, and a lost packet's worth of patience is left
	// to the next try.
	noticeTimeout = 400 * time.Millisecond
	// noticeRetry is the pause before a host that did not answer is told again.
	noticeRetry = 100 * time.Millisecond
	// flightSpan is how long a host lets statements end at a leader that answers
	// before it confirms a notice. Their outcome would be unknown otherwise.
	flightSpan = 80 * dfclock.Millisecond
	// flightPause paces the look at them.
	flightPause = 5 * time.Millisecond
)

// takeNotice answers a notice. Statements at a leader that answers get a moment
// to end; no new one is sent there.
func (e *Edge) takeNotice(notice dfrevocation.Notice) dfrevocation.Reply {
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
		Uint64("Term", uint64(notice.Term)).Bool("Accepted", reply.Accepted).Msg("lease: notice")
	if !reply.Accepted {
		e.mu.Unlock()
		return reply
	}
	s.held = true
	until := now
	if !s.successor.Suspected() && now-s.successor.AnsweredAt() < flightSpan*2 {
		until = now.Add(flightSpan)
	}
	for s.waiting > 0 && e.options.Now() < until {
		e.mu.Unlock()
		time.Sleep(flightPause)
		e.mu.Lock()
	}
	s.held = false
	e.raise(s, notice.Term)
	e.mu.Unlock()
	return reply
}

// revoke takes the lead away from a service's leader at all hosts, and tells the
// leader itself where it answers.
func (e *Edge) revoke(ctx context.Context, s *service, wanted dfsuccession.Revoke) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(dfrevocation.RevocationTimeout)*time.Millisecond)
	e.mu.Lock()
	startedAt := e.options.Now()
	hosts := e.circle.Others()
	notice := dfrevocation.Notice{
		Service: s.name, Holder: e.options.Self.ID, Target: wanted.Target, Epoch: wanted.Epoch,
		Term: e.nextTerm(s),
	}
	var old []dffleet.Upstream
	for _, upstream := range e.fleet.ByService(s.name) {
		if upstream.ID == wanted.Replaced || upstream.Primary {
			old = append(old, upstream)
		}
	}
	e.mu.Unlock()
	names := []string{e.options.Self.ID}
	for _, host := range hosts {
		names = append(names, host.ID)
	}
	events := make(chan dfrevocation.Event, len(names)+len(old))
	var all sync.WaitGroup
	all.Go(func() {
		if e.takeNotice(notice).Accepted {
			events <- dfrevocation.Accepted{Host: e.options.Self.ID}
			return
		}
		events <- dfrevocation.Refused{}
	})
	for _, host := range hosts {
		all.Go(func() { events <- e.notify(ctx, host, notice) })
	}
	for _, upstream := range old {
		all.Go(func() { e.demote(ctx, s, upstream, notice.Term, events) })
	}
	// Hosts that are not needed for the order are told all the same.
	go func() {
		all.Wait()
		cancel()
	}()
	verdict, open := e.count(dfrevocation.NewTally(startedAt, names), events)
	e.log.Warn().Str("Service", s.name).Str("Replaced", string(wanted.Replaced)).Uint64("Epoch", wanted.Epoch).
		Uint64("Term", uint64(notice.Term)).Bool("Clear", verdict == dfrevocation.Clear).Strs("Open", open).
		Int64("Millis", int64(e.options.Now()-startedAt)).Msg("lease: leader revoked")
	if verdict == dfrevocation.Clear {
		e.tell(s, dfsuccession.Revoked{})
		return
	}
	e.tell(s, dfsuccession.RevokeFailed{})
	notice.Released = true
	e.takeNotice(notice)
	release := context.WithoutCancel(ctx)
	for _, host := range hosts {
		go func() {
			if _, err := e.askNotice(release, host, notice); err != nil {
				e.log.Info().Str("Neighbour", host.ID).Err(err).Msg("lease: promise not given back")
			}
		}()
	}
	e.withdraw(s, wanted.Epoch)
}

// withdraw takes a claim back under which nothing was ordered. Hosts that start
// would otherwise take the leader for one that is about to be replaced.
func (e *Edge) withdraw(s *service, epoch uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	value, err := json.Marshal(claim{Holder: e.options.Self.ID})
	if err == nil {
		write := dfplatform.Write{Key: claimsTable + s.name, IfVersion: epoch, Value: value}
		err = e.options.Platform.Commit(ctx, e.options.Self.ID, write)
	}
	e.log.Info().Str("Service", s.name).Uint64("Epoch", epoch).Err(err).Msg("lease: claim withdrawn")
}

// count follows a revocation to its end, which the tally bounds. Replies count also
// after the last of them has come.
func (e *Edge) count(tally *dfrevocation.Tally, events chan dfrevocation.Event) (dfrevocation.Verdict, []string) {
	ticker := time.NewTicker(tick)
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

// notify tells a host of a notice until it answers.
func (e *Edge) notify(ctx context.Context, host dfmember.Host, notice dfrevocation.Notice) dfrevocation.Event {
	for ctx.Err() == nil {
		reply, err := e.askNotice(ctx, host, notice)
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
		sleep(ctx, noticeRetry)
	}
	return nil
}

func (e *Edge) askNotice(ctx context.Context, host dfmember.Host, notice dfrevocation.Notice) (dfrevocation.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	conn, err := e.options.Dial(ctx, host.Address)
	if err != nil {
		return dfrevocation.Reply{}, eris.Wrapf(err, "lease: connect to %s", host.ID)
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return dfrevocation.Reply{}, eris.Wrap(err, "lease: deadline")
	}
	if err := dfneighbour.WriteQuestion(conn, dfneighbour.Question{Host: e.options.Self, Notice: &notice}); err != nil {
		return dfrevocation.Reply{}, err
	}
	report, err := dfneighbour.ReadReport(conn)
	if err != nil {
		return dfrevocation.Reply{}, err
	}
	if report.Reply == nil {
		return dfrevocation.Reply{}, eris.Errorf("lease: %s did not answer the notice", host.ID)
	}
	return *report.Reply, nil
}

// answerNotice answers a neighbour's notice.
func (e *Edge) answerNotice(conn net.Conn, notice dfrevocation.Notice) error {
	reply := e.takeNotice(notice)
	return dfneighbour.WriteReport(conn, dfneighbour.Report{Host: e.options.Self, Reply: &reply})
}

// demote tells a replaced leader that it follows from now on.
func (e *Edge) demote(ctx context.Context, s *service, upstream dffleet.Upstream, term dfposition.Term, events chan dfrevocation.Event) {
	for ctx.Err() == nil {
		_, report, err := e.askUpstream(ctx, upstream, statusTimeout, dfstatement.Demote{Term: term})
		if err == nil && !report.Primary {
			e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Uint64("Term", uint64(term)).
				Msg("lease: leader demoted")
			events <- dfrevocation.Demoted{}
			return
		}
		e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Err(err).Msg("lease: leader not demoted")
		sleep(ctx, noticeRetry)
	}
}
