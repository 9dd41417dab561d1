package dfdemo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfload"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandin"
)

// ChangeKinds are the ways in which a primary is lost or given up.
var ChangeKinds = []string{"killed", "paused", "partitioned", "planned"}

// Spans of a measured change of primary.
const (
	// watchPeriod is how often the upstreams are looked at during a change.
	watchPeriod = 2 * time.Millisecond
	// afterChange is how long the fault lasts beyond the change.
	afterChange = 300 * time.Millisecond
	// changeTimeout ends a round without a change of primary.
	changeTimeout = 15 * time.Second
)

// Change is one measured change of primary.
type Change struct {
	Kind string
	// Detection ends when the first upstream accepts a higher term, Fencing when
	// a majority does, Promotion when one reports to be its primary.
	Detection, Fencing, Promotion time.Duration
	// Gap is the longest span without an acknowledged write.
	Gap time.Duration
}

// ChangeReport has the changes of a run and its load's figures.
type ChangeReport struct {
	Changes []Change
	Load    dfload.Report
}

// MeasureChanges causes changes of primary of each kind under load. The groups
// change side by side, each the given number of rounds for each kind.
func MeasureChanges(ctx context.Context, options Options, kinds []string, rounds int, progress io.Writer) (ChangeReport, error) {
	deployment, err := NewDeployment(options.Deployment)
	if err != nil {
		return ChangeReport{}, err
	}
	stack, err := NewStack(ctx, deployment, options)
	if err != nil {
		stack.Close()
		return ChangeReport{}, err
	}
	defer stack.Close()
	m := &changeMeasurement{stack: stack, kinds: kinds, rounds: rounds, progress: progress}
	return m.run(ctx)
}

// changeMeasurement is one run of MeasureChanges.
type changeMeasurement struct {
	stack    *Stack
	kinds    []string
	rounds   int
	progress io.Writer

	mu     sync.Mutex
	report ChangeReport
	// spans are the windows in which the gaps of the changes lie.
	spans []changeSpan
}

// changeSpan is the window of one change.
type changeSpan struct {
	service  string
	index    int
	from, to time.Time
}

func (m *changeMeasurement) run(ctx context.Context) (ChangeReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options := m.stack.loadOptions()
	options.Duration = time.Duration(len(m.kinds)*m.rounds+1) * changeTimeout
	var failure error
	options.Started = func() {
		go func() {
			defer cancel()
			failure = m.cause(ctx)
		}()
	}
	report, ledger, err := dfload.Run(ctx, options)
	if err != nil {
		return m.report, err
	}
	if failure != nil {
		return m.report, failure
	}
	if err := m.stack.settle(context.WithoutCancel(ctx)); err != nil {
		return m.report, err
	}
	m.stack.check(&report, ledger)
	for _, span := range m.spans {
		gap := ledger.LongestPause(span.service, span.from, span.to)
		m.report.Changes[span.index].Gap = gap
		report.AddGap(gap)
	}
	m.report.Load = report
	return m.report, nil
}

