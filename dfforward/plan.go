// Package dfforward lets hosts of a data centre share the connections to an
// upstream that accepts fewer of them than there are hosts. A few hosts carry
// the connections and run statements for the others.
package dfforward

const (
	// connectionsEach is how many connections a carrier should be able to hold:
	// enough for statements beside some transactions that rest.
	connectionsEach = 4
	// maxCarriers bounds the carriers of a data centre for one upstream. Few of
	// them keep connections warm; more than one keeps the upstream in reach when
	// a host is lost.
	maxCarriers = 3
)

// Plan tells how the hosts share the connections to one upstream.
type Plan struct {
	// Carriers is the number of hosts in each data centre that hold connections,
	// or zero if every host holds its own.
	Carriers int
	// Each is the limit of connections of a carrier, or zero likewise.
	Each int
}

// NewPlan divides the usable connections of an upstream. It answers loads of
// many hosts that each send few statements to an upstream: connections of their
// own would be refused, or be opened anew for most statements.
func NewPlan(usable, hosts, dataCentres int) Plan {
	if usable >= hosts || dataCentres < 1 {
		return Plan{}
	}
	carriers := min(maxCarriers, max(1, usable/(dataCentres*connectionsEach)))
	return Plan{Carriers: carriers, Each: max(1, usable/(dataCentres*carriers))}
}

// Shared reports whether statements are forwarded.
func (p Plan) Shared() bool {
	return p.Carriers > 0
}
