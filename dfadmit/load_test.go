package dfadmit

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// upstreamSlots is the number of statements that the modelled upstream runs at once.
const upstreamSlots = 5

// loadClass is a class of requests. It is wanted within target.
type loadClass struct {
	priority, share, work int
	target                dfclock.Millis
}

// loadOrganisation is a source of requests. Its demand is share times factor.
type loadOrganisation struct {
	name          string
	share, factor int
}

// scriptedLoad is a load of testdata/load.txt.
type scriptedLoad struct {
	name          string
	factor        float64
	classes       []loadClass
	organisations []*loadOrganisation
}

func readLoads(t *testing.T) []*scriptedLoad {
	file, err := os.Open("testdata/load.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var loads []*scriptedLoad
	for lines := bufio.NewScanner(file); lines.Scan(); {
		keyword, rest, _ := strings.Cut(lines.Text(), " ")
		var err error
		switch keyword {
		case "load":
			l := &scriptedLoad{}
			_, err = fmt.Sscan(rest, &l.name, &l.factor)
			loads = append(loads, l)
		case "class":
			l, c := loads[len(loads)-1], loadClass{}
			_, err = fmt.Sscan(rest, &c.priority, &c.share, &c.work, &c.target)
			l.classes = append(l.classes, c)
		case "organisation":
			l, o := loads[len(loads)-1], &loadOrganisation{factor: 1}
			_, err = fmt.Sscan(rest, &o.name, &o.share)
			l.organisations = append(l.organisations, o)
		case "hot":
			var name string
			var factor int
			_, err = fmt.Sscan(rest, &name, &factor)
			for _, o := range loads[len(loads)-1].organisations {
				if o.name == name {
					o.factor = factor
				}
			}
		}
		require.NoError(t, err, lines.Text())
	}
	return loads
}

// meanWork is the mean work of a request in milliseconds.
func (l *scriptedLoad) meanWork() float64 {
	work, shares := 0, 0
	for _, c := range l.classes {
		work, shares = work+c.share*c.work, shares+c.share
	}
	return float64(work) / float64(shares)
}

// loadResult is what callers got.
type loadResult struct {
	// asked, served and the work of the served requests are by organisation; served
	// requests ended within their target.
	asked, served map[string]int
	servedWork    map[string]float64
	goodput       float64
	// refused and served by priority.
	refusedAt, servedAt map[int]int
	// inversions counts the milliseconds in which a request of the most urgent priority
	// was refused and a less urgent one started.
	inversions int
	// longestRefusal is the longest time from a request's arrival to its refusal, as a
	// multiple of its patience.
	longestRefusal float64
	// returns counts the refused callers who came back, in steps of 10 ms, and outside the
	// times to come back that were 0 or beyond half of the caller's remaining time.
	returns map[dfclock.Millis]int
	outside int
}

// peakReturns returns the most callers who came back in 10 ms as a multiple of the mean.
func (r loadResult) peakReturns() float64 {
	most, sum := 0, 0
	for _, count := range r.returns {
		most, sum = max(most, count), sum+count
	}
	return float64(most) / float64(sum) * float64(loadSpan/10)
}

// loadSpan is the duration of a play. Callers who come back do so returnTrip after the
// time that they were given, and give up after patienceFactor times their target.
const (
	loadSpan       = 20 * dfclock.Second
	returnTrip     = 2 * dfclock.Millisecond
	patienceFactor = 8
)

// loadCaller is the caller of a request.
type loadCaller struct {
	loadClass
	organisation       string
	retries            int
	arrived, givesUpAt dfclock.Millis
}

// play runs a load against the queue. Refused callers come back up to maxRetries times.
func (l *scriptedLoad) play(q *Queue, seed uint64, maxRetries int) loadResult {
	random := rand.New(rand.NewPCG(seed, 11))
	r := loadResult{
		returns: map[dfclock.Millis]int{},
		asked:   map[string]int{}, served: map[string]int{}, servedWork: map[string]float64{},
		refusedAt: map[int]int{}, servedAt: map[int]int{},
	}
	type running struct {
		request Request
		until   dfclock.Millis
		work    float64
	}
	callers, due := map[uint64]loadCaller{}, map[dfclock.Millis][]loadCaller{}
	var active []running
	rate := l.factor * upstreamSlots / l.meanWork()
	shares := 0
	for _, o := range l.organisations {
		shares += o.share
	}
	id, work := uint64(0), 0.0
	for now := dfclock.Millis(1); now < loadSpan; now++ {
		lessUrgentStarted, mostUrgentRefused := false, false
		refuse := func(request Request, err *dfresult.Error) {
			c := callers[request.ID]
			r.refusedAt[request.Priority]++
			mostUrgentRefused = mostUrgentRefused || request.Priority == l.classes[0].priority
			r.longestRefusal = max(r.longestRefusal, float64(now-c.arrived)/float64(c.target*60/100))
			after := FitReturn(err.RetryAfter, c.givesUpAt-now)
			if q.returns == nil {
				after = err.RetryAfter
			}
			if after <= 0 || after > max(1, (c.givesUpAt-now)/2) {
				r.outside++
			}
			at := now + after + returnTrip
			if c.retries++; c.retries <= maxRetries && at < min(c.givesUpAt, loadSpan) {
				due[at] = append(due[at], c)
				r.returns[at/10]++
			}
		}
		arrive := func(c loadCaller) {
			id++
			request := Request{ID: id, Caller: c.organisation, Priority: c.priority, Deadline: now + c.target*60/100}
			c.arrived = now
			callers[id] = c
			r.asked[c.organisation]++
			var refusal *dfresult.Error
			if errors.As(q.Enqueue(now, request), &refusal) {
				refuse(request, refusal)
			}
		}
		for _, c := range due[now] {
			arrive(c)
		}
		kept := active[:0]
		for _, run := range active {
			if run.until > now {
				kept = append(kept, run)
				continue
			}
			q.Finish(now, run.request.ID, false)
			if c := callers[run.request.ID]; now-c.arrived <= c.target {
				r.served[run.request.Caller]++
				r.servedWork[run.request.Caller] += run.work
				r.servedAt[run.request.Priority]++
				work += run.work
			}
		}
		active = kept
		for _, o := range l.organisations {
			for n := arrivalsIn(random, rate*float64(o.share*o.factor)/float64(shares)); n > 0; n-- {
				c := l.classes[0]
				for pick := random.IntN(100); pick >= c.share; {
					pick -= c.share
					for i := range l.classes[:len(l.classes)-1] {
						if l.classes[i] == c {
							c = l.classes[i+1]
							break
						}
					}
				}
				arrive(loadCaller{loadClass: c, organisation: o.name, givesUpAt: now + patienceFactor*c.target})
			}
		}
		for action, ok := q.Next(now); ok; action, ok = q.Next(now) {
			switch a := action.(type) {
			case Start:
				c := callers[a.Request.ID]
				took := dfclock.Millis(1 + random.ExpFloat64()*float64(c.work-1))
				active = append(active, running{request: a.Request, until: now + took, work: float64(took)})
				lessUrgentStarted = lessUrgentStarted || c.priority > l.classes[0].priority
			case Refuse:
				refuse(a.Request, a.Error)
			}
		}
		if mostUrgentRefused && lessUrgentStarted {
			r.inversions++
		}
	}
	r.goodput = work / (float64(loadSpan) * upstreamSlots)
	return r
}

// arrivalsIn returns the number of arrivals in a millisecond of a Poisson process.
func arrivalsIn(random *rand.Rand, rate float64) int {
	count := 0
	for left := 1.0; ; count++ {
		if left -= random.ExpFloat64() / rate; left < 0 {
			return count
		}
	}
}

// jain is Jain's index of fairness: 1 if all values are equal.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum, squares = sum+v, squares+v*v
	}
	return sum * sum / (float64(len(values)) * squares)
}

