package dfload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dragonflygrade/dfresult"
)

// reportedGap is the shortest pause between acknowledged writes that is
// reported as a failover gap.
const reportedGap = 200 * time.Millisecond

// gapRecorder collects the spans in which no write was acknowledged.
type gapRecorder struct {
	mu   sync.Mutex
	gaps []int64
}

func newGapRecorder() *gapRecorder {
	return &gapRecorder{}
}

func (g *gapRecorder) add(gap time.Duration) {
	if gap < reportedGap {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gaps = append(g.gaps, gap.Milliseconds())
}

func (g *gapRecorder) report() (gaps []int64, longest int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gap := range g.gaps {
		longest = max(longest, gap)
	}
	return append([]int64{}, g.gaps...), longest
}

// gapWriters is the number of writers of one target whose writes together show
// whether writes can land. One of them may wait for a request that is lost.
const gapWriters = 4

// gapWriter writes steadily and notes the pauses between acknowledgements.
type gapWriter struct {
	caller *caller
	mu     sync.Mutex
	last   time.Time
}

func newGapWriter(r *run, target Target) *gapWriter {
	return &gapWriter{caller: newCaller(r, -2, target)}
}

func (w *gapWriter) loop(ctx context.Context) {
	var group sync.WaitGroup
	for i := range gapWriters {
		member := newCaller(w.caller.run, -10-i, w.caller.service)
		member.name = fmt.Sprintf("gap-%d", i)
		group.Go(func() {
			defer member.close()
			for ctx.Err() == nil {
				w.step(ctx, member)
				time.Sleep(gapInterval)
			}
		})
	}
	group.Wait()
}

func (w *gapWriter) step(ctx context.Context, member *caller) {
	host := member.random.IntN(len(member.service.Hosts))
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), member.run.options.RequestTimeout)
	defer cancel()
	conn, err := member.connect(requestCtx, host)
	if err != nil {
		time.Sleep(connectPause)
		return
	}
	id := member.nextID()
	outcome, _ := member.insert(requestCtx, conn, id)
	member.run.ledger.Tell(member.service.Service, id, outcome)
	if conn.IsClosed() {
		member.conns[host] = nil
	}
	if outcome == dfresult.Done {
		w.landed(time.Now())
	}
}

func (w *gapWriter) landed(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.last.IsZero() && now.After(w.last) {
		w.caller.run.gaps.add(now.Sub(w.last))
	}
	w.last = now
}

// versioner raises the version of the catalogue.
type versioner struct {
	caller  *caller
	version int64
}

func newVersioner(r *run, target Target) *versioner {
	c := newCaller(r, -3, target)
	c.name = "versioner"
	return &versioner{caller: c}
}

func (v *versioner) loop(ctx context.Context) {
	c := v.caller
	defer c.close()
	for ctx.Err() == nil {
		v.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(versionInterval):
		}
	}
}

func (v *versioner) step(ctx context.Context) {
	c := v.caller
	host := c.random.IntN(len(c.service.Hosts))
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.run.options.RequestTimeout)
	defer cancel()
	conn, err := c.connect(requestCtx, host)
	if err != nil {
		time.Sleep(connectPause)
		return
	}
	v.version++
	_, err = conn.Exec(requestCtx, "UPDATE catalogue SET price = $1 WHERE item = $2", v.version, versionedItem)
	if err == nil {
		c.run.ledger.AckVersion(c.service.Service, v.version, time.Now())
	}
	if conn.IsClosed() {
		c.conns[host] = nil
	}
}
