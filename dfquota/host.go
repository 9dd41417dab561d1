package dfquota

import (
	"math"
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// Ticket identifies a waiting operation.
type Ticket uint64

// Verdict is the decision on an operation: Admitted, Refused or Waiting.
type Verdict interface{ verdict() }

// Admitted operations may be sent to an upstream at once.
type Admitted struct {
	// version and expiresAt are those of the token that the operation took. It may be
	// returned until it expires.
	version   uint64
	expiresAt dfclock.Millis
}

// Refused operations have reached the limit. RetryAfter is when to come back.
type Refused struct{ RetryAfter dfclock.Millis }

// Waiting operations are decided later, under the ticket.
type Waiting struct{ Ticket Ticket }

func (Admitted) verdict() {}
func (Refused) verdict()  {}
func (Waiting) verdict()  {}

// Decision decides a waiting operation.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
}

// Outgoing is an ask to be sent to a host.
type Outgoing struct {
	To  dfmember.Host
	Ask Ask
	// sentAt is when the ask was issued. Grants expire from then on.
	sentAt dfclock.Millis
}

// Timeout returns how long the answer may take.
func (o Outgoing) Timeout() dfclock.Millis {
	if len(o.Ask.Wants) == 0 {
		return probeAnswerTimeout
	}
	return askTimeout
}

// holding is a number of tokens that expire together.
type holding struct {
	tokens    int
	expiresAt dfclock.Millis
	// version is that of the desired state under which the tokens were granted.
	version uint64
}

type waiter struct {
	ticket Ticket
	until  dfclock.Millis
}

// account is the state of one organisation.
type account struct {
	holdings []holding
	waiting  []waiter
	// demand and supply average the operations that arrived and the tokens that were
	// granted.
	demand, supply average
	usedAt         dfclock.Millis
	// askAt is the earliest time of the next ask, and asking is true while one is
	// under way.
	askAt  dfclock.Millis
	asking bool
	// shortUntil is when the next token is expected of an owner that had fewer than
	// it was asked for, and short is false if it had enough.
	shortUntil dfclock.Millis
	short      bool
}

// peer is the state of another host as an owner.
type peer struct {
	busy bool
	// checkedAt is when the host last answered or failed, and down is true if it then
	// did not grant.
	checkedAt dfclock.Millis
	down      bool
	// probeDelay is the time until the next probe of a host that is down.
	probeDelay dfclock.Millis
}

// absence is what a host knows of a data centre that may be cut off.
type absence struct {
	// missed is the host that last failed to answer.
	missed string
	// suspected is true if two hosts failed to answer and none has answered since.
	suspected bool
}

// answered records whether the host grants.
func (p *peer) answered(now dfclock.Millis, grants bool) {
	p.busy, p.checkedAt = false, now
	if p.down && !grants {
		p.probeDelay = min(2*p.probeDelay, maxDownProbeInterval)
	} else {
		p.probeDelay = downProbeInterval
	}
	p.down = !grants
}

// Host admits the operations that reach this host. It is not safe for concurrent use.
type Host struct {
	version uint64
	limits  map[string]Limit
	// loweredIn is the version in which the limit of an organisation was last
	// lowered. Grants of earlier versions are void.
	loweredIn  map[string]uint64
	ranking    ranking
	accounts   map[string]*account
	peers      map[string]*peer
	absences   map[string]absence
	lastTicket Ticket
}

// NewHost returns a host that knows no limits and no owners.
func NewHost() *Host {
	return &Host{loweredIn: map[string]uint64{}, accounts: map[string]*account{}, peers: map[string]*peer{}, absences: map[string]absence{}}
}

// SetLimits adopts the limits of a version of the desired state. Unused grants of
// organisations whose limit is lower now are void.
func (h *Host) SetLimits(version uint64, limits map[string]Limit) {
	for name, before := range h.limits {
		limit, ok := limits[name]
		if ok && limit.Rate >= before.Rate && limit.Burst >= before.Burst {
			continue
		}
		h.loweredIn[name] = version
		if a := h.accounts[name]; a != nil {
			a.holdings = nil
		}
	}
	h.version, h.limits = version, limits
}

// SetHosts sets all known hosts, including this one.
func (h *Host) SetHosts(hosts []dfmember.Host) {
	h.ranking.set(hosts)
}

// Arrive decides on an operation that may wait until the given time.
func (h *Host) Arrive(now dfclock.Millis, organisation string, until dfclock.Millis) Verdict {
	if _, limited := h.limits[organisation]; !limited {
		return Admitted{}
	}
	a := h.accounts[organisation]
	if a == nil {
		a = &account{}
		h.accounts[organisation] = a
	}
	a.demand.add(now, 1)
	a.usedAt = now
	if len(a.waiting) == 0 {
		if token, ok := a.use(now); ok {
			return token
		}
	}
	retryAfter, reached := h.expectedWait(now, organisation, a)
	if !reached || now.Add(retryAfter) > until {
		return Refused{boundRetry(retryAfter)}
	}
	h.lastTicket++
	a.waiting = append(a.waiting, waiter{h.lastTicket, until})
	return Waiting{h.lastTicket}
}

