package dfneighbour

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// touchKey stands for a host in messages. Two hosts of one key count as one, so
// that a majority is never taken for larger than it is.
func touchKey(address string) uint32 {
	return uint32(xxhash.Sum64String(address)) // #nosec G115 -- the lower half is a hash as well
}

func (c *Circle) touch(host uint32, at dfclock.Millis) {
	if known, ok := c.touched[host]; !ok || known < at {
		c.touched[host] = at
	}
}

// Touches returns those of this host and of the others of its data centre.
func (c *Circle) Touches(now dfclock.Millis) []Touch {
	touches := []Touch{{Host: touchKey(c.self.Address)}}
	for address, known := range c.neighbours {
		key := touchKey(address)
		if at, ok := c.touched[key]; ok && known.host.DataCentre == c.self.DataCentre {
			touches = append(touches, Touch{Host: key, Ago: now - at})
		}
	}
	return touches
}

// Complete notes that all hosts are known.
func (c *Circle) Complete() {
	c.complete = true
}

// QuorumAt returns the latest instant at which this host knew what a majority of
// the hosts knew, by itself or through others, or a negative value. Whatever a
// majority was told later than that may be unknown here.
func (c *Circle) QuorumAt(now dfclock.Millis) dfclock.Millis {
	if !c.complete {
		return never
	}
	if c.countedAt == never || now-c.countedAt >= countSpan {
		c.countedAt, c.quorumAt = now, max(c.quorumAt, c.countTouches(now))
	}
	return c.quorumAt
}

// countTouches counts the hosts that this host is in touch with itself.
func (c *Circle) countTouches(now dfclock.Millis) dfclock.Millis {
	own := touchKey(c.self.Address)
	instants := map[uint32]dfclock.Millis{own: now}
	total := 1
	for address, known := range c.neighbours {
		if known.host.ID == "" {
			continue
		}
		total++
		key := touchKey(address)
		if at, ok := c.touched[key]; ok && key != own {
			instants[key] = at
		}
	}
	majority := total/2 + 1
	if len(instants) < majority {
		return never
	}
	order := make([]dfclock.Millis, 0, len(instants))
	for _, at := range instants {
		order = append(order, at)
	}
	slices.Sort(order)
	return order[len(order)-majority]
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
