package dfconnection

const (
	// usablePercent is the percentage of an upstream's connection limit that all
	// hosts use together. The upstream counts the connections of hosts that lost
	// power for another 3 s, during which the restarted hosts need the rest.
	usablePercent = 60
	// connectionsPerSlot bounds the connections of all hosts, per slot of the
	// upstream. Statements in a longer queue would be late, and upstreams refuse
	// them.
	connectionsPerSlot = 8
	// burstPercent is the percentage of its data centre's share that one host may
	// use as long as the upstream accepts more connections. If each host could use
	// the whole share, hosts that restart after a power loss would get none.
	burstPercent = 25
)

// Usable returns how many connections all hosts together use of an upstream's
// limit.
func Usable(limit int) int {
	return limit * usablePercent / 100
}

// Share calculates how many connections one host may hold to an upstream. It is
// designed for loads that come in bursts from a few hosts, and for the seconds
// after a power loss, when the upstream still counts connections from before
// it.
type Share struct {
	// Limit is the number of connections that the upstream accepts from all hosts.
	Limit int
	// Slots is the number of statements that the upstream runs concurrently, or 0 if
	// unknown.
	Slots int
	// Hosts and DataCentres are the numbers of hosts and data centres that share the
	// upstream. Both are at least 1.
	Hosts       int
	DataCentres int
	// AtLimit is true if the upstream recently refused a connection.
	AtLimit bool
}

// Connections returns how many connections one host may hold: an equal share, and
// more in a burst unless the upstream is at its limit.
func (s Share) Connections() int {
	usable := max(1, Usable(s.Limit))
	if s.Slots > 0 {
		usable = min(usable, s.Slots*connectionsPerSlot)
	}
	equal := max(1, usable/s.Hosts)
	if s.AtLimit {
		return equal
	}
	return max(equal, usable*burstPercent/100/s.DataCentres+1)
}

// HasSpare reports whether the upstream has room for an idle connection of each
// host in addition to those in use.
func (s Share) HasSpare() bool {
	return s.Limit-s.Hosts >= s.Slots*connectionsPerSlot
}
