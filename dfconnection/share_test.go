package dfconnection

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpool"
)

// Guards against hosts without any connection, and against more connections than
// the upstream accepts once it has refused one.
func TestShareBounds(t *testing.T) {
	for limit := 1; limit <= 400; limit += 7 {
		for hosts := 1; hosts <= 90; hosts++ {
			s := Share{Limit: limit, Slots: 5, Hosts: hosts, DataCentres: min(3, hosts)}
			require.GreaterOrEqual(t, s.Connections(), 1)
			full := s
			full.Full = true
			require.LessOrEqual(t, full.Connections(), s.Connections())
			if limit >= 2*hosts {
				require.LessOrEqual(t, full.Connections()*hosts, limit, "%+v", full)
			}
		}
	}
}

// The played load: nine hosts of three data centres before one upstream, as at the
// consortium. Transactions hold a connection for a while, in bursts.
const (
	playHosts    = 9
	playLimit    = 21
	playSlots    = 3
	playWork     = 11
	playOpening  = 12
	playAim      = 250 * dfclock.Millisecond
	playLossAt   = 20 * dfclock.Second
	playBackAt   = playLossAt + 1700
	playFreedAt  = playLossAt + 3*dfclock.Second
	playRequests = 18 // of all hosts in 100 ms
	playBurst    = 10 // transactions of one host at once
)

// job is something that the upstream does: a statement, or an opening if conn is
// set without a waiter.
type job struct {
	host   int
	conn   dfpool.ConnID
	waiter dfpool.WaiterID
	work   dfclock.Millis
	doneAt dfclock.Millis
}

// station is the upstream with its slots, its queue and what counts as connected.
type station struct {
	running, queue []job
	dead           int
	pools          []*dfpool.Pool
}

func (s *station) connected() int {
	total := s.dead
	for _, pool := range s.pools {
		total += pool.Stats().Total()
	}
	return total
}

// playLoss returns the part of the requests in the time from the return of the
// hosts until the upstream has dropped the old connections that was answered
// within the aim, and the connections at the loss of power.
func playLoss(limitOf func(full bool) int) (answered float64, held int) {
	source := rand.New(rand.NewPCG(5, 9))
	s := &station{}
	arrivedAt := map[dfpool.WaiterID]dfclock.Millis{}
	fullAt := make([]dfclock.Millis, playHosts)
	restart := func() {
		s.pools, s.running, s.queue = nil, nil, nil
		for i := range playHosts {
			s.pools = append(s.pools, dfpool.New(dfpool.Config{
				Limit: limitOf(false), MaxWaiters: waiters, IdleTimeout: idleClose, LastIdleTimeout: idleClose,
				InitialBackoff: reopenFirst, MaxBackoff: reopenCap, OpenDelay: openWait,
			}, rand.New(rand.NewPCG(uint64(i), 3))))
			fullAt[i] = -dfclock.Minute
		}
	}
	restart()
	asked, inAim := 0, 0
	var last dfpool.WaiterID
	var handle func(now dfclock.Millis, host int, event dfpool.Event)
	handle = func(now dfclock.Millis, host int, event dfpool.Event) {
		actions := append([]dfpool.Action(nil), s.pools[host].Handle(now, event)...)
		for _, action := range actions {
			switch a := action.(type) {
			case dfpool.Open:
				if s.connected() > playLimit {
					fullAt[host] = now
					handle(now, host, dfpool.OpenFailed(a))
					continue
				}
				s.queue = append(s.queue, job{host: host, conn: a.Conn, work: playOpening})
			case dfpool.Grant:
				work := dfclock.Millis(1 + source.ExpFloat64()*(playWork-1))
				s.queue = append(s.queue, job{host: host, conn: a.Conn, waiter: a.Waiter, work: work})
			case dfpool.Close:
				handle(now, host, dfpool.Closed(a))
			}
		}
	}
	for now := dfclock.Millis(0); now < playFreedAt; now++ {
		switch now {
		case playLossAt:
			held = s.connected()
			s.dead = held
			s.pools = nil
		case playBackAt:
			restart()
		}
		if s.pools == nil {
			continue
		}
		rest := s.running[:0]
		for _, j := range s.running {
			if j.doneAt > now {
				rest = append(rest, j)
				continue
			}
			if j.waiter == 0 {
				handle(now, j.host, dfpool.Opened{Conn: j.conn})
				continue
			}
			if now >= playBackAt && now-arrivedAt[j.waiter] <= playAim {
				inAim++
			}
			handle(now, j.host, dfpool.Returned{Conn: j.conn, Reusable: true})
		}
		s.running = rest
		for len(s.queue) > 0 && len(s.running) < playSlots {
			j := s.queue[0]
			s.queue = s.queue[1:]
			j.doneAt = now + j.work
			s.running = append(s.running, j)
		}
		count := 0
		if source.IntN(100) < playRequests {
			count = 1
		}
		host := source.IntN(playHosts)
		if source.IntN(400) == 0 {
			count = playBurst
		}
		for range count {
			last++
			arrivedAt[last] = now
			if now >= playBackAt {
				asked++
			}
			handle(now, host, dfpool.Acquire{Waiter: last, Deadline: now.Add(dfclock.Second)})
		}
		if now%20 == 0 {
			for i := range s.pools {
				handle(now, i, dfpool.LimitChanged{Limit: limitOf(now-fullAt[i] < dfclock.Second)})
				handle(now, i, dfpool.Tick{})
			}
		}
	}
	return float64(inAim) / float64(asked), held
}

// Guards against hosts that find no connection after a loss of power because
// those before the loss held everything that the upstream accepts. The baselines
// give each host a data centre's share, and the whole limit.
func TestShareAfterLossOfPower(t *testing.T) {
	share := Share{Limit: playLimit, Slots: playSlots, Hosts: playHosts, DataCentres: 3}
	answered, held := playLoss(func(full bool) int {
		s := share
		s.Full = full
		return s.Connections()
	})
	whole, wholeHeld := playLoss(func(full bool) int {
		if full {
			return 1
		}
		return Usable(playLimit)/3 + 1
	})
	greedy, greedyHeld := playLoss(func(bool) int { return playLimit })
	t.Logf("answered within the aim: a quarter for bursts %.3f (%d held), data centre's share %.3f (%d), the limit %.3f (%d)",
		answered, held, whole, wholeHeld, greedy, greedyHeld)
	require.Greater(t, answered, whole)
	require.Greater(t, answered, greedy)
	require.Less(t, held, playLimit)
}
