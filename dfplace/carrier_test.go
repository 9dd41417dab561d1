package dfplace

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpace"
	"dragonflygrade/dfreport"
)

// From playSharedFrom hosts on, hosts share the connections through carriers: three of
// each upstream for all hosts, as with organisations, or with playCentresFrom hosts
// three in each of three data centres.
const (
	playSharedFrom  = 61
	playCentresFrom = 101
	playCentres     = 3
	playCarriers    = 3
)

// playCarrier carries an upstream for the hosts of its data centre, or for all.
type playCarrier struct {
	name     string
	upstream *playUpstream
	queue    *dfadmit.Queue
	recorder *dfreport.Recorder
	requests map[uint64]*playRequest
	lastID   uint64
}

// addCarriers adds the carriers of all upstreams.
func (p *play) addCarriers() {
	if len(p.hosts) < playSharedFrom {
		return
	}
	centres := 1
	if len(p.hosts) >= playCentresFrom {
		centres = playCentres
	}
	// As dfforward.Plan.StatementsPerCarrier.
	limit := max((playSlots+playCarriers-1)/playCarriers, (2*playSlots+centres*playCarriers-1)/(centres*playCarriers))
	for _, u := range p.upstreams {
		byCentre := make([][]*playCarrier, centres)
		for i := range centres * playCarriers {
			// Slots of time begin at another moment at each carrier.
			started := -dfclock.Millis(p.random.IntN(int(dfreport.SlotSpan)))
			c := &playCarrier{
				name: fmt.Sprint(i), upstream: u, requests: map[uint64]*playRequest{},
				queue:    dfadmit.New(dfadmit.Options{Limit: limit, MaxQueued: 256}),
				recorder: dfreport.NewRecorder(started, p.random.Uint32()),
			}
			p.carriers = append(p.carriers, c)
			byCentre[i%centres] = append(byCentre[i%centres], c)
		}
		for i, h := range p.hosts {
			if h.carriers == nil {
				h.carriers = map[dffleet.ID][]*playCarrier{}
			}
			h.carriers[u.id] = byCentre[i%centres]
			h.nameCarriers(u)
		}
	}
}

func (h *playHost) nameCarriers(u *playUpstream) {
	var names []string
	for _, c := range h.carriers[u.id] {
		names = append(names, c.name)
	}
	h.selector.SetCarriers(u.id, names)
}

// carry queues a request at a carrier.
func (p *play) carry(r *playRequest, c *playCarrier) {
	c.lastID++
	r.carrier, r.id, r.queued = c, c.lastID, true
	request := dfadmit.Request{ID: r.id, Deadline: p.now + playTarget*playWaitPercent/100, BoundsStart: true}
	if err := c.queue.Enqueue(p.now, request); err != nil {
		p.refusedByCarrier(r)
		return
	}
	c.requests[r.id] = r
	p.open = append(p.open, r)
	p.advanceCarrier(c)
}

func (p *play) advanceCarrier(c *playCarrier) {
	for action, more := c.queue.Next(p.now); more; action, more = c.queue.Next(p.now) {
		switch a := action.(type) {
		case dfadmit.Start:
			r := c.requests[a.Request.ID]
			r.queued = false
			p.arriveAt(r, c.upstream)
		case dfadmit.Refuse:
			r := c.requests[a.Request.ID]
			delete(c.requests, r.id)
			p.refusedByCarrier(r)
		}
	}
}

// refusedByCarrier does what dfedge does after a refusal for lack of capacity.
func (p *play) refusedByCarrier(r *playRequest) {
	c := r.carrier
	retryAfter := max(1, c.queue.ExpectedWait(p.now))
	p.end(r)
	r.carrier.reportTo(p.now, r.host)
	if p.now >= r.admitBy {
		p.refusedAtCarriers(r, retryAfter)
		return
	}
	r.refusedFor = retryAfter
	p.again(r)
}

// refusedAtCarriers refuses a request that the caller repeats as a new one.
func (p *play) refusedAtCarriers(r *playRequest, retryAfter dfclock.Millis) {
	r.avoid, r.refusedFor, r.attempts = nil, 0, 0
	p.refuse(r, retryAfter)
	r.admitBy = r.dueAt + playTarget*playWaitPercent/100
}

// report ends a request at its carrier, which reports to the host.
func (p *play) report(r *playRequest, outcome dfreport.Outcome) {
	c := r.carrier
	if c == nil {
		return
	}
	delete(c.requests, r.id)
	if r.queued {
		c.queue.Cancel(r.id)
		outcome = dfreport.Nothing
	}
	c.queue.Finish(p.now, r.id, false)
	if outcome != dfreport.Nothing {
		c.recorder.Record(p.now, outcome)
	}
	c.reportTo(p.now, r.host)
}

