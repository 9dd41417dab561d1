package dfreport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// total sums observations.
func total(observations []Observation) Counts {
	var sum Counts
	for _, o := range observations {
		sum.Good += o.Counts.Good
		sum.Failed += o.Counts.Failed
		sum.Lost += o.Counts.Lost
	}
	return sum
}

func reportOf(t *testing.T, r *Recorder, now dfclock.Millis) Report {
	t.Helper()
	report, ok := r.Report(now, Queue{Queued: 1, Wait: 10, Latency: 20})
	require.True(t, ok)
	return report
}

// Guards against counts that are lost with a reply, or counted twice because replies
// overtake each other or arrive twice.
func TestLostAndRepeatedReports(t *testing.T) {
	recorder, ledger := NewRecorder(1000, 7), NewLedger()
	recorder.Record(1010, Good)
	first := reportOf(t, recorder, 1020)
	recorder.Record(1030, Failed)
	lost := reportOf(t, recorder, 1040)
	recorder.Record(1500, Lost)
	third := reportOf(t, recorder, 1510)
	require.Equal(t, Counts{Good: 1}, total(ledger.Record(5020, "x", first)))
	observed := ledger.Record(5510, "x", third)
	require.Equal(t, Counts{Failed: 1, Lost: 1}, total(observed), "the report in between was lost")
	require.Equal(t, dfclock.Millis(5500), observed[0].BeganAt, "on the clock of the client")
	require.Empty(t, ledger.Record(5511, "x", third))
	require.Empty(t, ledger.Record(5520, "x", lost), "it arrives late")
	require.Equal(t, Estimate{Wait: 10, Latency: 20, Weight: FreshFor - 9}, ledger.Estimate(5520))
}

// Guards against counts of a restarted carrier that are taken for known ones, and against
// reports of a carrier that no longer carries the upstream.
func TestRestartedAndReplacedCarrier(t *testing.T) {
	ledger := NewLedger()
	for source := uint32(1); source <= 2; source++ {
		recorder := NewRecorder(0, source)
		recorder.Record(10, Good)
		require.Equal(t, Counts{Good: 1}, total(ledger.Record(20, "x", reportOf(t, recorder, 20))))
	}
	ledger.Retain([]string{"y"})
	require.Zero(t, ledger.Estimate(21).Weight)
}

// Guards against a report that weighs as much as this host's own estimate when it is old,
// and against slots that are older than a report goes back.
func TestReportsAge(t *testing.T) {
	recorder, ledger := NewRecorder(0, 1), NewLedger()
	recorder.Record(0, Good)
	ledger.Record(0, "x", reportOf(t, recorder, 0))
	require.Equal(t, FreshFor/2, ledger.Estimate(FreshFor/2).Weight)
	require.Zero(t, ledger.Estimate(FreshFor).Weight)
	_, ok := recorder.Report(SlotCount*SlotSpan, Queue{Running: 1})
	require.False(t, ok, "nothing queued and nothing seen")
}

// Guards against a statement's own fault that counts as a failure of the upstream.
func TestOutcomes(t *testing.T) {
	for code, outcome := range map[dfresult.Code]Outcome{
		dfresult.OK: Good, dfresult.StatementFailed: Failed, dfresult.StatementTimeout: Failed, dfresult.Internal: Failed,
		dfresult.WrongUpstream: Lost, dfresult.ProtocolViolation: Nothing, dfresult.StatementUnknown: Nothing,
		dfresult.NoFreshUpstream: Nothing, dfresult.NeedsPrimary: Nothing, dfresult.QueueFull: Nothing, dfresult.TransactionLost: Nothing,
	} {
		require.Equal(t, outcome, OutcomeOf(code), "%d", code)
	}
}
