package dfconnection

const (
	// usableShare is the part of an upstream's limit, in percent, that all hosts
	// use together. Connections of hosts that lost power count for 3 s longer, and
	// the restarted hosts need the rest meanwhile.
	usableShare = 60
	// slotQueue times the slots of an upstream is the number of connections that
	// all hosts use together at most: statements behind a longer queue would be
	// late, and upstreams refuse them.
	slotQueue = 8
	// burstShare is the part of a data centre's share that one host may use while
	// the upstream accepts it. The whole share of each host at once would leave
	// nothing for hosts that come back after a loss of power.
	burstShare = 25
)

// Usable returns how many of the connections that an upstream accepts all hosts
// use together.
func Usable(limit int) int {
	return limit * usableShare / 100
}

// Share is what decides how many connections one host may hold to an upstream.
// It answers loads of a few hosts in bursts, and the seconds after a loss of
// power, when the upstream still counts the connections of the hosts before.
type Share struct {
	// Limit is the number of connections that the upstream accepts from all hosts.
	Limit int
	// Slots is how many statements the upstream runs at one time, or 0.
	Slots int
	// Hosts and DataCentres share the upstream; both are at least 1.
	Hosts       int
	DataCentres int
	// Full is true if the upstream refused a connection lately.
	Full bool
}

// Connections returns what one host may hold: its equal share, and more in a
// burst unless the upstream is full.
func (s Share) Connections() int {
	usable := max(1, Usable(s.Limit))
	if s.Slots > 0 {
		usable = min(usable, s.Slots*slotQueue)
	}
	equal := max(1, usable/s.Hosts)
	if s.Full {
		return equal
	}
	return max(equal, usable*burstShare/100/s.DataCentres+1)
}

// Spacious reports whether the upstream has room for an idle connection of each
// host beside those in use.
func (s Share) Spacious() bool {
	return s.Limit-s.Hosts >= s.Slots*slotQueue
}
