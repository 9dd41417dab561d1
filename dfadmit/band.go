package dfadmit

import (
	"container/heap"
	"slices"
)

// entry is a queued request.
type entry struct {
	request Request
	band    *band
	queue   *callerQueue
	// heapIndex is the index in the deadline heap.
	heapIndex int
}

// callerQueue has the queued requests of one caller within a band, oldest first.
type callerQueue struct {
	caller  string
	entries []*entry
	// deficit is the cost that the caller may still spend in this round.
	deficit int
}

// band has the queued reads or writes of one priority. Callers are served by
// deficit round robin.
type band struct {
	priority int
	write    bool
	// queues has the callers with queued requests; rotation has the same in
	// round-robin order.
	queues   map[string]*callerQueue
	rotation []*callerQueue
	cursor   int
	queued   int
	// skips counts the selections of other bands since this one was last served, while
	// it had requests to run.
	skips int
}

func newBand(priority int, write bool) *band {
	return &band{priority: priority, write: write, queues: map[string]*callerQueue{}}
}

func (b *band) push(e *entry) {
	cq, found := b.queues[e.request.Caller]
	if !found {
		cq = &callerQueue{caller: e.request.Caller}
		b.queues[cq.caller] = cq
		b.rotation = append(b.rotation, cq)
	}
	e.band, e.queue = b, cq
	cq.entries = append(cq.entries, e)
	b.queued++
}

// pop removes and returns the next request. The band must not be empty.
func (b *band) pop() *entry {
	for {
		cq := b.rotation[b.cursor]
		first := cq.entries[0]
		if cq.deficit >= first.request.Cost {
			cq.deficit -= first.request.Cost
			b.remove(first)
			return first
		}
		cq.deficit++
		b.cursor = (b.cursor + 1) % len(b.rotation)
	}
}

func (b *band) remove(e *entry) {
	cq := e.queue
	cq.entries = slices.DeleteFunc(cq.entries, func(other *entry) bool { return other == e })
	b.queued--
	if len(cq.entries) > 0 {
		return
	}
	delete(b.queues, cq.caller)
	at := slices.Index(b.rotation, cq)
	b.rotation = slices.Delete(b.rotation, at, at+1)
	if at < b.cursor {
		b.cursor--
	}
	if b.cursor >= len(b.rotation) {
		b.cursor = 0
	}
}

// longestQueue returns the queue of the caller with the most requests in the band,
// or nil.
func (b *band) longestQueue() *callerQueue {
	var longest *callerQueue
	for _, cq := range b.rotation {
		if longest == nil || len(cq.entries) > len(longest.entries) {
			longest = cq
		}
	}
	return longest
}

// requestsAhead estimates how many requests of the band run before a new one of the
// caller.
func (b *band) requestsAhead(caller string) int {
	own, callers := 0, len(b.rotation)
	if cq, found := b.queues[caller]; found {
		own = len(cq.entries)
	} else {
		callers++
	}
	return min(b.queued, (own+1)*callers-1)
}

// deadlineHeap is a min-heap of queued requests by deadline.
type deadlineHeap []*entry

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].request.Deadline < d[j].request.Deadline }
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = nil
	*d = (*d)[:len(*d)-1]
	return last
}

func (d *deadlineHeap) remove(e *entry) {
	heap.Remove(d, e.heapIndex)
}