// TestLoads guards against a queue that wastes an overloaded upstream on requests that
// are then late, that lets urgent requests wait behind others, that gives a large
// organisation the shares of small ones, or that holds requests which it then refuses.
func TestLoads(t *testing.T) {
	for _, l := range readLoads(t) {
		t.Run(l.name, func(t *testing.T) {
			r := l.play(newFixedQueue(upstreamSlots, 1000), 7, 0)
			t.Logf("goodput %.3f, served %v of %v, refused by priority %v, inversions %d, longest refusal %.2f",
				r.goodput, r.served, r.asked, r.refusedAt, r.inversions, r.longestRefusal)
			require.Zero(t, r.inversions, "a request of the most urgent priority is refused while a less urgent one starts")
			require.LessOrEqual(t, r.longestRefusal, 1.0)
			switch l.name {
			case "triple":
				require.GreaterOrEqual(t, r.goodput, 0.9)
			case "hot":
				for _, o := range l.organisations {
					if o.factor == 1 {
						require.GreaterOrEqual(t, float64(r.served[o.name]), 0.95*float64(r.asked[o.name]), o.name)
					}
				}
			case "greedy":
				var shares []float64
				for _, work := range r.servedWork {
					shares = append(shares, work)
				}
				require.GreaterOrEqual(t, jain(shares), 0.95)
			}
		})
	}
}
