package dfmeasure

import (
	"container/heap"
	"math/rand/v2"

	"dragonflygrade/dfclock"
)

type event struct {
	at  dfclock.Millis
	seq uint64
	run func()
}

// events is a heap by time, then by order of entry.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// timeline runs events in virtual time.
type timeline struct {
	now    dfclock.Millis
	seq    uint64
	queue  events
	source *rand.Rand
}

func newTimeline(seed uint64) *timeline {
	return &timeline{now: 1, source: rand.New(rand.NewPCG(seed, 0))}
}

func (t *timeline) after(span dfclock.Millis, run func()) {
	t.seq++
	heap.Push(&t.queue, event{at: t.now + span, seq: t.seq, run: run})
}

func (t *timeline) every(span dfclock.Millis, run func()) {
	var again func()
	again = func() {
		run()
		t.after(span, again)
	}
	t.after(dfclock.Millis(t.source.Int64N(int64(span)))+1, again)
}

func (t *timeline) run(end dfclock.Millis) {
	for len(t.queue) > 0 {
		next := heap.Pop(&t.queue).(event)
		if next.at > end {
			return
		}
		t.now = next.at
		next.run()
	}
}
