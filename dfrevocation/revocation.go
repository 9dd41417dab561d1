// Package dfrevocation decides when a replaced leader can no longer serve on a
// platform that does not check fencing tokens. There a replaced leader goes on
// until it learns of its successor, so the hosts take its lead away themselves:
// a host uses a leader only under a lease, which it holds while it is in touch
// with a majority of the hosts, and whoever replaces the leader first revokes the
// leases and waits out those that are not confirmed.
package dfrevocation

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

const (
	// LeaseSpan is how long a host may use a leader after it was last in touch
	// with a majority of the hosts. Contact takes up to 1 s to travel through two
	// speakers; the rest bridges one exchange that is lost.
	LeaseSpan = 1500 * dfclock.Millisecond
	// Patience bounds a revocation: a lease and the exchanges that end it.
	RevocationTimeout = LeaseSpan + 700*dfclock.Millisecond
	// HoldSpan is how long a host that accepted a notice refuses those of other
	// holders. Whoever holds the promise sends no order after it, counted from
	// before the first notice.
	PromiseSpan = 3 * dfclock.Second
	// targetSpan is the same for notices with another target: an order that is
	// carried out late would otherwise replace a newer leader.
	targetPromiseSpan = 5 * dfclock.Second
)

// Notice asks a host to stop using the leaders of a service below a term.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Holder is the host that replaces the leader, and Target the next leader.
	Holder string
	Target dffleet.ID
	// Epoch is the fencing token of the order that follows.
	Epoch uint64
	// Term is the lowest term that may lead from now on.
	Term dfposition.Term
	// Released is true once the holder sends no order under the epoch.
	Released bool
}

// Reply answers a notice.
type Reply struct {
	_ struct{} `cbor:",toarray"`
	// Accepted is true if the host uses no leader below the notice's term any more.
	Accepted bool
	// Term is the lowest term that the host lets lead.
	Term dfposition.Term
}

// Voter is what a host promised for one service. The zero value promised nothing.
type Voter struct {
	// epoch and term never fall.
	epoch uint64
	term  dfposition.Term
	// holder and target are of the notice that was accepted at an instant; holder is
	// empty if none was.
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

// WithEpoch returns the voter after it learned that an epoch was promised.
func (v Voter) WithEpoch(epoch uint64) Voter {
	v.epoch = max(v.epoch, epoch)
	return v
}

// WithClaim returns the voter of a host that starts and finds a claim in the
// platform's table: it may have promised the claim's epoch in an earlier life. A
// claim without a target stands for no order.
func (v Voter) WithClaim(now dfclock.Millis, claim Notice) Voter {
	if claim.Epoch <= v.epoch || claim.Target == "" {
		return v.WithTerm(claim.Term).WithEpoch(claim.Epoch)
	}
	return Voter{
		epoch: claim.Epoch, term: max(v.term, claim.Term), holder: claim.Holder, target: claim.Target, acceptedAt: now,
	}
}

// WithNotice returns the voter after a notice, and its reply. A notice is refused
// if a newer one was accepted, if its term has a leader already, or while another
// host's order for another target may still be carried out.
func (v Voter) WithNotice(now dfclock.Millis, notice Notice, led dfposition.Term) (Voter, Reply) {
	if notice.Released {
		if notice.Epoch == v.epoch && notice.Holder == v.holder {
			v.acceptedAt = now - targetPromiseSpan
		}
		return v, Reply{Accepted: true, Term: v.term}
	}
	if notice.Epoch < v.epoch || notice.Term <= led || notice.Term < v.term || v.conflicts(now, notice, led) {
		return v, Reply{Term: max(v.term, led)}
	}
	v.epoch, v.term = notice.Epoch, notice.Term
	v.holder, v.target, v.acceptedAt = notice.Holder, notice.Target, now
	return v, Reply{Accepted: true, Term: v.term}
}

// promised reports whether an order of another holder may still be sent, or be
// carried out for another target.
func (v Voter) conflicts(now dfclock.Millis, notice Notice, led dfposition.Term) bool {
	if v.holder == "" || notice.Holder == v.holder || led >= v.term {
		return false
	}
	age := now - v.acceptedAt
	return age < PromiseSpan || notice.Target != v.target && age < targetPromiseSpan
}

// Event is news of a revocation.
type Event interface{ event() }

// Accepted tells that a host confirmed the notice.
type Accepted struct{ Host string }

// Refused tells that a host refused it.
type Refused struct{}

// Gone tells that no process runs at a host's address. A process that starts
// there later has no lease.
type Gone struct{ Host string }

// Demoted tells that the replaced leader confirmed that it follows.
type Demoted struct{}

func (Accepted) event() {}
func (Refused) event()  {}
func (Gone) event()     {}
func (Demoted) event()  {}

// Verdict is the state of a revocation.
type Verdict int

// Verdicts.
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
	// hosts has every host that may hold a lease; true are those that confirmed.
	hosts map[string]bool
	// majorityAt is when a majority had confirmed, or Never. Leases that other
	// hosts hold were not renewed after it.
	majorityAt dfclock.Millis
	refused    bool
	demoted    bool
}

// NewTally returns the tally of a notice to hosts.
func NewTally(now dfclock.Millis, hosts []string) *Tally {
	t := &Tally{startedAt: now, hosts: make(map[string]bool, len(hosts)), majorityAt: dfclock.Never}
	for _, host := range hosts {
		t.hosts[host] = false
	}
	return t
}

// Handle takes an event.
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

// Verdict tells whether the order may be sent. A majority is needed in any case:
// it keeps two holders from sending orders at the same time.
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

// Open returns the hosts that have not confirmed yet.
func (t *Tally) Unconfirmed() []string {
	var open []string
	for host, confirmed := range t.hosts {
		if !confirmed {
			open = append(open, host)
		}
	}
	return open
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
