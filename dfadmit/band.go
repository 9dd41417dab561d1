package dfadmit

import (
	"container/heap"
	"slices"
)

// item is a ticket that waits.
type item struct {
	ticket Ticket
	band   *band
	line   *line
	// place is the index in the heap of deadlines.
	place int
}

// line has the waiting tickets of one caller within a band, oldest first.
type line struct {
	caller string
	items  []*item
	// deficit is what the caller may still spend in this turn.
	deficit int
}

// band has the waiting tickets of one priority. Callers take turns by deficit
// round robin.
type band struct {
	priority int
	write    bool
	// lines has the callers with waiting tickets; ring has the same in turn order.
	lines  map[string]*line
	ring   []*line
	cursor int
	queued int
	// passed counts the starts of better bands while this one waited.
	passed int
}

func newBand(priority int, write bool) *band {
	return &band{priority: priority, write: write, lines: map[string]*line{}}
}

func (b *band) push(it *item) {
	l, found := b.lines[it.ticket.Caller]
	if !found {
		l = &line{caller: it.ticket.Caller}
		b.lines[l.caller] = l
		b.ring = append(b.ring, l)
	}
	it.band, it.line = b, l
	l.items = append(l.items, it)
	b.queued++
}

// pop removes the ticket whose caller has the turn. The band must not be empty.
func (b *band) pop() *item {
	for {
		l := b.ring[b.cursor]
		first := l.items[0]
		if l.deficit >= first.ticket.Cost {
			l.deficit -= first.ticket.Cost
			b.remove(first)
			return first
		}
		l.deficit++
		b.cursor = (b.cursor + 1) % len(b.ring)
	}
}

func (b *band) remove(it *item) {
	l := it.line
	l.items = slices.DeleteFunc(l.items, func(other *item) bool { return other == it })
	b.queued--
	if len(l.items) > 0 {
		return
	}
	delete(b.lines, l.caller)
	at := slices.Index(b.ring, l)
	b.ring = slices.Delete(b.ring, at, at+1)
	if at < b.cursor {
		b.cursor--
	}
	if b.cursor >= len(b.ring) {
		b.cursor = 0
	}
}

// longest returns the caller with most tickets in the band, or nil.
func (b *band) longest() *line {
	var most *line
	for _, l := range b.ring {
		if most == nil || len(l.items) > len(most.items) {
			most = l
		}
	}
	return most
}

// ahead estimates how many tickets of the band run before a new one of the caller.
func (b *band) ahead(caller string) int {
	own, callers := 0, len(b.ring)
	if l, found := b.lines[caller]; found {
		own = len(l.items)
	} else {
		callers++
	}
	return min(b.queued, (own+1)*callers-1)
}

// deadlines is a heap of waiting tickets by deadline.
type deadlines []*item

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].ticket.Deadline < d[j].ticket.Deadline }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	it := x.(*item)
	it.place = len(*d)
	*d = append(*d, it)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = nil
	*d = (*d)[:len(*d)-1]
	return last
}

func (d *deadlines) remove(it *item) {
	heap.Remove(d, it.place)
}