// cause runs the rounds of all groups side by side.
func (m *changeMeasurement) cause(ctx context.Context) error {
	var group sync.WaitGroup
	failures := make([]error, len(m.stack.groups))
	for i, target := range m.stack.groups {
		group.Go(func() { failures[i] = m.causeAt(ctx, target) })
	}
	group.Wait()
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

func (m *changeMeasurement) causeAt(ctx context.Context, target *Group) error {
	for _, kind := range m.kinds {
		for range m.rounds {
			if err := m.awaitSettled(ctx, target); err != nil {
				return err
			}
			if err := m.round(ctx, target, kind); err != nil {
				return err
			}
		}
		say(m.progress, "%s: %d changes of kind %s", target.Service, m.rounds, kind)
	}
	return m.awaitSettled(ctx, target)
}

func (m *changeMeasurement) awaitSettled(ctx context.Context, target *Group) error {
	deadline := time.Now().Add(changeTimeout)
	for !target.following() {
		if time.Now().After(deadline) {
			return eris.Errorf("demo: service %s has no settled primary after %s:%s", target.Service, changeTimeout, target.describe())
		}
		if !wait(ctx, watchPeriod) {
			return ctx.Err()
		}
	}
	wait(ctx, afterChange)
	return ctx.Err()
}

// describe lists what the upstreams report of themselves.
func (g *Group) describe() string {
	var text strings.Builder
	for _, upstream := range g.Upstreams {
		status := upstream.Status()
		_, _ = fmt.Fprintf(&text, " %s %s accepted %d by %s, log %d:%d, follows %q, leaving %t;", status.Upstream, status.Role,
			status.Accepted, status.Actor, status.LogTerm, status.Flushed, status.Following, status.Leaving)
	}
	return text.String()
}

// following reports whether all upstreams accept the primary's term and follow it.
func (g *Group) following() bool {
	primary := g.primary()
	if primary == nil {
		return false
	}
	status := primary.Status()
	for _, upstream := range g.Upstreams {
		other := upstream.Status()
		if other.Accepted != status.Accepted || (upstream != primary && other.Role != dfgroup.RoleReplica) {
			return false
		}
	}
	return true
}

// round causes one change and watches the upstreams until it is over.
func (m *changeMeasurement) round(ctx context.Context, target *Group, kind string) error {
	primary := target.primary()
	term := primary.Status().Accepted
	begin, end := m.fault(primary, kind)
	from := time.Now()
	begin()
	change, err := m.watch(ctx, target, primary, term, from)
	change.Kind = kind
	wait(ctx, afterChange)
	end()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spans = append(m.spans, changeSpan{service: target.Service, index: len(m.report.Changes), from: from, to: time.Now()})
	m.report.Changes = append(m.report.Changes, change)
	return err
}

func (m *changeMeasurement) fault(primary *dfstandin.Upstream, kind string) (begin, end func()) {
	switch kind {
	case "killed":
		return primary.Crash, func() {
			if err := primary.Restart(); err != nil {
				say(m.progress, "restart of %s: %v", primary.ID(), err)
			}
		}
	case "paused":
		return primary.Pause, primary.Resume
	case "partitioned":
		return func() { primary.Partition() }, primary.Heal
	}
	member := dfplatform.Member{ID: string(primary.ID()), Kind: dfplatform.KindUpstream, Address: primary.Address()}
	leaving := member
	leaving.Leaving = true
	return func() { m.stack.store.SetMember(leaving, false) }, func() {
		m.stack.store.SetMember(member, false)
		primary.SetLeaving(false)
	}
}

// watch notes when the term rises at the first upstream, at a majority, and
// when another upstream leads it.
func (m *changeMeasurement) watch(ctx context.Context, target *Group, old *dfstandin.Upstream, term dfposition.Term, from time.Time) (Change, error) {
	var change Change
	for time.Since(from) < changeTimeout {
		accepted, led := 0, false
		for _, upstream := range target.Upstreams {
			status := upstream.Status()
			if status.Accepted <= term {
				continue
			}
			accepted++
			led = led || (upstream != old && status.Role == dfgroup.RolePrimary)
		}
		elapsed := time.Since(from)
		if accepted > 0 && change.Detection == 0 {
			change.Detection = elapsed
		}
		if accepted > len(target.Upstreams)/2 && change.Fencing == 0 {
			change.Fencing = elapsed
		}
		if led {
			change.Promotion = elapsed
			return change, nil
		}
		if !wait(ctx, watchPeriod) {
			return change, ctx.Err()
		}
	}
	return change, eris.Errorf("demo: service %s has no new primary after %s", target.Service, changeTimeout)
}

// WriteMarkdown prints one row for each kind, in milliseconds.
func (r ChangeReport) WriteMarkdown(w io.Writer) {
	_, _ = fmt.Fprintln(w, "| Kind | Changes | Detection p50 | Fencing p50 | Promotion p50 | Gap p50 | Gap p99 | Gap max |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, kind := range ChangeKinds {
		var detection, fencing, promotion, gap []time.Duration
		for _, change := range r.Changes {
			if change.Kind != kind {
				continue
			}
			detection = append(detection, change.Detection)
			fencing = append(fencing, change.Fencing-change.Detection)
			promotion = append(promotion, change.Promotion-change.Fencing)
			gap = append(gap, change.Gap)
		}
		if len(gap) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(w, "| %s | %d | %d | %d | %d | %d | %d | %d |\n", kind, len(gap),
			quantile(detection, 50), quantile(fencing, 50), quantile(promotion, 50),
			quantile(gap, 50), quantile(gap, 99), quantile(gap, 100))
	}
}

// quantile returns the span below which the given percentage lies, in milliseconds.
func quantile(spans []time.Duration, percent int) int64 {
	sorted := slices.Sorted(slices.Values(spans))
	index := (len(sorted)*percent + 99) / 100
	return sorted[max(index, 1)-1].Milliseconds()
}
