// Package dfforward forwards statements between hosts, so that they can share an
// upstream that accepts fewer connections than there are hosts. A few hosts, the
// carriers, hold the connections and run statements for the others: for those of
// their data centre, or for all where connections belong to organisations.
package dfforward

const (
	// targetConnectionsPerCarrier is how many connections a carrier should be able
	// to hold. It is enough for statements while some transactions are idle.
	targetConnectionsPerCarrier = 4
	// maxCarriers bounds the carriers of a data centre for one upstream. With few
	// carriers, connections are reused often; with more than one, the upstream stays
	// reachable if a host fails.
	maxCarriers = 3
	// statementsPerSlot is how many statements are sent to an upstream for each of its
	// slots. The second one starts without a round trip when the first one ends.
	statementsPerSlot = 2
	// MaxOrganisationCarriers bounds the carriers of an upstream whose connections
	// belong to organisations. If each data centre had carriers of its own, there would
	// be more organisations than connections at each, and most statements would open
	// one.
	MaxOrganisationCarriers = 3
)

// Plan is how the hosts share the connections to one upstream.
type Plan struct {
	// Carriers is the number of hosts that hold connections, or zero if every host
	// holds its own. They are hosts of each data centre, or with AllDataCentres of the
	// upstream's data centre.
	Carriers int
	// ConnectionsPerCarrier is the connection limit of a carrier, or zero if every
	// host holds its own connections.
	ConnectionsPerCarrier int
	// AllDataCentres is true if the carriers run the statements of all data centres.
	// Otherwise DataCentres is the number of data centres that have carriers.
	AllDataCentres bool
	DataCentres    int
}

// NewPlan divides the usable connections of an upstream. It is designed for
// loads of many hosts that each send few statements to an upstream: connections
// of their own would be refused, or opened anew for most statements.
func NewPlan(usable, hosts, dataCentres int) Plan {
	if usable >= hosts || dataCentres < 1 {
		return Plan{}
	}
	carriers := min(maxCarriers, max(1, usable/(dataCentres*targetConnectionsPerCarrier)))
	return Plan{Carriers: carriers, ConnectionsPerCarrier: max(1, usable/(dataCentres*carriers)), DataCentres: dataCentres}
}

// NewOrganisationPlan divides the usable connections of an upstream whose
// connections belong to organisations. The hosts of all data centres share its
// carriers.
func NewOrganisationPlan(usable, hosts int) Plan {
	if usable >= hosts {
		return Plan{}
	}
	carriers := min(MaxOrganisationCarriers, max(1, usable))
	return Plan{Carriers: carriers, ConnectionsPerCarrier: max(1, usable/carriers), AllDataCentres: true}
}

// Shared reports whether statements are forwarded.
func (p Plan) Shared() bool {
	return p.Carriers > 0
}

// StatementsPerCarrier returns how many statements a carrier may run at once at an
// upstream. The carriers of one data centre can use all slots; all carriers together
// send about statementsPerSlot for each slot, so that the upstream's own queue, which
// knows no priorities, stays short. It is zero if every host sends its own statements
// or the slots are unknown.
func (p Plan) StatementsPerCarrier(slots int) int {
	if !p.Shared() || slots <= 0 {
		return 0
	}
	total := p.Carriers
	if !p.AllDataCentres {
		total *= p.DataCentres
	}
	return max((slots+p.Carriers-1)/p.Carriers, (statementsPerSlot*slots+total-1)/total)
}
