package dfconnection

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// limitedUpstream is an upstream with a connection limit.
type limitedUpstream struct {
	mu          sync.Mutex
	limit, open int
}

func (u *limitedUpstream) opener(_ context.Context, upstream dffleet.Upstream, _ string) (*Conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open == u.limit {
		return nil, dfresult.NewError(dfresult.ConnectionLimit, "upstream %s", upstream.ID)
	}
	u.open++
	return New(upstream.ID, &countingTransport{upstream: u}, nil), nil
}

// countingTransport releases its connection when it is closed. It answers each call like
// a read.
type countingTransport struct {
	upstream *limitedUpstream
	proofs   int
}

func (*countingTransport) Send([]dfstatement.Call) error { return nil }
func (c *countingTransport) Receive() (dfstatement.Answer, error) {
	c.proofs++
	return proven(strconv.Itoa(c.proofs)), nil
}

func (*countingTransport) Report(dfstatement.Answer) (dfstatement.Report, error) {
	return dfstatement.Report{}, nil
}
func (*countingTransport) Pending() bool { return false }

func (*countingTransport) Deadline(time.Time) error { return nil }
func (c *countingTransport) Close() error {
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	c.upstream.open--
	return nil
}

// Guards against carriers that get no connections after all hosts started at
// once. 62 hosts open one connection each before they know of each other, at an
// upstream that accepts 27. A second later three hosts become carriers and must
// get their full number of connections. With the usual idle timeout they had a
// single connection for 15 s.
func TestCarriersAfterAllHostsStart(t *testing.T) {
	const hosts, carriers, each = 62, 3, 5
	upstream := &limitedUpstream{limit: 27}
	startedAt := time.Now()
	clock := func() dfclock.Millis { return dfclock.Millis(time.Since(startedAt).Milliseconds()) }
	pools := make([]*Pool, hosts)
	var start sync.WaitGroup
	for i := range pools {
		source := rand.New(rand.NewPCG(uint64(i), 1))
		pools[i] = NewPool(dffleet.Upstream{ID: "p"}, each, UseOwnWithSpare, clock, upstream.opener, func(dffleet.ID, error) {}, source)
		// The carriers start last, when no connection is left.
		if i == hosts-carriers {
			start.Wait()
		}
		start.Go(func() {
			if conn, err := pools[i].Acquire(context.Background(), "", 0, clock().Add(10)); err == nil {
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
				_, err := pool.Acquire(context.Background(), "", 0, clock().Add(dfclock.Second))
				held <- err == nil
			})
		}
	}
	for range 25 {
		time.Sleep(50 * time.Millisecond)
		for i, pool := range pools {
			use := UseNone
			if i >= hosts-carriers {
				use = UseCarrier
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
