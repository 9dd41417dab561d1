package dffleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfrevision"
)

func entry(id ID, version dfrevision.Revision, primary bool) Upstream {
	return Upstream{ID: id, Born: 1, Service: "orders", Address: string(id) + ":1", Version: version, Primary: primary}
}

func leader(t *testing.T, f *Fleet, now dfclock.Millis) ID {
	t.Helper()
	upstream, ok := f.Leader(now, "orders")
	if !ok {
		return ""
	}
	return upstream.ID
}

// Guards against taking a replaced leader for the leader because its entry could
// not be updated while it was partitioned.
func TestNewestEvidenceLeads(t *testing.T) {
	f := New()
	f.Put(10, entry("a", 1, true))
	f.Put(10, entry("b", 2, false))
	require.Equal(t, ID("a"), leader(t, f, 20))
	f.Put(100, entry("b", 5, true))
	require.Equal(t, ID("b"), leader(t, f, 110), "a's entry still says that it leads")
	f.RecordLeader("a", 50)
	require.Equal(t, ID("b"), leader(t, f, 120), "proof from before the change")
}

// Guards against sending statements to an upstream that denied being the leader.
func TestDenyingUpstreamIsNotLeader(t *testing.T) {
	f := New()
	f.Put(10, entry("a", 1, true))
	f.RecordDenial(50, "a")
	require.Empty(t, leader(t, f, 60))
	f.RecordLeader("a", 40)
	require.Empty(t, leader(t, f, 60), "the proof is older than the denial")
	f.RecordLeader("a", 70)
	require.Equal(t, ID("a"), leader(t, f, 80))
}

// Guards against replacing a live leader whose entry lapsed while the platform's
// store was unavailable.
func TestLapsedLeaderKeepsItsLead(t *testing.T) {
	f := New()
	f.Put(10, entry("a", 1, true))
	f.Lapse(1000, "a", 7)
	require.Equal(t, ID("a"), leader(t, f, 1001))
	require.False(t, f.Leaving(1000+ReturnTimeout-1, "a"))
	f.Put(2500, entry("a", 9, true))
	require.False(t, f.Leaving(9000, "a"))
	f.Lapse(10_000, "a", 11)
	require.True(t, f.Leaving(10_000+ReturnTimeout, "a"))
	require.Equal(t, []ID{"a"}, f.Expire(10_000+LapseGracePeriod))
}

// Guards against a late answer of the store that overwrites newer entries.
func TestOlderVersionsChangeNothing(t *testing.T) {
	f := New()
	f.Put(10, entry("a", 5, true))
	f.Put(20, entry("a", 3, false))
	f.Lapse(30, "a", 4)
	require.Equal(t, ID("a"), leader(t, f, 40))
	require.False(t, f.Leaving(9000, "a"))
}

// Guards against state of an earlier incarnation: an upstream may return under the
// same ID with an empty log.
func TestNewIncarnationDiscardsState(t *testing.T) {
	f := New()
	f.Put(10, entry("a", 1, false))
	f.RecordLeader("a", 20)
	again := entry("a", 4, false)
	again.Born = 2
	require.True(t, f.Put(30, again))
	require.Empty(t, leader(t, f, 40))
}

// Guards against keeping entries that are missing from a whole list.
func TestReplaceLapsesMissingEntries(t *testing.T) {
	f := New()
	f.Put(10, entry("a", 1, true))
	f.Put(10, entry("b", 2, false))
	f.Replace(100, []Upstream{entry("a", 1, true)}, 9)
	require.Equal(t, dfclock.Never, f.LeavingSince("a"))
	require.Equal(t, dfclock.Millis(100), f.LeavingSince("b"))
	require.Len(t, f.Listed(), 1)
}

// Guards against a replaced leader that leads again, or an upstream that left and
// leads again, because the list was restored from an older copy.
func TestRestoredListDoesNotChangeTheLeader(t *testing.T) {
	f := New()
	f.Replace(10, []Upstream{entry("a", revision(t, 1, 1), true), entry("b", revision(t, 1, 2), false)}, revision(t, 1, 2))
	f.Put(100, entry("b", revision(t, 1, 5), true))
	f.Put(100, entry("a", revision(t, 1, 6), false))
	older := []Upstream{entry("a", revision(t, 2, 1), true), entry("b", revision(t, 2, 2), false), entry("gone", revision(t, 2, 3), true)}
	f.Replace(200, older, revision(t, 2, 3))
	require.Equal(t, ID("b"), leader(t, f, 210))
	f.Replace(220, older, revision(t, 2, 3))
	require.Equal(t, ID("b"), leader(t, f, 230), "the same list again")
	f.Put(300, entry("b", revision(t, 2, 4), true))
	f.Put(310, entry("a", revision(t, 2, 5), false))
	require.Equal(t, ID("b"), leader(t, f, 320))
	f.Put(400, entry("a", revision(t, 2, 6), true))
	require.Equal(t, ID("a"), leader(t, f, 410), "a later change of the leader")
}

func revision(t *testing.T, era, version uint64) dfrevision.Revision {
	t.Helper()
	result, err := dfrevision.New(era, version)
	require.NoError(t, err)
	return result
}