// expectedWait returns the known part of the wait for a token. reached is false if no
// owner answers.
func (h *Host) expectedWait(now dfclock.Millis, organisation string, a *account) (wait dfclock.Millis, reached bool) {
	if _, ok := h.target(organisation); !ok {
		return downProbeInterval, false
	}
	if !a.short {
		return 0, true
	}
	wait = max(0, a.shortUntil-now)
	return max(wait, timeFor(float64(len(a.waiting)), math.Max(a.supply.perSecond(now), 1))), true
}

func boundRetry(span dfclock.Millis) dfclock.Millis {
	return min(max(span, minRetryAfter), maxRetryAfter)
}

// use takes a token that is held, the one that expires first.
func (a *account) use(now dfclock.Millis) (token Admitted, ok bool) {
	for len(a.holdings) > 0 {
		first := &a.holdings[0]
		if first.tokens > 0 && now < first.expiresAt {
			first.tokens--
			return Admitted{first.version, first.expiresAt}, true
		}
		a.holdings = a.holdings[1:]
	}
	return Admitted{}, false
}

// Return gives back the token of an operation that was not sent to an upstream, as long
// as it is valid, and returns the operations that it admits. returned is false if the
// token is not valid any more.
func (h *Host) Return(now dfclock.Millis, organisation string, token Admitted) (decisions []Decision, returned bool) {
	a := h.accounts[organisation]
	if a == nil || now >= token.expiresAt || token.version < h.loweredIn[organisation] {
		return nil, false
	}
	a.holdings = slices.Insert(a.holdings, 0, holding{1, token.expiresAt, token.version})
	return a.admit(now, nil), true
}

func (a *account) held(now dfclock.Millis) int {
	held := 0
	for _, holding := range a.holdings {
		if now < holding.expiresAt {
			held += holding.tokens
		}
	}
	return held
}

// want returns how many tokens to ask for now. Once it is worth an ask, it covers the
// demand of the next aheadSpan.
func (a *account) want(now dfclock.Millis) int {
	if a.asking || now < a.askAt {
		return 0
	}
	ahead := int(a.demand.perSecond(now)*seconds(aheadSpan) + 0.5)
	held := a.held(now)
	if len(a.waiting) == 0 && (ahead < 2 || held > ahead/2) {
		return 0
	}
	return max(0, len(a.waiting)+ahead-held)
}

// target returns the first candidate that is not known to be down. Candidates in a
// data centre that seems cut off come last: to find out for each of its hosts would cost
// an operation each.
func (h *Host) target(organisation string) (dfmember.Host, bool) {
	var suspect dfmember.Host
	for _, index := range h.ranking.of(organisation) {
		host := h.ranking.hosts[index]
		if known := h.peers[host.ID]; known != nil && known.down {
			continue
		}
		if !h.absences[host.DataCentre].suspected {
			return host, true
		}
		if suspect.ID == "" {
			suspect = host
		}
	}
	return suspect, suspect.ID != ""
}

// Asks returns the asks to send now. There is at most one under way to each host;
// Handle or Fail ends it. Hosts in probes are asked even if nothing is wanted of them.
// These asks name the missed hosts.
func (h *Host) Asks(now dfclock.Millis, probes []dfmember.Host, missed []string) []Outgoing {
	wants := map[string]*Outgoing{}
	add := func(to dfmember.Host) *Outgoing {
		known := h.peers[to.ID]
		if known != nil && known.busy {
			return nil
		}
		if wants[to.ID] == nil {
			wants[to.ID] = &Outgoing{To: to, Ask: Ask{Version: h.version}, sentAt: now}
		}
		return wants[to.ID]
	}
	for _, host := range probes {
		if probe := add(host); probe != nil {
			probe.Ask.Missed = missed
		}
	}
	for name, a := range h.accounts {
		if len(a.waiting) == 0 && !a.asking && now-a.usedAt >= idleTimeout {
			delete(h.accounts, name)
			continue
		}
		h.probeDown(now, name, add)
		tokens := a.want(now)
		if tokens == 0 {
			continue
		}
		if to, ok := h.target(name); ok {
			if ask := add(to); ask != nil {
				ask.Ask.Wants = append(ask.Ask.Wants, Want{Organisation: name, Tokens: tokens})
				a.asking = true
			}
		}
	}
	asks := make([]Outgoing, 0, len(wants))
	for _, ask := range wants {
		h.peer(ask.To.ID).busy = true
		asks = append(asks, *ask)
	}
	return asks
}

