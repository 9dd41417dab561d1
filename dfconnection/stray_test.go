package dfconnection

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// crowded is an upstream that accepts a number of connections.
type crowded struct {
	mu          sync.Mutex
	limit, open int
}

func (u *crowded) opener(_ context.Context, upstream dffleet.Upstream) (*Conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open == u.limit {
		return nil, dfresult.NewError(dfresult.ConnectionLimit, "upstream %s", upstream.ID)
	}
	u.open++
	return New(upstream.ID, &crowdedWire{upstream: u}, nil), nil
}

// crowdedWire counts only its end.
type crowdedWire struct{ upstream *crowded }

func (*crowdedWire) Send([]dfstatement.Call) error        { return nil }
func (*crowdedWire) Receive() (dfstatement.Answer, error) { return dfstatement.Answer{}, nil }
func (*crowdedWire) Report(dfstatement.Answer) (dfstatement.Report, error) {
	return dfstatement.Report{}, nil
}
func (*crowdedWire) Deadline(time.Time) error { return nil }
func (w *crowdedWire) Close() error {
	w.upstream.mu.Lock()
	defer w.upstream.mu.Unlock()
	w.upstream.open--
	return nil
}

// Guards against upstreams without a connection for the carriers after all hosts
// started at once. 62 hosts open one each before they know of each other, at an
// upstream that accepts 27; a second later three of them carry. Callers get what
// the carriers can hold then, which was one connection for 15 s.
func TestCarriersAfterAllHostsStart(t *testing.T) {
	const hosts, carriers, each = 62, 3, 5
	upstream := &crowded{limit: 27}
	begun := time.Now()
	clock := func() dfclock.Millis { return dfclock.Millis(time.Since(begun).Milliseconds()) }
	pools := make([]*Pool, hosts)
	var start sync.WaitGroup
	for i := range pools {
		source := rand.New(rand.NewPCG(uint64(i), 1))
		pools[i] = NewPool(dffleet.Upstream{ID: "p"}, each, Spare, clock, upstream.opener, func(dffleet.ID, error) {}, source)
		// The carriers come last, when nothing is left.
		if i == hosts-carriers {
			start.Wait()
		}
		start.Go(func() {
			if conn, err := pools[i].Acquire(0, clock().Add(10)); err == nil {
				pools[i].Release(conn, true)
			}
		})
	}
	start.Wait()
	held := make(chan bool, carriers*each)
	var callers sync.WaitGroup
	for _, pool := range pools[hosts-carriers:] {
		for range each {
			callers.Go(func() {
				_, err := pool.Acquire(0, clock().Add(dfclock.Second))
				held <- err == nil
			})
		}
	}
	for range 25 {
		time.Sleep(50 * time.Millisecond)
		for i, pool := range pools {
			use := Stray
			if i >= hosts-carriers {
				use = Carried
			}
			pool.Tick(each, use)
		}
	}
	callers.Wait()
	close(held)
	served := 0
	for ok := range held {
		if ok {
			served++
		}
	}
	require.Equal(t, carriers*each, served)
}
