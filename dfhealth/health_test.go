package dfhealth

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

func newTestTracker(until dfclock.Millis) *Tracker {
	t := NewTracker(DefaultOptions(), 1, []dfgroup.UpstreamID{"a", "b", "c"})
	for now := dfclock.Millis(100); now <= until; now += 100 {
		for _, id := range []dfgroup.UpstreamID{"a", "b", "c"} {
			t.Handle(now, Answered{Upstream: id, ResponseTime: 8})
		}
	}
	return t
}

func reportReplicas(t *Tracker, now, primarySilence dfclock.Millis) {
	for _, id := range []dfgroup.UpstreamID{"b", "c"} {
		t.Handle(now, Reported{dfgroup.Status{Upstream: id, Following: "a", PrimarySilence: primarySilence}})
	}
}

// Guards against declaring a primary dead without all three conditions: the
// silence timeout, a failed new connection, and a majority of replicas that
// don't hear from it either.
func TestDeadRequiresAllEvidence(t *testing.T) {
	cases := map[string]struct {
		silent, connectFailed bool
		replicasReport        bool
		primarySilence        dfclock.Millis
		want                  State
	}{
		"all conditions":                     {true, true, true, 500, Dead},
		"silence timeout only":               {true, false, true, 500, Suspect},
		"failed connection, recent response": {false, true, true, 500, Suspect},
		"replicas hear from the primary":     {true, true, true, 20, Suspect},
		"no reports from a majority":         {true, true, false, 500, Suspect},
		"healthy":                            {false, false, true, 20, Healthy},
	}
	for name, c := range cases {
		tr := newTestTracker(1000)
		now := dfclock.Millis(1500)
		if c.replicasReport {
			reportReplicas(tr, now, c.primarySilence)
		}
		if !c.silent {
			tr.Handle(1400, Answered{Upstream: "a", ResponseTime: 8})
		}
		if c.connectFailed {
			tr.Handle(1450, ConnectFailed{Upstream: "a", StartedAt: 1420})
		}
		require.Equal(t, c.want, tr.State(now, "a", "a"), name)
	}
}

// Guards against a silence timeout outside its limits, or one that ignores a
// higher variance of response times.
func TestSilenceTimeoutAdaptsWithinLimits(t *testing.T) {
	tr := newTestTracker(5000)
	require.Equal(t, MinSilenceTimeout, tr.SilenceTimeout("a"))
	for i := range 40 {
		tr.Handle(5000, Answered{Upstream: "a", ResponseTime: dfclock.Millis(10 + 120*(i%2))})
	}
	require.Greater(t, tr.SilenceTimeout("a"), MinSilenceTimeout)
	for range 40 {
		tr.Handle(5000, Answered{Upstream: "a", ResponseTime: 5000})
		tr.Handle(5000, Answered{Upstream: "a", ResponseTime: 1})
	}
	require.Equal(t, MaxSilenceTimeout, tr.SilenceTimeout("a"))
}

// Guards against ejecting every upstream of the group.
func TestLastUpstreamIsNotEjected(t *testing.T) {
	tr := newTestTracker(1000)
	tr.Handle(1100, Answered{Upstream: "b", ResponseTime: 8})
	require.Equal(t, map[dfgroup.UpstreamID]bool{"a": true, "c": true}, tr.Ejected(9000, "a"))
}
