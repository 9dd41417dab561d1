package dfmeasure

import (
	"fmt"
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// upstream is the primary or a replica that lags.
type upstream struct {
	id         dfgroup.UpstreamID
	dataCentre int
	primary    bool
	// applied is the number of writes that reads see; it never falls.
	applied int
	lag     dfclock.Millis
}

// group is the log of one database with its upstreams.
type group struct {
	time *timeline
	// committed has the instants of commits at the primary; a position's offset
	// is a count of them.
	committed []dfclock.Millis
	// acked has the instant of acknowledgement and the caller of each commit.
	acked   []dfclock.Millis
	callers []int
	// latest has the acknowledged commits of each caller in order.
	latest    map[int][]int
	upstreams []*upstream
	history   dfposition.History
}

func newGroup(time *timeline, lag dfclock.Millis) (*group, error) {
	history, err := dfposition.NewHistory(dfposition.Start{Term: 1})
	if err != nil {
		return nil, err
	}
	g := &group{time: time, latest: map[int][]int{}, history: history}
	for i := range dataCentres {
		u := &upstream{id: dfgroup.UpstreamID(fmt.Sprintf("u%d", i)), dataCentre: i, primary: i == 0, lag: lag}
		g.upstreams = append(g.upstreams, u)
		if !u.primary {
			time.every(lagChange, func() { u.lag = lag/2 + dfclock.Millis(time.source.Int64N(int64(lag)+1)) })
		}
	}
	return g, nil
}

func (g *group) primary() *upstream { return g.upstreams[0] }

// commit adds a write and returns its number.
func (g *group) commit(caller int) int {
	g.committed = append(g.committed, g.time.now)
	g.acked = append(g.acked, 0)
	g.callers = append(g.callers, caller)
	return len(g.committed)
}

func (g *group) acknowledge(number int) {
	g.acked[number-1] = g.time.now
	caller := g.callers[number-1]
	g.latest[caller] = append(g.latest[caller], number)
}

// see returns how many writes a read at the upstream sees now.
func (g *group) see(u *upstream) int {
	if u.primary {
		return len(g.committed)
	}
	due := g.time.now - u.lag
	count := sort.Search(len(g.committed), func(i int) bool { return g.committed[i] > due })
	u.applied = max(u.applied, count)
	return u.applied
}

func (g *group) status(u *upstream) dfgroup.Status {
	status := dfgroup.Status{
		Upstream: u.id, DataCentre: fmt.Sprint(u.dataCentre), Role: dfgroup.RoleReplica, Accepted: 1, LogTerm: 1,
		Flushed: dfposition.Offset(len(g.committed)), Applied: dfposition.Offset(g.see(u)), History: g.history,
	}
	if u.primary {
		status.Role = dfgroup.RolePrimary
	}
	return status
}

// own returns the caller's highest write acknowledged by now.
func (g *group) own(caller int) int {
	highest := 0
	for _, number := range g.latest[caller] {
		highest = max(highest, number)
	}
	return highest
}

// stale reports whether a read that sees a number of writes lacks one that its
// caller had acknowledged before, or any that is older than permitted.
func (g *group) stale(seen, own int, arrivedAt, maxAge dfclock.Millis) bool {
	if seen < own {
		return true
	}
	for i := seen; i < len(g.acked); i++ {
		if g.acked[i] > 0 && g.acked[i] < arrivedAt-maxAge {
			return true
		}
	}
	return false
}