func (c *playCarrier) reportTo(now dfclock.Millis, h *playHost) {
	queue := dfreport.Queue{
		Queued: c.queue.Queued(), Running: c.queue.Running(), Wait: c.queue.ExpectedWait(now), Latency: c.queue.MeanServiceTime(),
	}
	if report, ok := c.recorder.Report(now, queue); ok {
		h.selector.RecordReport(now, c.upstream.id, c.name, report)
	}
}

// herding plays a load of 61 hosts and returns the mean difference of the two replicas'
// statements at a time, as a part of their sum, and the share of reads on time.
func herding(choice Choice, seed uint64, load float64) (imbalance, onTime float64) {
	p := newPlayWithChoice(seed, playSharedFrom, dfpace.Unlimited{}, choice, load*3*playCapacity, 0)
	difference, sum := 0.0, 0.0
	for p.now < 10*dfclock.Second {
		p.runUntil(p.now + 5)
		b, c := p.find("b"), p.find("c")
		atB, atC := float64(len(b.running)+len(b.queue)), float64(len(c.running)+len(c.queue))
		for _, carrier := range p.carriers {
			switch carrier.upstream {
			case b:
				atB += float64(carrier.queue.Queued())
			case c:
				atC += float64(carrier.queue.Queued())
			}
		}
		difference += math.Abs(atB - atC)
		sum += atB + atC
	}
	return difference / sum, float64(p.onTime) / float64(p.requests)
}

// Compares the rules by which a host chooses, under a load of 61 hosts.
func TestChoicesUnderLoad(t *testing.T) {
	for _, load := range []float64{0.55, 0.8, 0.95} {
		for _, choice := range []Choice{Lowest{}, TwoDrawn{}, Weighted{}} {
			imbalance, onTime := 0.0, 0.0
			for seed := uint64(1); seed <= playSeeds; seed++ {
				difference, share := herding(choice, seed, load)
				imbalance += difference / playSeeds
				onTime += share / playSeeds
			}
			t.Logf("load %.2f %T: imbalance %.3f, on time %.4f", load, choice, imbalance, onTime)
			require.Greater(t, onTime, 0.9)
		}
	}
}

// Guards against hosts that all choose the same upstream because they got the same
// report, and against reads for an upstream that is reported to be far worse.
func TestReportsDoNotHerd(t *testing.T) {
	choose := func(choice Choice, waitAtC dfclock.Millis) (atB, atC int) {
		p := newPlayWithChoice(1, playSharedFrom, dfpace.Gradient{}, choice, 0, 0)
		for _, h := range p.hosts {
			for id, wait := range map[dffleet.ID]dfclock.Millis{"b": 10, "c": waitAtC} {
				queue := dfreport.Queue{Queued: 1, Wait: wait, Latency: 20}
				h.selector.RecordReport(0, id, "0", dfreport.Report{Source: 1, Queue: queue, Slot: 1})
			}
			id, ok := h.selector.SelectForRead(1, Requirement{}, p.listed, p.leader, nil)
			require.True(t, ok)
			switch id {
			case "b":
				atB++
			case "c":
				atC++
			}
		}
		return atB, atC
	}
	for _, choice := range []Choice{Lowest{}, TwoDrawn{}, Weighted{}} {
		atB, atC := choose(choice, 15)
		_, worse := choose(choice, 100)
		t.Logf("%T: %d and %d of %d hosts, %d at an upstream that is four times worse", choice, atB, atC, playSharedFrom, worse)
		if choice == (Weighted{}) {
			require.Positive(t, atB)
			require.Positive(t, atC)
			require.Less(t, worse, playSharedFrom/20)
		}
	}
}

// Guards against reads that are refused for lack of capacity while an upstream that is set
// aside, and answers a part of them, is idle.
func TestUpstreamSetAsideTakesWhatOthersRefuse(t *testing.T) {
	for _, carriers := range [][]string{nil, {"x"}} {
		s := New()
		listed := []dffleet.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		for _, u := range listed {
			s.Put(u.ID, true, playSlots)
			s.SetCarriers(u.ID, carriers)
			for range 40 {
				s.RecordAnswer(0, u.ID, 20)
			}
		}
		for range 40 {
			s.RecordStatementFailure(1, "c")
		}
		require.True(t, s.pace.IsAside(2, "c"))
		id, ok := s.SelectForRead(2, Requirement{}, listed, "a", []dffleet.ID{"a", "b"})
		require.Equal(t, len(carriers) > 0, ok)
		require.Equal(t, ok, id == "c")
	}
}