// probeDown asks candidates that are down whether they are back, as far as the first
// one that is not.
func (h *Host) probeDown(now dfclock.Millis, name string, add func(dfmember.Host) *Outgoing) {
	for _, index := range h.ranking.of(name) {
		host := h.ranking.hosts[index]
		known := h.peer(host.ID)
		if !known.down {
			if !h.absences[host.DataCentre].suspected {
				return
			}
			add(host)
			continue
		}
		if now-known.checkedAt >= known.probeDelay {
			add(host)
		}
	}
}

func (h *Host) peer(id string) *peer {
	if h.peers[id] == nil {
		h.peers[id] = &peer{}
	}
	return h.peers[id]
}

// Handle processes the answer to an ask and returns the operations that it decides.
func (h *Host) Handle(now dfclock.Millis, sent Outgoing, grant Grant) []Decision {
	known := h.peer(sent.To.ID)
	known.answered(now, grant.Ready)
	if !grant.Ready {
		// The host runs and tells when it is ready, or gains a majority like this one.
		known.probeDelay = min(known.probeDelay, maxUnreadyProbeInterval)
		if grant.ReadyIn > 0 {
			known.probeDelay = min(known.probeDelay, grant.ReadyIn)
		}
	}
	delete(h.absences, sent.To.DataCentre)
	var decisions []Decision
	for i, want := range sent.Ask.Wants {
		a := h.accounts[want.Organisation]
		if a == nil {
			continue
		}
		a.asking = false
		if !grant.Ready || i >= len(grant.Parts) {
			continue
		}
		part := grant.Parts[i]
		if part.Declined {
			a.askAt = now.Add(declinedAskInterval)
			h.recheckBefore(want.Organisation, sent.To.ID)
			continue
		}
		a.short = part.Tokens < want.Tokens
		if a.short {
			a.shortUntil = now.Add(part.RetryAfter)
			interval := shortAskInterval
			if a.demand.perSecond(now) < busyRate {
				interval = quietAskInterval
			}
			a.askAt = now.Add(max(interval, min(part.RetryAfter, maxRetryAfter)))
		}
		if grant.Version < h.loweredIn[want.Organisation] {
			continue
		}
		a.supply.add(now, float64(part.Tokens))
		a.holdings = append(a.holdings, holding{part.Tokens, sent.sentAt.Add(GrantTTL), grant.Version})
		decisions = a.admit(now, decisions)
	}
	return decisions
}

// recheckBefore makes the candidates before a host be probed at once, because the host
// reaches one of them.
func (h *Host) recheckBefore(organisation, id string) {
	for _, index := range h.ranking.of(organisation) {
		host := h.ranking.hosts[index]
		if host.ID == id {
			return
		}
		if known := h.peers[host.ID]; known != nil {
			known.probeDelay = min(known.probeDelay, declinedAskInterval)
		}
	}
}

// admit gives the tokens that are held to the operations that wait.
func (a *account) admit(now dfclock.Millis, decisions []Decision) []Decision {
	for len(a.waiting) > 0 {
		token, ok := a.use(now)
		if !ok {
			break
		}
		decisions = append(decisions, Decision{a.waiting[0].ticket, token})
		a.waiting = a.waiting[1:]
	}
	return decisions
}

// Fail records that an ask got no answer in time.
func (h *Host) Fail(now dfclock.Millis, sent Outgoing) {
	h.peer(sent.To.ID).answered(now, false)
	absent := h.absences[sent.To.DataCentre]
	absent.suspected = absent.suspected || absent.missed != "" && absent.missed != sent.To.ID
	absent.missed = sent.To.ID
	h.absences[sent.To.DataCentre] = absent
	for _, want := range sent.Ask.Wants {
		if a := h.accounts[want.Organisation]; a != nil {
			a.asking = false
		}
	}
}

// Expire refuses the operations whose time is up, and those for which no owner is
// reached.
func (h *Host) Expire(now dfclock.Millis) []Decision {
	var decisions []Decision
	for name, a := range h.accounts {
		if len(a.waiting) == 0 {
			continue
		}
		retryAfter, reached := h.expectedWait(now, name, a)
		waiting := a.waiting[:0]
		for _, w := range a.waiting {
			if reached && now < w.until {
				waiting = append(waiting, w)
				continue
			}
			decisions = append(decisions, Decision{w.ticket, Refused{boundRetry(retryAfter)}})
		}
		a.waiting = waiting
	}
	return decisions
}

// NextAt returns when Asks and Expire have to be called next, except for probes. It is
// Never if only an arrival or an answer changes anything.
func (h *Host) NextAt(now dfclock.Millis) dfclock.Millis {
	next := dfclock.Never
	for _, a := range h.accounts {
		if !a.asking && a.askAt > now {
			next = min(next, a.askAt)
		}
		for _, w := range a.waiting {
			next = min(next, w.until)
		}
	}
	return next
}
