package dfquota

import (
	"math"
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// reachStep is the part of all hosts that an owner does not reach from a time on. From
// until on, no host counts as reached.
type reachStep struct {
	at, until dfclock.Millis
	unreached float64
}

// reach is an owner's knowledge of the hosts that do not use their reserved shares. The
// owner leaves the shares of all others unused.
type reach struct {
	// hosts is the number of hosts that share the limits. While some are not reached
	// it does not grow, since these may know of fewer.
	hosts int
	steps []reachStep
}

// set records that of the known hosts, including this one, some were reached and knew at
// the given time of contact with a majority.
func (r *reach) set(now dfclock.Millis, known, reached int, at dfclock.Millis) {
	if known <= 0 {
		return
	}
	reached = min(max(reached, 1), known)
	if r.hosts == 0 || known < r.hosts || reached == known {
		r.hosts = known
	}
	until := at.Add(reachedTTL)
	if until <= now {
		reached, until = 1, dfclock.Never
	}
	unreached := math.Min(1, float64(known-reached)/float64(r.hosts))
	next := reachStep{at: now, until: until, unreached: unreached}
	if count := len(r.steps); count > 0 && r.steps[count-1].unreached == unreached {
		if last := &r.steps[count-1]; now < last.until {
			last.until = max(last.until, until)
			return
		}
	}
	r.steps = append(r.steps, next)
	obsolete := max(0, len(r.steps)-maxReachSteps)
	for obsolete+1 < len(r.steps) && now-r.steps[obsolete+1].at >= reachHistorySpan {
		obsolete++
	}
	r.steps = slices.Delete(r.steps, 0, obsolete)
}

// unreachedBetween returns the integral over a span, in seconds, of the part of all hosts
// that are not reached. After hosts are reached again, they count as unreached for
// unreachedHold.
func (r *reach) unreachedBetween(from, to dfclock.Millis) float64 {
	if from >= to {
		return 0
	}
	if last := len(r.steps) - 1; last == 0 && r.steps[0].at <= from && to <= r.steps[0].until {
		return r.steps[0].unreached * seconds(to-from)
	}
	bounds := []dfclock.Millis{from, to}
	add := func(at dfclock.Millis) {
		if at > from && at < to {
			bounds = append(bounds, at)
		}
	}
	for i, step := range r.steps {
		end := dfclock.Never
		if i+1 < len(r.steps) {
			end = r.steps[i+1].at
		}
		add(step.at)
		add(step.until)
		if end != dfclock.Never {
			add(end.Add(unreachedHold))
		}
	}
	slices.Sort(bounds)
	total := 0.0
	for i := 1; i < len(bounds); i++ {
		if bounds[i] > bounds[i-1] {
			total += r.unreachedAt(bounds[i-1]) * seconds(bounds[i]-bounds[i-1])
		}
	}
	return total
}

// unreachedAt returns the part of all hosts that counts as unreached at a time.
func (r *reach) unreachedAt(at dfclock.Millis) float64 {
	if len(r.steps) == 0 || at < r.steps[0].at {
		return 1
	}
	unreached := 0.0
	for i, step := range r.steps {
		end := dfclock.Never
		if i+1 < len(r.steps) {
			end = r.steps[i+1].at
		}
		switch {
		case step.at > at || end.Add(unreachedHold) <= at:
		case step.until < end && step.until <= at:
			return 1
		default:
			unreached = math.Max(unreached, step.unreached)
		}
	}
	return unreached
}

// lender is a host that deposits its reserved share with this one.
type lender struct {
	share  float64
	until  dfclock.Millis
	sentAt dfclock.Millis
}

// pool has the reserved shares that hosts which are cut off deposited with this one.
type pool struct {
	lenders map[string]*lender
	// credit is the sum of all deposits, in seconds of the whole limit. It was
	// startCredit when the first of the lenders came.
	credit, startCredit float64
	buckets             map[string]*poolBucket
}

// poolBucket holds the tokens of one organisation for hosts that are cut off.
type poolBucket struct {
	level, credit float64
}

func newPool() pool {
	return pool{lenders: map[string]*lender{}, buckets: map[string]*poolBucket{}}
}

// deposit adds a deposit, unless it is too old or came before.
func (p *pool) deposit(now dfclock.Millis, d Deposit) {
	if d.Hosts <= 0 || now < d.AnsweredAt || now-d.AnsweredAt >= depositTTL {
		return
	}
	if p.share(now) == 0 {
		p.startCredit = p.credit
		clear(p.buckets)
	}
	known := p.lenders[d.Host]
	if known == nil {
		known = &lender{sentAt: unset}
		p.lenders[d.Host] = known
	}
	if known.sentAt == d.SentAt {
		return
	}
	known.share, known.until, known.sentAt = 1/float64(d.Hosts), d.AnsweredAt.Add(depositTTL), d.SentAt
	p.credit += known.share * seconds(min(max(0, d.Span), maxDeposit))
}

// share returns the part of all hosts that deposits with this one.
func (p *pool) share(now dfclock.Millis) float64 {
	share := 0.0
	for id, known := range p.lenders {
		if now >= known.until {
			delete(p.lenders, id)
			continue
		}
		share += known.share
	}
	return share
}

// grant gives tokens for hosts that are cut off.
func (p *pool) grant(now dfclock.Millis, want Want, limit Limit) Part {
	share := p.share(now)
	if share == 0 {
		return Part{RetryAfter: depositInterval}
	}
	b := p.buckets[want.Organisation]
	if b == nil {
		b = &poolBucket{credit: p.startCredit}
		p.buckets[want.Organisation] = b
	}
	depth, rate := limit.group(share)
	b.level = math.Min(depth, b.level+(p.credit-b.credit)*rate/share)
	b.credit = p.credit
	tokens := max(0, min(want.Tokens, int(b.level)))
	b.level -= float64(tokens)
	part := Part{Tokens: tokens}
	if tokens < want.Tokens {
		part.RetryAfter = max(dfclock.Millisecond, timeFor(1-b.level, rate))
	}
	return part
}

// reserve is the state of a host's reserved share.
type reserve struct {
	// startedAt is when the host started, or unset.
	startedAt dfclock.Millis
	// active is true while the host may use its share. hosts is the number of hosts
	// that share the limits; it does not shrink while active.
	active bool
	hosts  int
	// givenAt is the end of the time whose share was deposited, and holder where, with
	// the last deposit sent at depositedAt.
	givenAt, depositedAt dfclock.Millis
	holder               string
	// askedAt is when the holder was last asked for the sake of a deposit.
	askedAt dfclock.Millis
	// used counts the operations that the share admitted.
	used map[string]int
}

// Observe sets the time of the last contact with a majority that this host knows of, and
// the number of known hosts. It is called several times a second.
func (h *Host) Observe(now, quorumAt dfclock.Millis, hosts int) {
	r := &h.reserve
	if r.startedAt == unset {
		r.startedAt = now
	}
	age := now - quorumAt
	active := quorumAt >= 0 && age >= ReserveDelay && age < reserveTimeout && now-r.startedAt >= reserveStartDelay
	if active && !r.active {
		r.givenAt = now
	}
	if !active || hosts > r.hosts {
		r.hosts = hosts
	}
	r.active = active
}

// UsesReserve reports whether the host is cut off and uses its reserved share.
func (h *Host) UsesReserve() bool {
	return h.reserve.active
}

// TakeReserved returns how many operations of each organisation the reserved share
// admitted since the last call.
func (h *Host) TakeReserved() map[string]int {
	used := h.reserve.used
	h.reserve.used = map[string]int{}
	return used
}

// holder returns the host that grants for this one while it is cut off: the first
// candidate that answered its last ask, or this host.
func (h *Host) holder() dfmember.Host {
	for _, host := range h.ranking.holders(h.self) {
		if known := h.peers[host.ID]; known != nil && known.answered {
			return host
		}
	}
	return h.self
}

// dueHolders returns the holder if a deposit is due, and the candidates before it that
// are to be tried again.
func (h *Host) dueHolders(now dfclock.Millis) []dfmember.Host {
	r := &h.reserve
	if !r.active || r.askedAt != unset && now-r.askedAt < depositInterval {
		return nil
	}
	r.askedAt = now
	hosts := []dfmember.Host{h.holder()}
	for _, host := range h.ranking.holders(h.self) {
		known := h.peer(host.ID)
		if known.answered {
			break
		}
		if now >= known.silentUntil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// deposit returns the deposit for an ask to the holder. It is empty if none may be given
// yet.
func (h *Host) deposit(now dfclock.Millis, holder dfmember.Host) *Deposit {
	r := &h.reserve
	d := &Deposit{Host: h.self.ID, SentAt: now}
	if r.holder != holder.ID && r.depositedAt != unset && now-r.depositedAt < depositTTL {
		return d
	}
	d.AnsweredAt = now
	if holder.ID != h.self.ID {
		d.AnsweredAt = h.peer(holder.ID).answeredAt
	}
	d.Hosts, d.Span = r.hosts, min(now-r.givenAt, maxDeposit)
	r.givenAt, r.depositedAt, r.holder = now, now, holder.ID
	return d
}

// single reports whether this host may send one operation of an organisation although
// its group has no token, and takes the permission for a window. Only the first hosts by
// rank have it.
func (h *Host) single(now dfclock.Millis, organisation string, a *account) bool {
	limit := h.limits[organisation]
	if a.singleAt != unset && now-a.singleAt < limit.interimPause() || h.ranking.position(organisation, h.self) >= limit.singles() {
		return false
	}
	a.singleAt = now
	return true
}
