package dfload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dragonflygrade/dfresult"
)

// keptPause is the shortest pause between acknowledged writes that is kept. It
// is above the ordinary pause between two acknowledgements.
const keptPause = 20 * time.Millisecond

// Pause is a span in which no write of the gap writers was acknowledged.
type Pause struct {
	From, To time.Time
}

// pauses collects the pauses of each service.
type pauses struct {
	mu sync.Mutex
	// kept is keyed by service, in order of time.
	kept map[string][]Pause
}

func (p *pauses) add(service string, pause Pause) {
	if pause.To.Sub(pause.From) < keptPause {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept == nil {
		p.kept = make(map[string][]Pause)
	}
	p.kept[service] = append(p.kept[service], pause)
}

// LongestPause returns the longest span without an acknowledged write that
// overlaps the window.
func (l *Ledger) LongestPause(service string, from, to time.Time) time.Duration {
	l.pauses.mu.Lock()
	defer l.pauses.mu.Unlock()
	var longest time.Duration
	for _, pause := range l.pauses.kept[service] {
		if pause.To.Before(from) || pause.From.After(to) {
			continue
		}
		longest = max(longest, pause.To.Sub(pause.From))
	}
	return longest
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
	w.landed(time.Now())
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
		w.caller.run.ledger.pauses.add(w.caller.service.Service, Pause{From: w.last, To: now})
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
