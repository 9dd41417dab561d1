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
	tenantCount       = 73
	tenantExponent    = 1.2
	tenantSlots       = 4
	tenantUsable      = 42
	tenantMeanTime    = 19
	tenantOpenTime    = 12
	tenantUsualPerSec = 39
	tenantDuration    = 60 * dfclock.Second
	tenantWaitBound   = 300 * dfclock.Millisecond
)

// tenantResult counts what carriers did under the simulated load.
type tenantResult struct {
	arrived, ran, refused, openings int
	// waits has the time from arrival to the connection.
	waits []dfclock.Millis
}

func (r tenantResult) openedPerStatement() float64 {
	return float64(r.openings) / float64(max(1, r.ran))
}

func (r tenantResult) percentile(percent int) dfclock.Millis {
	sort.Slice(r.waits, func(i, j int) bool { return r.waits[i] < r.waits[j] })
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[len(r.waits)*percent/100]
}

// simulateTenants runs a multiple of the usual load over a number of carriers that share
// the usable connections.
func simulateTenants(carriers int, load float64, idle IdleTimeouts) tenantResult {
	random := rand.New(rand.NewPCG(3, 8))
	var result tenantResult
	hosts := make([]dfmember.Host, carriers)
	pools := make([]*dfpool.Pool, carriers)
	for i := range carriers {
		hosts[i] = dfmember.Host{ID: fmt.Sprintf("carrier-%d", i)}
		pools[i] = dfpool.New(dfpool.Config{
			Limit: tenantUsable / carriers, MaxWaiters: maxWaiters, IdleTimeout: idle.Any, LastIdleTimeout: idle.Last,
			InitialBackoff: firstReopenDelay, MaxBackoff: maxReopenDelay, OpenDelay: openDelay,
		}, rand.New(rand.NewPCG(uint64(i), 3)))
	}
	weights, total := make([]float64, tenantCount), 0.0
	carrierOf := make([][]dfmember.Host, tenantCount)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -tenantExponent)
		total += weights[i]
		carrierOf[i] = dfmember.Rank(fmt.Sprintf("u/organisation-%d", i), hosts)
	}
	drawTenant := func() int {
		left := random.Float64() * total
		for i, weight := range weights {
			if left -= weight; left < 0 {
				return i
			}
		}
		return tenantCount - 1
	}
	arrivedAt := map[dfpool.WaiterID]dfclock.Millis{}
	var running, queue []job
	var handle func(now dfclock.Millis, host int, event dfpool.Event)
	handle = func(now dfclock.Millis, host int, event dfpool.Event) {
		for _, action := range append([]dfpool.Action(nil), pools[host].Handle(now, event)...) {
			switch a := action.(type) {
			case dfpool.Open:
				result.openings++
				queue = append(queue, job{host: host, conn: a.Conn, duration: tenantOpenTime})
			case dfpool.Grant:
				result.ran++
				result.waits = append(result.waits, now-arrivedAt[a.Waiter])
				duration := dfclock.Millis(1 + random.ExpFloat64()*(tenantMeanTime-1))
				queue = append(queue, job{host: host, conn: a.Conn, waiter: a.Waiter, duration: duration})
			case dfpool.Close:
				handle(now, host, dfpool.Closed(a))
			case dfpool.Refuse:
				result.refused++
			}
		}
	}
	var lastWaiter dfpool.WaiterID
	for now := dfclock.Millis(0); now < tenantDuration; now++ {
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
		for len(queue) > 0 && len(running) < tenantSlots {
			j := queue[0]
			queue = queue[1:]
			j.doneAt = now + j.duration
			running = append(running, j)
		}
		for arrivals := load * tenantUsualPerSec / 1000; random.Float64() < arrivals; arrivals-- {
			lastWaiter++
			arrivedAt[lastWaiter] = now
			result.arrived++
			tenant := drawTenant()
			host := 0
			for hosts[host].ID != carrierOf[tenant][0].ID {
				host++
			}
			handle(now, host, dfpool.Acquire{
				Waiter: lastWaiter, Organisation: fmt.Sprintf("organisation-%d", tenant), Deadline: now.Add(tenantWaitBound),
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
		chosen := simulateTenants(3, load, kept)
		short := simulateTenants(3, load, IdleTimeoutsFor(UseCarrier))
		spread := simulateTenants(9, load, kept)
		for name, r := range map[string]tenantResult{"chosen": chosen, "short": short, "spread": spread} {
			t.Logf("load %.0f, %s: %d arrived, %d ran, %d refused, %.3f openings per statement, wait p50 %s p99 %s",
				load, name, r.arrived, r.ran, r.refused, r.openedPerStatement(), r.percentile(50), r.percentile(99))
		}
		require.Less(t, chosen.openedPerStatement(), short.openedPerStatement())
		require.Less(t, chosen.openedPerStatement(), spread.openedPerStatement())
	}
}
