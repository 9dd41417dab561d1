package dfdemo

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"dragonflygrade/dfstandin"
	"dragonflygrade/dfstandinplatform"
)

// Spans of the fault schedule.
const (
	// faultLength is how long a fault lasts before it is healed.
	faultLength = 2500 * time.Millisecond
	// faultPause separates faults.
	faultPause = 1500 * time.Millisecond
)

// schedule causes faults while the load runs.
type schedule struct {
	stack    *Stack
	progress io.Writer
	random   *rand.Rand
	// primaryFaults lists the faults that make a primary change.
	primaryFaults []primaryFault
}

// primaryFault is when the primary of a service was lost.
type primaryFault struct {
	service string
	at      time.Time
}

func newSchedule(stack *Stack, progress io.Writer) *schedule {
	return &schedule{stack: stack, progress: progress, random: rand.New(rand.NewPCG(stack.options.Seed, 99))}
}

// fault is one kind of fault with its end.
type fault struct {
	name  string
	begin func()
	end   func()
	// service is set if the fault makes its primary change.
	service string
}

func (s *schedule) run(ctx context.Context) {
	if !s.stack.options.Faults {
		if wait(ctx, s.stack.options.Duration/3) {
			s.cause(ctx, s.killedPrimary())
		}
		return
	}
	for wait(ctx, faultPause) {
		s.cause(ctx, s.pick())
	}
}

func (s *schedule) cause(ctx context.Context, f fault) {
	say(s.progress, "%s", f.name)
	if f.service != "" {
		s.primaryFaults = append(s.primaryFaults, primaryFault{service: f.service, at: time.Now()})
	}
	f.begin()
	wait(ctx, faultLength)
	f.end()
}

func wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

func (s *schedule) pick() fault {
	kinds := []func() fault{
		s.killedPrimary, s.pausedPrimary, s.isolatedPrimary, s.silentConnections,
		s.laggingReplica, s.platformOutage, s.lostAnswers, s.killedHost, s.stoppedHost,
	}
	return kinds[s.random.IntN(len(kinds))]()
}

func (s *schedule) group() *Group {
	return s.stack.groups[s.random.IntN(len(s.stack.groups))]
}

// victim returns a group and its primary.
func (s *schedule) victim() (*Group, *dfstandin.Upstream) {
	for {
		group := s.group()
		if primary := group.primary(); primary != nil {
			return group, primary
		}
		time.Sleep(faultPause / 100)
	}
}

func (s *schedule) killedPrimary() fault {
	group, primary := s.victim()
	return fault{
		service: group.Service,
		name:    "primary " + string(primary.ID()) + " is killed",
		begin:   primary.Crash,
		end: func() {
			if err := primary.Restart(); err != nil {
				say(s.progress, "restart of %s: %v", primary.ID(), err)
			}
		},
	}
}

func (s *schedule) pausedPrimary() fault {
	group, primary := s.victim()
	return fault{
		service: group.Service,
		name:    "primary " + string(primary.ID()) + " is paused",
		begin:   primary.Pause,
		end:     primary.Resume,
	}
}

func (s *schedule) isolatedPrimary() fault {
	group, primary := s.victim()
	return fault{
		service: group.Service,
		name:    "primary " + string(primary.ID()) + " is cut off from everyone",
		begin:   func() { primary.Partition() },
		end:     primary.Heal,
	}
}

func (s *schedule) silentConnections() fault {
	_, primary := s.victim()
	return fault{name: "connections to " + string(primary.ID()) + " go silent", begin: primary.Silence, end: func() {}}
}

func (s *schedule) laggingReplica() fault {
	group := s.group()
	replica := group.Upstreams[s.random.IntN(len(group.Upstreams))]
	return fault{
		name:  "upstream " + string(replica.ID()) + " applies 1 s late",
		begin: func() { replica.SetLag(0, 1000) },
		end:   func() { replica.SetLag(0, s.stack.options.Lag) },
	}
}

func (s *schedule) platformOutage() fault {
	store := s.stack.store
	return fault{
		name:  "the platform is down",
		begin: func() { store.SetFaults(dfstandinplatform.Faults{Outage: dfstandinplatform.OutageSilent}) },
		end:   func() { store.SetFaults(dfstandinplatform.Faults{}) },
	}
}

func (s *schedule) lostAnswers() fault {
	store := s.stack.store
	return fault{
		name:  "half of the platform's answers are lost",
		begin: func() { store.SetFaults(dfstandinplatform.Faults{LostAnswers: 0.5, Slowness: 100}) },
		end:   func() { store.SetFaults(dfstandinplatform.Faults{}) },
	}
}

func (s *schedule) killedHost() fault {
	index := s.random.IntN(len(s.stack.hosts))
	return fault{
		name:  s.stack.settings[index].ID + " is killed",
		begin: func() { s.stack.killHost(index) },
		end:   func() { s.restart(index) },
	}
}

func (s *schedule) stoppedHost() fault {
	index := s.random.IntN(len(s.stack.hosts))
	return fault{
		name:  s.stack.settings[index].ID + " is stopped and replaced",
		begin: func() { s.stack.stopHost(context.Background(), index) },
		end:   func() { s.restart(index) },
	}
}

func (s *schedule) restart(index int) {
	if err := s.stack.restartHost(context.Background(), index); err != nil {
		say(s.progress, "restart of %s: %v", s.stack.settings[index].ID, err)
	}
}

// heal ends all faults.
func (s *Stack) heal() {
	s.store.SetFaults(dfstandinplatform.Faults{})
	s.network.HealAll()
	for _, group := range s.groups {
		for _, upstream := range group.Upstreams {
			upstream.Heal()
			upstream.SetLag(0, s.options.Lag)
		}
	}
}
