package dfoutcome

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// TestAttempts guards against reporting "not run" for a request that may have run,
// against a second send of a request that must not be repeated, and against counting a
// commit after a rollback.
func TestAttempts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 5000 {
		noRepeat := rng.IntN(2) == 0
		a, mayHaveRun, sends := NewAttempt(noRepeat), false, 0
		for range 1 + rng.IntN(12) {
			open := a.Stage() == Sending || a.Stage() == Sent
			switch rng.IntN(6) {
			case 0:
				next, refused := a.BeginSend(rng.IntN(2) == 0)
				require.False(t, mayHaveRun && refused == nil, "sent again although it may have run")
				if refused == nil {
					sends++
					mayHaveRun = true
				}
				a = next
			case 1:
				a = a.WithSent()
			case 2:
				a = a.WithAnswered()
			case 3:
				a = a.WithCommitSending()
			case 4:
				a = a.WithRolledBack()
				mayHaveRun = mayHaveRun && !open
			case 5:
				mayHaveRun = mayHaveRun && (!open || a.commitSent)
				a = a.WithConnectionLost()
			}
		}
		require.Equal(t, !mayHaveRun, a.Outcome() == dfresult.NotRun)
		require.False(t, noRepeat && sends > 1)
		require.Equal(t, a.Code().Outcome(), a.Outcome())
	}
}

// TestAnswerCache guards against answers that are kept without bound in number or time,
// and against a repeat that gets a different answer from the first.
func TestAnswerCache(t *testing.T) {
	cache := NewAnswerCache()
	key := Key{Service: "orders", Caller: "shop", Text: "k"}
	cache.Put(1, key, []byte("first"))
	cache.Put(2, key, []byte("second"))
	answer, found := cache.Get(Retention, key)
	require.True(t, found)
	require.Equal(t, "first", string(answer))
	_, found = cache.Get(1+Retention, key)
	require.False(t, found)
	for i := range MaxCachedAnswers + 10 {
		cache.Put(2*Retention, Key{Text: string(rune(i + 1000))}, nil)
	}
	require.Equal(t, MaxCachedAnswers, cache.Len())
}

// TestPlan guards against relying on a transaction ID at a primary that may have
// assigned it to another transaction.
func TestPlan(t *testing.T) {
	history, err := dfposition.ParseHistory("1:0,2:100")
	require.NoError(t, err)
	leader := dfgroup.Status{Upstream: "b", Role: dfgroup.RolePrimary, Accepted: 2, Flushed: 150, History: history}
	known := Transaction{ID: 9, Term: 1, AssignedBy: dfposition.Position{Term: 1, Offset: 90}}
	require.Equal(t, QueryStatus{Upstream: "b", ID: 9}, known.Plan(leader, true))
	require.Equal(t, AwaitPrimary{}, known.Plan(leader, false))
	lost := Transaction{ID: 9, Term: 1, AssignedBy: dfposition.Position{Term: 1, Offset: 101}}
	require.Equal(t, Conclude{dfresult.Unknown}, lost.Plan(leader, true))
	require.Equal(t, Conclude{dfresult.Unknown}, Transaction{ID: 9, Term: 1}.Plan(leader, true))
	require.Equal(t, QueryStatus{Upstream: "b", ID: 9}, Transaction{ID: 9, Term: 2}.Plan(leader, true))
	require.Equal(t, Conclude{dfresult.Unknown}, known.Conclusion("in progress"))
	require.Equal(t, Conclude{dfresult.Done}, known.Conclusion("committed"))
	require.Equal(t, Conclude{dfresult.NotRun}, known.Conclusion("aborted"))
}
