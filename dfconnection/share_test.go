package dfconnection

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpool"
)

// Guards against a share of zero, and against shares that together exceed the
// limit after the upstream has refused a connection.
func TestShareBounds(t *testing.T) {
	for limit := 1; limit <= 400; limit += 7 {
		for hosts := 1; hosts <= 90; hosts++ {
			s := Share{Limit: limit, Slots: 5, Hosts: hosts, DataCentres: min(3, hosts)}
			require.GreaterOrEqual(t, s.Connections(), 1)
			atLimit := s
			atLimit.AtLimit = true
			require.LessOrEqual(t, atLimit.Connections(), s.Connections())
			if limit >= 2*hosts {
				require.LessOrEqual(t, atLimit.Connections()*hosts, limit, "%+v", atLimit)
			}
		}
	}
}

// The simulated load: nine hosts in three data centres that share one upstream,
// like the consortium deployment. Transactions arrive in bursts and hold a
// connection.
const (
	simHosts          = 9
	simLimit          = 21
	simSlots          = 3
	simStatementTime  = 11 // mean duration in ms
	simOpenTime       = 12
	simTargetLatency  = 250 * dfclock.Millisecond
	simPowerLossAt    = 20 * dfclock.Second
	simRestartAt      = simPowerLossAt + 1700
	simReleaseAt      = simPowerLossAt + 3*dfclock.Second
	simRequestPercent = 18 // chance of a request in each ms, over all hosts
	simBurst          = 10 // simultaneous transactions of one host
)

// job is a task of the upstream: a statement, or the opening of a connection if
// waiter is zero.
type job struct {
	host     int
	conn     dfpool.ConnID
	waiter   dfpool.WaiterID
	duration dfclock.Millis
	doneAt   dfclock.Millis
}

// simUpstream simulates an upstream with slots and a FIFO queue.
type simUpstream struct {
	running, queue []job
	// staleConnections counts connections from before the power loss that the
	// upstream has not closed yet.
	staleConnections int
	pools            []*dfpool.Pool
}

func (s *simUpstream) connected() int {
	total := s.staleConnections
	for _, pool := range s.pools {
		total += pool.Stats().Total()
	}
	return total
}

// simulatePowerLoss returns the share of requests that are answered within the
// target latency between the restart of the hosts and the time at which the
// upstream closes the stale connections. held is the number of connections at
// the power loss.
func simulatePowerLoss(limitOf func(atLimit bool) int) (onTime float64, held int) {
	source := rand.New(rand.NewPCG(5, 9))
	s := &simUpstream{}
	arrivedAt := map[dfpool.WaiterID]dfclock.Millis{}
	refusedAt := make([]dfclock.Millis, simHosts)
	restart := func() {
		s.pools, s.running, s.queue = nil, nil, nil
		for i := range simHosts {
			s.pools = append(s.pools, dfpool.New(dfpool.Config{
				Limit: limitOf(false), MaxWaiters: maxWaiters, IdleTimeout: idleTimeout, LastIdleTimeout: idleTimeout,
				InitialBackoff: firstReopenDelay, MaxBackoff: maxReopenDelay, OpenDelay: openDelay,
			}, rand.New(rand.NewPCG(uint64(i), 3))))
			refusedAt[i] = -dfclock.Minute
		}
	}
	restart()
	requests, answeredOnTime := 0, 0
	var lastWaiter dfpool.WaiterID
	var handle func(now dfclock.Millis, host int, event dfpool.Event)
	handle = func(now dfclock.Millis, host int, event dfpool.Event) {
		actions := append([]dfpool.Action(nil), s.pools[host].Handle(now, event)...)
		for _, action := range actions {
			switch a := action.(type) {
			case dfpool.Open:
				if s.connected() > simLimit {
					refusedAt[host] = now
					handle(now, host, dfpool.OpenFailed{Conn: a.Conn})
					continue
				}
				s.queue = append(s.queue, job{host: host, conn: a.Conn, duration: simOpenTime})
			case dfpool.Grant:
				duration := dfclock.Millis(1 + source.ExpFloat64()*(simStatementTime-1))
				s.queue = append(s.queue, job{host: host, conn: a.Conn, waiter: a.Waiter, duration: duration})
			case dfpool.Close:
				handle(now, host, dfpool.Closed(a))
			}
		}
	}
	for now := dfclock.Millis(0); now < simReleaseAt; now++ {
		switch now {
		case simPowerLossAt:
			held = s.connected()
			s.staleConnections = held
			s.pools = nil
		case simRestartAt:
			restart()
		}
		if s.pools == nil {
			continue
		}
		stillRunning := s.running[:0]
		for _, j := range s.running {
			if j.doneAt > now {
				stillRunning = append(stillRunning, j)
				continue
			}
			if j.waiter == 0 {
				handle(now, j.host, dfpool.Opened{Conn: j.conn})
				continue
			}
			if now >= simRestartAt && now-arrivedAt[j.waiter] <= simTargetLatency {
				answeredOnTime++
			}
			handle(now, j.host, dfpool.Returned{Conn: j.conn, Reusable: true})
		}
		s.running = stillRunning
		for len(s.queue) > 0 && len(s.running) < simSlots {
			j := s.queue[0]
			s.queue = s.queue[1:]
			j.doneAt = now + j.duration
			s.running = append(s.running, j)
		}
		count := 0
		if source.IntN(100) < simRequestPercent {
			count = 1
		}
		host := source.IntN(simHosts)
		if source.IntN(400) == 0 {
			count = simBurst
		}
		for range count {
			lastWaiter++
			arrivedAt[lastWaiter] = now
			if now >= simRestartAt {
				requests++
			}
			handle(now, host, dfpool.Acquire{Waiter: lastWaiter, Deadline: now.Add(dfclock.Second)})
		}
		if now%20 == 0 {
			for i := range s.pools {
				handle(now, i, dfpool.LimitChanged{Limit: limitOf(now-refusedAt[i] < dfclock.Second)})
				handle(now, i, dfpool.Tick{})
			}
		}
	}
	return float64(answeredOnTime) / float64(requests), held
}

// Guards against hosts that get no connection after a power loss because the
// connections from before it still use the upstream's whole limit. The baselines
// allow each host the share of its data centre, and the whole limit.
func TestShareAfterLossOfPower(t *testing.T) {
	share := Share{Limit: simLimit, Slots: simSlots, Hosts: simHosts, DataCentres: 3}
	onTime, held := simulatePowerLoss(func(atLimit bool) int {
		s := share
		s.AtLimit = atLimit
		return s.Connections()
	})
	dataCentreShare, dataCentreHeld := simulatePowerLoss(func(atLimit bool) int {
		if atLimit {
			return 1
		}
		return Usable(simLimit)/3 + 1
	})
	unlimited, unlimitedHeld := simulatePowerLoss(func(bool) int { return simLimit })
	t.Logf("answered within the target latency: Share %.3f (%d held), data centre's share %.3f (%d), whole limit %.3f (%d)",
		onTime, held, dataCentreShare, dataCentreHeld, unlimited, unlimitedHeld)
	require.Greater(t, onTime, dataCentreShare)
	require.Greater(t, onTime, unlimited)
	require.Less(t, held, simLimit)
}
