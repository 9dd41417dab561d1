package dfhealth

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

func tracker(until dfclock.Millis) *Tracker {
	t := NewTracker(DefaultOptions(), 1, []dfgroup.UpstreamID{"a", "b", "c"})
	for now := dfclock.Millis(100); now <= until; now += 100 {
		for _, id := range []dfgroup.UpstreamID{"a", "b", "c"} {
			t.Handle(now, Answered{Upstream: id, Span: 8})
		}
	}
	return t
}

func replicas(t *Tracker, now, silence dfclock.Millis) {
	for _, id := range []dfgroup.UpstreamID{"b", "c"} {
		t.Handle(now, Reported{dfgroup.Status{Upstream: id, Following: "a", PrimarySilence: silence}})
	}
}

// TestEvidence guards against calling a primary dead on less than silence, a
// failed fresh connection, and a majority whose replicas don't hear it either.
func TestEvidence(t *testing.T) {
	cases := map[string]struct {
		silent, refused bool
		contact         bool
		replicaSilence  dfclock.Millis
		want            Verdict
	}{
		"all evidence":              {true, true, true, 500, Dead},
		"one silent connection":     {true, false, true, 500, Suspect},
		"refused but heard":         {false, true, true, 500, Suspect},
		"replicas hear the primary": {true, true, true, 20, Suspect},
		"no contact to a majority":  {true, true, false, 500, Suspect},
		"as usual":                  {false, false, true, 20, Healthy},
	}
	for name, c := range cases {
		tr := tracker(1000)
		now := dfclock.Millis(1500)
		if c.contact {
			replicas(tr, now, c.replicaSilence)
		}
		if !c.silent {
			tr.Handle(1400, Answered{Upstream: "a", Span: 8})
		}
		if c.refused {
			tr.Handle(1450, ConnectFailed{Upstream: "a", StartedAt: 1420})
		}
		require.Equal(t, c.want, tr.Verdict(now, "a", "a"), name)
	}
}

// TestBound guards against a bound below the floor, above the cap, or deaf to a
// wider spread of answer times.
func TestBound(t *testing.T) {
	tr := tracker(5000)
	require.Equal(t, SilenceFloor, tr.Bound("a"))
	for i := range 40 {
		tr.Handle(5000, Answered{Upstream: "a", Span: dfclock.Millis(10 + 120*(i%2))})
	}
	require.Greater(t, tr.Bound("a"), SilenceFloor)
	for range 40 {
		tr.Handle(5000, Answered{Upstream: "a", Span: 5000})
		tr.Handle(5000, Answered{Upstream: "a", Span: 1})
	}
	require.Equal(t, SilenceCap, tr.Bound("a"))
}

// TestFloorOfOne guards against ejecting every upstream.
func TestFloorOfOne(t *testing.T) {
	tr := tracker(1000)
	tr.Handle(1100, Answered{Upstream: "b", Span: 8})
	require.Equal(t, map[dfgroup.UpstreamID]bool{"a": true, "c": true}, tr.Ejected(9000, "a"))
}
