package dfneighbour

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// Touches returns, for this host and the others of its data centre, the time
// since each knew what this host knew. Hosts that never asked are left out.
func (c *Circle) Touches(now dfclock.Millis) []dfclock.Millis {
	ages := []dfclock.Millis{0}
	for _, known := range c.neighbours {
		if known.host.DataCentre == c.self.DataCentre && known.touchedAt != never {
			ages = append(ages, now-known.touchedAt)
		}
	}
	return ages
}

// QuorumAt returns the latest instant at which this host knew what a majority of
// the hosts knew, by itself or from its speaker, or a negative value. Whatever a
// majority was told later than that may be unknown here.
func (c *Circle) QuorumAt(now dfclock.Millis) dfclock.Millis {
	if speaker := c.neighbours[c.Speakers(now)[c.self.DataCentre].Address]; speaker != nil {
		return max(speaker.quorumAt, c.ownQuorumAt(now))
	}
	return c.ownQuorumAt(now)
}

// ownQuorumAt counts the hosts that this host is in touch with as a speaker.
func (c *Circle) ownQuorumAt(now dfclock.Millis) dfclock.Millis {
	instants := make([]dfclock.Millis, 0, len(c.neighbours)+1)
	for _, age := range c.Touches(now) {
		instants = append(instants, now-age)
	}
	total := 1
	// Of two hosts that spoke for a data centre one after the other only the newer
	// counts: both counted the same hosts.
	newest := map[string]*neighbour{}
	for _, known := range c.neighbours {
		if known.host.ID == "" {
			continue
		}
		total++
		dataCentre := known.host.DataCentre
		if dataCentre != c.self.DataCentre && (newest[dataCentre] == nil || newest[dataCentre].heardAt < known.heardAt) {
			newest[dataCentre] = known
		}
	}
	for _, speaker := range newest {
		instants = append(instants, speaker.touches...)
	}
	majority := total/2 + 1
	if len(instants) < majority {
		return never
	}
	slices.Sort(instants)
	return instants[len(instants)-majority]
}

// Others returns the other hosts that are known by name.
func (c *Circle) Others() []dfmember.Host {
	hosts := make([]dfmember.Host, 0, len(c.neighbours))
	for _, known := range c.neighbours {
		if known.host.ID != "" {
			hosts = append(hosts, known.host)
		}
	}
	return hosts
}
