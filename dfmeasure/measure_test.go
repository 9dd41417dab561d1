package dfmeasure

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcheck"
	"dragonflygrade/dfclock"
)

func init() {
	dfcheck.SetHandler(dfcheck.Panic)
}

// TestReplicaShare guards against a ladder that leaves the load on the primary,
// and against one that serves stale reads.
func TestReplicaShare(t *testing.T) {
	for policy, aim := range map[Policy]float64{OursWithTokens: 0.95, Ours: 0.90} {
		counts, err := Run(Kovacik(), policy, 100, 60*dfclock.Second, 1)
		require.NoError(t, err)
		require.GreaterOrEqual(t, counts.ReplicaShare(), aim, policy.String())
	}
	for _, deployment := range []Deployment{Consortium(), Kovacik()} {
		for _, lag := range Lags {
			for _, policy := range []Policy{Ours, OursWithTokens} {
				counts, err := Run(deployment, policy, lag, 20*dfclock.Second, 2)
				require.NoError(t, err)
				require.Zero(t, counts.StaleReads, "%s %s %s", deployment.Name, policy, lag)
				require.Positive(t, counts.Reads)
			}
		}
	}
}

// TestBaselineIsStale guards against a model that never counts a stale read.
func TestBaselineIsStale(t *testing.T) {
	counts, err := Run(Kovacik(), Sticky, 10*dfclock.Second, 20*dfclock.Second, 1)
	require.NoError(t, err)
	require.Positive(t, counts.StaleReads)
}

// TestGoodputUnderOverload guards against work for callers who no longer wait.
func TestGoodputUnderOverload(t *testing.T) {
	with, without := OverloadTable(20*dfclock.Second, 1)
	last := len(with) - 1
	require.InDelta(t, 3.0, with[last].Multiple, 0)
	require.GreaterOrEqual(t, with[last].Goodput, 0.9*Peak(with))
	require.Less(t, without[last].Goodput, 0.5*Peak(without), "the model must show the harm of no admission")
}

// TestRunsRepeat guards against figures that cannot be reproduced.
func TestRunsRepeat(t *testing.T) {
	first, err := Run(Consortium(), Ours, 100, 5*dfclock.Second, 3)
	require.NoError(t, err)
	second, err := Run(Consortium(), Ours, 100, 5*dfclock.Second, 3)
	require.NoError(t, err)
	require.Equal(t, first, second)
}

// TestTables guards against tables that are not Markdown. With the variable set
// it prints the tables of the measurements page.
func TestTables(t *testing.T) {
	span := 2 * dfclock.Second
	if os.Getenv("DRAGONFLYGRADE_TABLES") != "" {
		span = 2 * dfclock.Minute
	}
	var text strings.Builder
	require.NoError(t, Write(&text, span, 1))
	require.Equal(t, 2+2*4*5+1+2+2*len(OverloadMultiples), strings.Count(text.String(), "\n"))
	if os.Getenv("DRAGONFLYGRADE_TABLES") != "" {
		t.Log("\n" + text.String())
	}
}
