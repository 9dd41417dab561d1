package dfconnection

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfpool"
)

// The simulated load: an upstream of the deployment with organisations, whose sizes
// follow a power law. Statements wait for a slot first come, first served, and so does
// the opening of a connection.
const (
	organisationCount       = 73
	organisationExponent    = 1.2
	organisationSlots       = 4
	organisationUsable      = 42
	organisationMeanTime    = 19
	organisationOpenTime    = 12
	organisationUsualPerSec = 39
	organisationDuration    = 60 * dfclock.Second
	organisationWaitBound   = 300 * dfclock.Millisecond
)

// organisationResult counts what carriers did under the simulated load.
type organisationResult struct {
	arrived, ran, refused, openings int
	// waits has the time from arrival to the connection.
	waits []dfclock.Millis
}

func (r organisationResult) openedPerStatement() float64 {
	return float64(r.openings) / float64(max(1, r.ran))
}

func (r organisationResult) percentile(percent int) dfclock.Millis {
	sort.Slice(r.waits, func(i, j int) bool { return r.waits[i] < r.waits[j] })
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[len(r.waits)*percent/100]
}

// simulateOrganisations runs a multiple of the usual load over a number of carriers that share
// the usable connections.
func simulateOrganisations(carriers int, load float64, idle IdleTimeouts) organisationResult {
	random := rand.New(rand.NewPCG(3, 8))
	var result organisationResult
	hosts := make([]dfmember.Host, carriers)
	pools := make([]*dfpool.Pool, carriers)
	for i := range carriers {
		hosts[i] = dfmember.Host{ID: fmt.Sprintf("carrier-%d", i)}
		pools[i] = dfpool.New(dfpool.Config{
			Limit: organisationUsable / carriers, MaxWaiters: maxWaiters, IdleTimeout: idle.Any, LastIdleTimeout: idle.Last,
			InitialBackoff: firstReopenDelay, MaxBackoff: maxReopenDelay, OpenDelay: openDelay,
		}, rand.New(rand.NewPCG(uint64(i), 3)))
	}
	weights, total := make([]float64, organisationCount), 0.0
	carrierOf := make([][]dfmember.Host, organisationCount)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -organisationExponent)
		total += weights[i]
		carrierOf[i] = dfmember.Rank(fmt.Sprintf("u/organisation-%d", i), hosts)
	}
	drawOrganisation := func() int {
		left := random.Float64() * total
		for i, weight := range weights {
			if left -= weight; left < 0 {
				return i
			}
		}
		return organisationCount - 1
	}
	arrivedAt := map[dfpool.WaiterID]dfclock.Millis{}
	var running, queue []job
	var handle func(now dfclock.Millis, host int, event dfpool.Event)
	handle = func(now dfclock.Millis, host int, event dfpool.Event) {
		for _, action := range append([]dfpool.Action(nil), pools[host].Handle(now, event)...) {
			switch a := action.(type) {
			case dfpool.Open:
				result.openings++
				queue = append(queue, job{host: host, conn: a.Conn, duration: organisationOpenTime})
			case dfpool.Grant:
				result.ran++
				result.waits = append(result.waits, now-arrivedAt[a.Waiter])
				duration := dfclock.Millis(1 + random.ExpFloat64()*(organisationMeanTime-1))
				queue = append(queue, job{host: host, conn: a.Conn, waiter: a.Waiter, duration: duration})
			case dfpool.Close:
				handle(now, host, dfpool.Closed(a))
			case dfpool.Refuse:
				result.refused++
			}
		}
	}
	var lastWaiter dfpool.WaiterID
	for now := dfclock.Millis(0); now < organisationDuration; now++ {
		stillRunning := running[:0]
		for _, j := range running {
			switch {
			case j.doneAt > now:
				stillRunning = append(stillRunning, j)
			case j.waiter == 0:
				handle(now, j.host, dfpool.Opened{Conn: j.conn})
			default:
				handle(now, j.host, dfpool.Returned{Conn: j.conn, Reusable: true})
			}
		}
		running = stillRunning
		for len(queue) > 0 && len(running) < organisationSlots {
			j := queue[0]
			queue = queue[1:]
			j.doneAt = now + j.duration
			running = append(running, j)
		}
		for arrivals := load * organisationUsualPerSec / 1000; random.Float64() < arrivals; arrivals-- {
			lastWaiter++
			arrivedAt[lastWaiter] = now
			result.arrived++
			organisation := drawOrganisation()
			host := 0
			for hosts[host].ID != carrierOf[organisation][0].ID {
				host++
			}
			handle(now, host, dfpool.Acquire{
				Waiter: lastWaiter, Organisation: fmt.Sprintf("organisation-%d", organisation), Deadline: now.Add(organisationWaitBound),
			})
		}
		if now%50 == 0 {
			for i := range pools {
				handle(now, i, dfpool.Tick{})
			}
		}
	}
	return result
}

// Guards against carriers that open a connection for most statements, which takes as
// long as the statement: because idle connections are closed too early, or because the
// organisations are spread over too many carriers. The baselines are the idle timeouts
// of carriers without organisations, and three carriers in each of three data centres.
func TestOrganisationsReuseConnections(t *testing.T) {
	kept := IdleTimeoutsFor(UseOrganisationCarrier)
	for _, load := range []float64{1, 2, 4} {
		chosen := simulateOrganisations(3, load, kept)
		short := simulateOrganisations(3, load, IdleTimeoutsFor(UseCarrier))
		spread := simulateOrganisations(9, load, kept)
		for name, r := range map[string]organisationResult{"chosen": chosen, "short": short, "spread": spread} {
			t.Logf("load %.0f, %s: %d arrived, %d ran, %d refused, %.3f openings per statement, wait p50 %s p99 %s",
				load, name, r.arrived, r.ran, r.refused, r.openedPerStatement(), r.percentile(50), r.percentile(99))
		}
		require.Less(t, chosen.openedPerStatement(), short.openedPerStatement())
		require.Less(t, chosen.openedPerStatement(), spread.openedPerStatement())
	}
}
