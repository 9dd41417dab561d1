package dfedge

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfsuccession"
)

// restoredStore is a platform whose store is in its second era and has a table of two
// hosts and one record.
type restoredStore struct{ Platform }

func (restoredStore) Era() uint64 { return 2 }

func (restoredStore) List(_ context.Context, prefix string) ([]dfplatform.Row, error) {
	if prefix == membersTable {
		return []dfplatform.Row{
			{Key: "Hosts/a", Value: []byte(`{"ID":"a","Address":"127.0.0.1:1"}`)},
			{Key: "Hosts/b", Value: []byte(`{"ID":"b","Address":"127.0.0.1:2"}`)},
		}, nil
	}
	return []dfplatform.Row{{Key: "Promises/a", Value: []byte(`{"Era":2,"Hosts":2,"Terms":{"orders":4}}`)}}, nil
}

// Guards against hosts that take a few hosts for a majority because the store had lost
// the rows of the others when this host started.
func TestRecordsCompleteTheHosts(t *testing.T) {
	options := Options{Fencing: dfsuccession.HostsFence{}, Platform: restoredStore{}, Now: BootTime}
	e := &Edge{options: options, neighbours: newNeighbours(options)}
	records, complete, err := e.readRecords(t.Context(), 2)
	require.NoError(t, err)
	require.Len(t, records, 1)
	require.False(t, complete, "one record of two hosts")
	require.Len(t, e.neighbours.OtherHosts(), 2)
	_, _, err = e.readRecords(t.Context(), 3)
	require.ErrorIs(t, err, dfplatform.ErrHistoryLost)
}

// Guards against starting hosts that take the claims from a host that was not told of
// what they promised before their start.
func TestClaimsCoverOwnPromises(t *testing.T) {
	e := &Edge{startedAt: 1000}
	require.True(t, e.coversOwnPromises(1200, 100), "in contact with a majority since the start")
	require.False(t, e.coversOwnPromises(1200, 300), "in contact with a majority before the start")
	require.True(t, e.coversOwnPromises(1200, -1), "never in contact with a majority")
}

// Guards against hosts that pass on claims long after they loaded them, without having
// heard of a later notice, and against hosts that pass on none while all hosts start.
func TestClaimsOfIsolatedHosts(t *testing.T) {
	options := Options{Fencing: dfsuccession.HostsFence{}}
	e := &Edge{options: options, neighbours: newNeighbours(options), claimsLoadedAt: 1000}
	require.False(t, e.claimsAdoptable(1000), "not loaded")
	e.claimsLoaded = true
	require.True(t, e.claimsAdoptable(1000+claimsMaxAge-1))
	require.False(t, e.claimsAdoptable(1000+claimsMaxAge))
}

// Guards against starts that take 1.6 s because a host stops following the feeds before
// its first lease, and against evidence that is too old or new where the platform fences.
func TestFeedAnsweredBeforeLease(t *testing.T) {
	for _, c := range []struct {
		name       string
		fencing    dfsuccession.Fencing
		answeredAt dfclock.Millis
		known      bool
	}{
		{"just answered", dfsuccession.HostsFence{}, 5000, true},
		{"answered earlier", dfsuccession.HostsFence{}, 5001 - feedEvidenceMaxAge, false},
		{"never answered", dfsuccession.HostsFence{}, 0, false},
		{"platform fences", dfsuccession.PlatformFences{}, 5000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			options := Options{Fencing: c.fencing}
			e := &Edge{options: options, neighbours: newNeighbours(options), startedAt: 4500, feedAnsweredAt: c.answeredAt}
			require.Equal(t, c.known, e.startupEvidence(5001).isolationKnown())
		})
	}
}
