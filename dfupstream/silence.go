package dfupstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
)

// errSilent reports a connection that carries nothing any more.
var errSilent = eris.New("the connection went silent")

// Doubt decides about a batch that is not answered. The count tells how often
// it was asked before for the same batch. True gives the batch up.
type Doubt func(pid uint32, count int) bool

// guard notices that a batch waits for its upstream longer than a bound. The
// time that a caller takes to accept an answer does not count.
type guard struct {
	// waiting is true while the connection waits for its upstream, and heard
	// counts the messages that arrived.
	waiting atomic.Bool
	heard   atomic.Uint64

	mu    sync.Mutex
	timer *time.Timer
	// watched numbers the batch that runs; zero while none is watched.
	watched uint64
	// seen is the count of messages when the present span of silence began.
	seen uint64
	// asked counts the doubts of the batch.
	asked int
	span  time.Duration
	doubt Doubt
	// startedAt is when the batch began; answered is how long it took.
	startedAt time.Time
	answered  time.Duration
	// gaveUp is true once the batch was given up.
	gaveUp bool
}

// watchSilence begins to watch a batch.
func (c *Conn) watchSilence(options Options) {
	if options.Doubt == nil || options.Silence <= 0 {
		return
	}
	g := &c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watched, g.doubt, g.asked, g.gaveUp = c.sequence, options.Doubt, 0, false
	g.startedAt = time.Now()
	g.span = time.Duration(options.Silence) * time.Millisecond
	g.seen = g.heard.Load()
	if g.timer == nil {
		g.timer = time.AfterFunc(g.span, c.silenceDue)
		return
	}
	g.timer.Reset(g.span)
}

// endWatch ends the watch and reports whether the batch was given up.
func (c *Conn) endWatch() bool {
	g := &c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watched == 0 {
		return false
	}
	g.watched, g.doubt = 0, nil
	g.answered = time.Since(g.startedAt)
	g.timer.Stop()
	return g.gaveUp
}

// AnswerTime returns how long the upstream took for the last watched batch.
// It does not include the gate.
func (c *Conn) AnswerTime() dfclock.Millis {
	return dfclock.Millis(c.guard.answered.Milliseconds())
}

// silenceDue runs when the bound has passed since the last look.
func (c *Conn) silenceDue() {
	g := &c.guard
	g.mu.Lock()
	if g.watched == 0 {
		g.mu.Unlock()
		return
	}
	if heard := g.heard.Load(); heard != g.seen || !g.waiting.Load() {
		g.seen = heard
		g.timer.Reset(g.span)
		g.mu.Unlock()
		return
	}
	batch, doubt, count := g.watched, g.doubt, g.asked
	g.asked++
	g.mu.Unlock()
	lost := doubt(c.pid, count)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watched != batch {
		return
	}
	if lost && g.heard.Load() == g.seen && g.waiting.Load() {
		g.gaveUp = true
		c.giveUp()
		return
	}
	g.timer.Reset(g.span)
}

// SilenceMeter derives the bound on silence of one upstream from its answer
// times. It may be used by many goroutines.
type SilenceMeter struct {
	mu sync.Mutex
	// mean and spread are smoothed answer times in sixteenths of a millisecond.
	mean, spread dfclock.Millis
}

// Answered takes the time of one answer.
func (m *SilenceMeter) Answered(span dfclock.Millis) {
	// A single long statement must not hide the silence of later ones.
	span = min(span, MaxSilence)
	m.mu.Lock()
	defer m.mu.Unlock()
	// Gains of 1/8 and 1/4 as in the retransmission timer of TCP.
	difference := span*meterScale - m.mean
	m.mean += difference / 8
	m.spread += (max(difference, -difference) - m.spread) / 4
}

// Bound returns the silence that is no longer usual.
func (m *SilenceMeter) Bound() dfclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max((m.mean+meterSpreads*m.spread)/meterScale, MinSilence), MaxSilence)
}
