// Package dfrevocation decides when a replaced leader can no longer serve on a
// platform that does not check fencing tokens. On such a platform a replaced
// leader continues until it learns of its successor, so the hosts revoke it
// themselves: a host uses a leader only under a lease, which it holds while it is
// in contact with a majority of the hosts, and the host that replaces the leader
// first revokes the leases and waits until the unconfirmed ones have expired.
package dfrevocation

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

const (
	// LeaseSpan is how long a host may use a leader after its last contact with a
	// majority of the hosts. Contact takes up to 1 s to propagate through two
	// speakers; the rest allows for one lost exchange.
	LeaseSpan = 1500 * dfclock.Millisecond
	// RevocationTimeout bounds a revocation: the term of a lease and the exchanges
	// that end it.
	RevocationTimeout = LeaseSpan + 700*dfclock.Millisecond
	// PromiseSpan is how long a host that accepted a notice refuses notices of
	// other holders. The holder sends no promotion after this span, which it counts
	// from before its first notice.
	PromiseSpan = 3 * dfclock.Second
	// targetPromiseSpan is the same for notices with another target. A promotion
	// that is carried out late would otherwise replace a newer leader.
	targetPromiseSpan = 5 * dfclock.Second
)

// Notice asks a host to stop using leaders of a service whose term is lower than
// Term.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Holder is the host that replaces the leader, and Target the next leader.
	Holder string
	Target dffleet.ID
	// Epoch is the fencing token of the promotion that follows.
	Epoch uint64
	// Term is the lowest term that may lead from now on.
	Term dfposition.Term
	// Released is true if the holder will send no promotion under the epoch.
	Released bool
}

// Reply answers a notice.
type Reply struct {
	_ struct{} `cbor:",toarray"`
	// Accepted is true if the host no longer uses a leader below the notice's term.
	Accepted bool
	// Term is the lowest term that the host accepts as leading.
	Term dfposition.Term
}

// Voter holds the promises of a host for one service. The zero value has none.
type Voter struct {
	// epoch and term never decrease.
	epoch uint64
	term  dfposition.Term
	// lowestEpoch is the lowest epoch of notices that are accepted; it never decreases.
	lowestEpoch uint64
	// holder and target are those of the notice accepted at acceptedAt; holder is
	// empty if there is none.
	holder     string
	target     dffleet.ID
	acceptedAt dfclock.Millis
}

// Epoch returns the highest epoch that was accepted.
func (v Voter) Epoch() uint64 {
	return v.epoch
}

// WithTerm returns the voter after it learned of a term.
func (v Voter) WithTerm(term dfposition.Term) Voter {
	v.term = max(v.term, term)
	return v
}

// WithEpoch returns the voter after it learned that an epoch was accepted.
func (v Voter) WithEpoch(epoch uint64) Voter {
	v.epoch = max(v.epoch, epoch)
	return v
}

// WithLowestEpoch returns the voter that refuses notices of lower epochs from now on.
func (v Voter) WithLowestEpoch(epoch uint64) Voter {
	v.lowestEpoch = max(v.lowestEpoch, epoch)
	return v
}

// WithClaim returns the voter of a host that starts and finds a claim in the
// platform's table. The host may have promised the claim's epoch before it
// restarted. A claim without a target belongs to no promotion.
func (v Voter) WithClaim(now dfclock.Millis, claim Notice) Voter {
	if claim.Epoch <= v.epoch || claim.Target == "" {
		return v.WithTerm(claim.Term).WithEpoch(claim.Epoch)
	}
	v.epoch, v.term = claim.Epoch, max(v.term, claim.Term)
	v.holder, v.target, v.acceptedAt = claim.Holder, claim.Target, now
	return v
}

