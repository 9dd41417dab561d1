package dfdemo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfload"
)

// Options of a demo.
type Options struct {
	Deployment string
	Hosts      int
	Callers    int
	Duration   time.Duration
	ThinkTime  time.Duration
	TokenShare float64
	Seed       uint64
	// Faults runs the whole schedule of faults instead of one killed primary.
	Faults bool
	// Hold keeps the stack up until the context ends.
	Hold bool
	// Delays applies the deployment's delays between sites.
	Delays bool
	// Unlinked connects without links, so that measurements show the hosts
	// alone. Faults of links then have no effect.
	Unlinked bool
	// Loss is the share of writes between data centres that are sent again.
	Loss float64
	// Lag is the delay with which replicas apply.
	Lag dfclock.Millis
	// MemberLag is the age of the platform's host list.
	MemberLag dfclock.Millis
	// LeaseRate makes the clock of leases and slots run faster than time, so
	// that takeovers come sooner; 0 and 1 leave it as it is.
	LeaseRate int
}

// Limits of the demo's options.
const (
	maxHosts = 50
	// settleTimeout bounds the wait for healed upstreams after the load.
	settleTimeout = 10 * time.Second
	// gapWindow is how long after a fault a pause of writes counts as its effect.
	gapWindow = 2 * time.Second
)

// Check returns every fault of the options.
func (o Options) Check() error {
	var faults []string
	if _, err := NewDeployment(o.Deployment); err != nil {
		faults = append(faults, err.Error())
	}
	if o.Hosts < 1 || o.Hosts > maxHosts {
		faults = append(faults, fmt.Sprintf("hosts is %d: use 1 to %d", o.Hosts, maxHosts))
	}
	if o.Lag < 0 {
		faults = append(faults, fmt.Sprintf("lag is %s: use 0 or more", o.Lag))
	}
	if len(faults) > 0 {
		return eris.Errorf("demo: %s", strings.Join(faults, "; "))
	}
	return nil
}

// Run starts a stack, drives it and returns the report. Progress goes to the writer.
func Run(ctx context.Context, options Options, progress io.Writer) (dfload.Report, error) {
	if err := options.Check(); err != nil {
		return dfload.Report{}, err
	}
	deployment, err := NewDeployment(options.Deployment)
	if err != nil {
		return dfload.Report{}, err
	}
	say(progress, "starting %d hosts, %d services of %d upstreams (%s)", options.Hosts, deployment.Databases, deployment.UpstreamsPerGroup, deployment.Name)
	stack, err := NewStack(ctx, deployment, options)
	if err != nil {
		stack.Close()
		return dfload.Report{}, err
	}
	defer stack.Close()
	if options.Hold {
		stack.hold(ctx, progress)
		return dfload.Report{}, nil
	}
	return stack.drive(ctx, progress)
}

func say(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, "demo: "+format+"\n", args...)
}

// hold prints how to connect and waits.
func (s *Stack) hold(ctx context.Context, progress io.Writer) {
	for _, target := range s.Targets() {
		for _, address := range target.Hosts {
			say(progress, "postgres://%s:%s@%s/%s?sslmode=disable", target.User, target.Password, address, target.Service)
		}
	}
	for _, host := range s.hosts {
		say(progress, "status of %s: http://%s/status", host.Status().Host, host.AdminAddress())
	}
	<-ctx.Done()
}

func (s *Stack) drive(ctx context.Context, progress io.Writer) (dfload.Report, error) {
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	schedule := newSchedule(s, progress)
	var faults sync.WaitGroup
	options := s.loadOptions()
	options.Started = func() {
		say(progress, "%d callers for %s", s.options.Callers, s.options.Duration)
		faults.Go(func() { schedule.run(faultCtx) })
	}
	report, ledger, err := dfload.Run(ctx, options)
	stopFaults()
	faults.Wait()
	if err != nil {
		return report, err
	}
	if err := s.settle(ctx); err != nil {
		return report, err
	}
	s.check(&report, ledger)
	for _, lost := range schedule.primaryFaults {
		report.AddGap(ledger.LongestPause(lost.service, lost.at, lost.at.Add(gapWindow)))
	}
	records, err := s.verifyAudit(ctx)
	if err != nil {
		return report, err
	}
	say(progress, "%d audit records in the object store, no chain is broken", records)
	return report, nil
}

func (s *Stack) loadOptions() dfload.Options {
	return dfload.Options{
		Targets:         s.Targets(),
		Callers:         s.options.Callers,
		Mix:             s.deployment.Name,
		Duration:        s.options.Duration,
		ThinkTime:       s.options.ThinkTime,
		RequestTimeout:  10 * time.Second,
		TokenShare:      s.options.TokenShare,
		CatalogueMaxAge: time.Duration(s.deployment.CatalogueMaxAge) * time.Millisecond,
		Gaps:            true,
		Seed:            s.options.Seed,
		Dial:            s.network.Dialer(callerSite).Dial,
	}
}

// settle ends all faults and waits until every group has one primary that the
// others follow.
func (s *Stack) settle(ctx context.Context) error {
	s.heal()
	deadline := time.Now().Add(settleTimeout)
	for _, group := range s.groups {
		for !group.settled() {
			if time.Now().After(deadline) {
				return eris.Errorf("demo: service %s has no settled primary after %s", group.Service, settleTimeout)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// settled reports whether all upstreams accept one term and have one log end.
func (g *Group) settled() bool {
	primary := g.primary()
	if primary == nil {
		return false
	}
	status := primary.Status()
	for _, upstream := range g.Upstreams {
		other := upstream.Status()
		if other.Accepted != status.Accepted || other.Applied != status.Applied {
			return false
		}
	}
	return true
}
