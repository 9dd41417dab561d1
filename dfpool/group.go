package dfpool

// group counts the connections and waiters of one organisation.
type group struct {
	// organisation is empty for connections and waiters of no organisation.
	organisation string
	// counts has the number of connections by state.
	counts  [closing + 1]int
	waiting int
	// wanted is the number of connections to open, while openForWaiters runs.
	wanted int
}

// total returns the number of connections in all states.
func (g *group) total() int {
	return g.counts[opening] + g.counts[idle] + g.counts[inUse] + g.counts[probing] + g.counts[closing]
}

// groupOf returns the group of an organisation.
func (p *Pool) groupOf(organisation string) *group {
	g := p.groups[organisation]
	if g == nil {
		g = &group{organisation: organisation}
		p.groups[organisation] = g
	}
	return g
}

// removeEmptyGroups forgets organisations without connections and waiters, so that
// their number stays bounded.
func (p *Pool) removeEmptyGroups() {
	for name, g := range p.groups {
		if g.waiting == 0 && g.total() == 0 {
			delete(p.groups, name)
		}
	}
}