// WithNotice returns the voter after a notice, and its reply. A notice is refused
// if one with a higher epoch was accepted, if its epoch is below the lowest one, if its
// term already had a leader, or while it conflicts with a promise to another holder.
func (v Voter) WithNotice(now dfclock.Millis, notice Notice, led dfposition.Term) (Voter, Reply) {
	if notice.Released {
		if notice.Epoch == v.epoch && notice.Holder == v.holder {
			v.acceptedAt = now - targetPromiseSpan
		}
		return v, Reply{Accepted: true, Term: v.term}
	}
	if notice.Epoch < max(v.epoch, v.lowestEpoch) || notice.Term <= led || notice.Term < v.term || v.conflicts(now, notice, led) {
		return v, Reply{Term: max(v.term, led)}
	}
	v.epoch, v.term = notice.Epoch, notice.Term
	v.holder, v.target, v.acceptedAt = notice.Holder, notice.Target, now
	return v, Reply{Accepted: true, Term: v.term}
}

// conflicts reports whether another holder may still send a promotion, or whether
// its promotion of another target may still be carried out.
func (v Voter) conflicts(now dfclock.Millis, notice Notice, led dfposition.Term) bool {
	if v.holder == "" || notice.Holder == v.holder || led >= v.term {
		return false
	}
	age := now - v.acceptedAt
	return age < PromiseSpan || notice.Target != v.target && age < targetPromiseSpan
}

// Event is a reply to a revocation, or the failure to get one.
type Event interface{ event() }

// Accepted reports that a host confirmed the notice.
type Accepted struct{ Host string }

// Refused reports that a host refused the notice.
type Refused struct{}

// Gone reports that no process runs at a host's address. A process that starts
// there later has no lease.
type Gone struct{ Host string }

// Demoted reports that the replaced leader confirmed that it is a replica now.
type Demoted struct{}

func (Accepted) event() {}
func (Refused) event()  {}
func (Gone) event()     {}
func (Demoted) event()  {}

// Verdict is the state of a revocation.
type Verdict int

const (
	// Pending means that the replaced leader may still be in use.
	Pending Verdict = iota
	// Clear means that no host uses the replaced leader any more.
	Clear
	// Failed means that the revocation can't succeed.
	Failed
)

// Tally counts the replies to one notice. It is not safe for concurrent use.
type Tally struct {
	startedAt dfclock.Millis
	// hosts are all hosts that may hold a lease, with true for those that confirmed.
	hosts map[string]bool
	// majorityAt is when a majority had confirmed, or Never. Leases of the other
	// hosts can't have been renewed after it.
	majorityAt dfclock.Millis
	refused    bool
	demoted    bool
}

// NewTally returns the tally of a notice that is sent to hosts.
func NewTally(now dfclock.Millis, hosts []string) *Tally {
	t := &Tally{startedAt: now, hosts: make(map[string]bool, len(hosts)), majorityAt: dfclock.Never}
	for _, host := range hosts {
		t.hosts[host] = false
	}
	return t
}

// Handle processes an event.
func (t *Tally) Handle(now dfclock.Millis, event Event) {
	switch e := event.(type) {
	case Accepted:
		if _, known := t.hosts[e.Host]; known {
			t.hosts[e.Host] = true
		}
	case Gone:
		delete(t.hosts, e.Host)
	case Refused:
		t.refused = true
	case Demoted:
		t.demoted = true
	}
	if t.majorityAt == dfclock.Never && t.confirmed()*2 > len(t.hosts) {
		t.majorityAt = now
	}
}

// Verdict reports whether the promotion may be sent. A majority is always needed,
// because it keeps two holders from sending promotions at the same time.
func (t *Tally) Verdict(now dfclock.Millis) Verdict {
	switch {
	case t.refused:
		return Failed
	case t.majorityAt != dfclock.Never &&
		(t.demoted || t.confirmed() == len(t.hosts) || now-t.majorityAt >= LeaseSpan):
		return Clear
	case now-t.startedAt >= RevocationTimeout:
		return Failed
	}
	return Pending
}

// Unconfirmed returns the hosts that have not confirmed yet.
func (t *Tally) Unconfirmed() []string {
	var unconfirmed []string
	for host, confirmed := range t.hosts {
		if !confirmed {
			unconfirmed = append(unconfirmed, host)
		}
	}
	return unconfirmed
}

func (t *Tally) confirmed() int {
	confirmed := 0
	for _, yes := range t.hosts {
		if yes {
			confirmed++
		}
	}
	return confirmed
}
