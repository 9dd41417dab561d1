package dfquota

import (
	"math"
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// unset is a time before any other, for events that have not happened.
const unset dfclock.Millis = -1

// bucket holds the tokens of one organisation.
type bucket struct {
	// level is the number of tokens at the time at.
	level float64
	at    dfclock.Millis
	// missedAt is when the last host before this one was missed, or unset if there is
	// none. It identifies the ownership.
	missedAt dfclock.Millis
	// granting is false after the host lost the right to grant. A new ownership
	// starts with an empty bucket.
	granting bool
	// interim counts the tokens granted at the interim rate, until interimPause after
	// interimAt, the time of the last of them.
	interim   float64
	interimAt dfclock.Millis
}

// predecessor is the state of a host that ranks before this one for an organisation.
type predecessor struct {
	host dfmember.Host
	// wantedAt is when this host last needed the state, or unset, watchedAt when
	// another host did, and checkedAt when it was last observed.
	wantedAt, watchedAt, checkedAt dfclock.Millis
	// missedAt is when the host was first observed not to grant, or unset while it
	// grants.
	missedAt dfclock.Millis
	// witnessedAt is when other hosts were last asked whether they reach the host, and
	// reachedAt when one last answered that it does.
	witnessedAt, reachedAt dfclock.Millis
}

// Owner grants the tokens of the organisations that this host owns. It is not safe
// for concurrent use.
type Owner struct {
	self    string
	version uint64
	limits  map[string]Limit
	// limitedAt is when the limits last changed, and rankedAt when the hosts did.
	limitedAt, rankedAt dfclock.Millis
	ranking             ranking
	// quorumAt is the last contact with a majority. readyAt is when the host may
	// grant, or Never.
	quorumAt, readyAt dfclock.Millis
	buckets           map[string]*bucket
	predecessors      map[string]*predecessor
}

// NewOwner returns the owner part of a host. It grants nothing before Observe.
func NewOwner(self string) *Owner {
	return &Owner{
		self: self, quorumAt: unset, readyAt: dfclock.Never,
		buckets: map[string]*bucket{}, predecessors: map[string]*predecessor{},
	}
}

// SetLimits adopts the limits of a version of the desired state.
func (o *Owner) SetLimits(now dfclock.Millis, version uint64, limits map[string]Limit) {
	for name, b := range o.buckets {
		limit, ok := limits[name]
		if !ok {
			delete(o.buckets, name)
			continue
		}
		b.fill(now, o.limits[name])
		b.level = math.Min(b.level, limit.Depth())
	}
	for name := range limits {
		if _, known := o.limits[name]; !known && o.limits != nil {
			o.buckets[name] = &bucket{at: now, missedAt: unset, interimAt: unset, granting: true}
		}
	}
	if o.limits == nil {
		o.limitedAt = now
	}
	o.version, o.limits = version, limits
}

// SetHosts sets all known hosts, including this one.
func (o *Owner) SetHosts(now dfclock.Millis, hosts []dfmember.Host) {
	if !o.ranking.set(hosts) {
		return
	}
	o.rankedAt = now
	for name, b := range o.buckets {
		if before, ok := o.before(name); !ok || len(before) > 0 && b.missedAt == unset {
			b.granting = false
		}
	}
}

// Observe sets when the host was last in contact with a majority of the hosts, and when
// another host first answered it, or a negative value. It is called several times within
// QuorumTTL. A host that lost the majority, or could not run meanwhile, starts again with
// empty buckets.
func (o *Owner) Observe(now, quorumAt, heardAt dfclock.Millis) {
	lapsed := o.quorumAt == unset || now-o.quorumAt >= QuorumTTL
	// Others learn of a host from the one that first answered it, and know it for longer
	// than forgottenSpan.
	settlingSince := now
	if heardAt >= 0 && (o.quorumAt == unset || now-o.quorumAt < forgottenSpan) {
		settlingSince = min(now, max(quorumAt, heardAt))
	}
	o.quorumAt = max(o.quorumAt, quorumAt)
	if lapsed {
		o.readyAt = dfclock.Never
		for _, b := range o.buckets {
			b.granting = false
		}
	}
	if o.readyAt == dfclock.Never && o.quorumAt != unset && now-o.quorumAt < QuorumTTL {
		o.readyAt = max(now, settlingSince.Add(settleDelay))
	}
}

// Ready reports whether the host may grant.
func (o *Owner) Ready(now dfclock.Millis) bool {
	return now.Reached(o.readyAt) && now-o.quorumAt < QuorumTTL
}

// Handle answers an ask.
func (o *Owner) Handle(now dfclock.Millis, ask Ask) Grant {
	grant := Grant{Version: o.version, Ready: o.Ready(now)}
	if !grant.Ready && o.readyAt != dfclock.Never && now-o.quorumAt < QuorumTTL {
		grant.ReadyIn = o.readyAt - now
	}
	for _, id := range ask.Missed[:min(len(ask.Missed), maxMissed)] {
		known := o.predecessor(id)
		if known == nil {
			continue
		}
		known.watchedAt = now
		if known.missedAt == unset && known.checkedAt != unset && now-known.checkedAt < probeMaxAge {
			grant.Reached = append(grant.Reached, id)
		}
	}
	for _, want := range ask.Wants {
		grant.Parts = append(grant.Parts, o.grant(now, want, grant.Ready))
	}
	return grant
}

func (o *Owner) grant(now dfclock.Millis, want Want, ready bool) Part {
	limit, limited := o.limits[want.Organisation]
	missedAt, entitled := unset, false
	if ready && limited {
		missedAt, entitled = o.entitled(now, want.Organisation)
	}
	if !entitled {
		if b := o.buckets[want.Organisation]; b != nil {
			b.granting = false
		}
		return Part{Declined: true, RetryAfter: probeInterval}
	}
	b := o.bucket(want.Organisation, missedAt)
	b.fill(now, limit)
	available, rate := b.level, limit.RefillRate()
	interim := missedAt != unset && now-missedAt < QuorumTTL
	if interim {
		if now-b.interimAt >= limit.interimPause() {
			b.interim = 0
		}
		available = math.Min(available, limit.interimTokens()-b.interim)
		rate *= interimShare
	}
	tokens := max(0, min(want.Tokens, int(available)))
	b.level -= float64(tokens)
	if interim && tokens > 0 {
		b.interim += float64(tokens)
		b.interimAt = now
	}
	part := Part{Tokens: tokens}
	if tokens < want.Tokens {
		part.RetryAfter = max(dfclock.Millisecond, timeFor(1-b.level, rate))
	}
	return part
}

// bucket returns the bucket of an organisation that this host owns. The bucket of a
// new ownership is empty when the ownership begins.
func (o *Owner) bucket(name string, missedAt dfclock.Millis) *bucket {
	b := o.buckets[name]
	if b == nil {
		b = &bucket{missedAt: missedAt, interimAt: unset}
		o.buckets[name] = b
	}
	if !b.granting || missedAt != unset && missedAt != b.missedAt {
		b.level, b.at, b.granting = 0, max(o.readyAt, o.rankedAt, o.limitedAt, missedAt), true
	}
	b.missedAt = missedAt
	return b
}

// fill adds the tokens since the last call. Before QuorumTTL has passed since the host
// before was missed, they come at the interim rate.
func (b *bucket) fill(now dfclock.Millis, limit Limit) {
	span := max(0, now-b.at)
	interim := dfclock.Millis(0)
	if b.missedAt != unset {
		interim = min(span, max(0, b.missedAt.Add(QuorumTTL)-b.at))
	}
	b.level = math.Min(limit.Depth(), b.level+limit.RefillRate()*(seconds(span-interim)+interimShare*seconds(interim)))
	b.at = max(b.at, now)
}

// entitled reports whether this host grants the tokens of an organisation: it is the
// first by rank, or none of the hosts before it grants. missedAt is when the last of
// them was missed, or unset if there is none.
func (o *Owner) entitled(now dfclock.Millis, organisation string) (missedAt dfclock.Millis, ok bool) {
	before, ok := o.before(organisation)
	if !ok {
		return unset, false
	}
	missedAt = unset
	for _, index := range before {
		known := o.predecessor(o.ranking.hosts[index].ID)
		known.wantedAt = now
		if known.checkedAt == unset || known.missedAt == unset || now-known.checkedAt >= probeMaxAge {
			ok = false
		}
		// A host that others reach may still grant to them.
		if now-known.missedAt >= QuorumTTL && known.reachedAt != unset && now-known.reachedAt < reachedMaxAge {
			ok = false
		}
		missedAt = max(missedAt, known.missedAt)
	}
	// Only the second by rank grants at the interim rate, so that no more than two
	// hosts grant at the same time.
	if len(before) > 1 && now-missedAt < QuorumTTL {
		ok = false
	}
	return missedAt, ok
}

// predecessor returns the state of another host, or nil if the host is not known.
func (o *Owner) predecessor(id string) *predecessor {
	index, ok := o.ranking.find(id)
	if !ok || id == o.self {
		return nil
	}
	known := o.predecessors[id]
	if known == nil {
		known = &predecessor{wantedAt: unset, watchedAt: unset, checkedAt: unset, missedAt: unset, witnessedAt: unset, reachedAt: unset}
		o.predecessors[id] = known
	}
	known.host = o.ranking.hosts[index]
	return known
}

// before returns the candidates before this host. ok is false if it is none itself.
func (o *Owner) before(organisation string) (before []uint16, ok bool) {
	candidates := o.ranking.of(organisation)
	for i, index := range candidates {
		if o.ranking.hosts[index].ID == o.self {
			return candidates[:i], true
		}
	}
	return nil, false
}

// Probes returns the hosts to ask: those whose state is needed and not known well
// enough, and a host of each data centre that tells whether it reaches the missed ones.
func (o *Owner) Probes(now dfclock.Millis) []dfmember.Host {
	var hosts []dfmember.Host
	for id, known := range o.predecessors {
		wanted := known.isWanted(now)
		if !wanted && (known.watchedAt == unset || now-known.watchedAt >= dfclock.Second) {
			delete(o.predecessors, id)
			continue
		}
		interval := witnessInterval
		if wanted {
			interval = probeInterval
		}
		if known.checkedAt == unset || now-known.checkedAt >= interval {
			hosts = append(hosts, known.host)
		}
		if wanted && known.missedAt != unset && now-known.witnessedAt >= witnessInterval {
			known.witnessedAt = now
			for _, witnesses := range dfmember.ChoosePerDataCentre("quota/"+id, o.ranking.without(id, o.self), 1) {
				hosts = append(hosts, witnesses...)
			}
		}
	}
	return hosts
}

// isWanted reports whether this host needs the state.
func (p *predecessor) isWanted(now dfclock.Millis) bool {
	return p.wantedAt != unset && now-p.wantedAt < probeTimeout
}

// Missed returns the IDs of the hosts that this host needs and misses.
func (o *Owner) Missed(now dfclock.Millis) []string {
	var missed []string
	for id, known := range o.predecessors {
		if known.missedAt != unset && known.isWanted(now) && len(missed) < maxMissed {
			missed = append(missed, id)
		}
	}
	slices.Sort(missed)
	return missed
}

// Probed records whether a host answered an ask and grants tokens, and which hosts it
// reaches. A gap between two observations begins a new absence, since the host may
// have granted in between.
func (o *Owner) Probed(now dfclock.Millis, host string, grants bool, reached []string) {
	for _, id := range reached {
		if known := o.predecessors[id]; known != nil {
			known.reachedAt = now
		}
	}
	known := o.predecessors[host]
	if known == nil {
		return
	}
	switch {
	case grants:
		known.missedAt = unset
		o.yield(host)
	case known.missedAt == unset || now-known.checkedAt >= probeMaxAge:
		known.missedAt = now
	}
	known.checkedAt = now
}

// yield stops the grants in place of a host that grants again.
func (o *Owner) yield(host string) {
	for name, b := range o.buckets {
		if b.missedAt == unset || !b.granting {
			continue
		}
		before, _ := o.before(name)
		for _, index := range before {
			if o.ranking.hosts[index].ID == host {
				b.granting = false
			}
		}
	}
}

// Replacing counts the organisations whose tokens the host grants in place of others.
func (o *Owner) Replacing() int {
	count := 0
	for _, b := range o.buckets {
		if b.granting && b.missedAt != unset {
			count++
		}
	}
	return count
}
