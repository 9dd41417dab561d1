package dfforward

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfreport"
	"dragonflygrade/dfstatement"
)

// Guards against replies without the report of their carrier, and against reports that
// count what is no statement of a caller, or blame the upstream for none.
func TestRepliesHaveReports(t *testing.T) {
	h, client := newFakeHost(t)
	h.pool.SetAdmissionLimit(2, false)
	ledger := dfreport.NewLedger()
	sum := dfreport.Counts{}
	run := func(statement dfstatement.Statement) {
		t.Helper()
		conn := client.Conn(context.Background(), "u", "", 0, 500)
		_, _, _ = conn.Exchange(nil, inOneSecond(), newCall(statement))
		if carrier, report, ok := conn.LoadReport(); ok {
			for _, o := range ledger.Record(now(), carrier, report) {
				sum.Good, sum.Failed, sum.Lost = sum.Good+o.Counts.Good, sum.Failed+o.Counts.Failed, sum.Lost+o.Counts.Lost
			}
		}
		conn.Release(true)
	}
	run(dfstatement.Status{})
	require.Zero(t, sum, "the carrier saw nothing")
	for range 3 {
		run(dfstatement.Read{Item: "x"})
	}
	require.Equal(t, dfreport.Counts{Good: 3}, sum)
	h.transports[0].mu.Lock()
	h.transports[0].unresponsive = true
	h.transports[0].mu.Unlock()
	run(dfstatement.Read{Item: "x"})
	require.Equal(t, dfreport.Counts{Good: 3, Lost: 1}, sum)
}

// Guards against reports that cost more than the answers that they come with. A client
// that asks once a second gets the slots of a second.
func TestReportsAreShort(t *testing.T) {
	recorder := dfreport.NewRecorder(0, 1<<31)
	var earlier dfreport.Report
	for at := dfclock.Millis(0); at < 4000; at += 20 {
		recorder.Record(at, dfreport.Good)
		if at == 3000 {
			earlier, _ = recorder.Report(at, dfreport.Queue{})
		}
	}
	report, ok := recorder.Report(3999, dfreport.Queue{Queued: 30, Running: 3, Wait: 150, Latency: 40})
	require.True(t, ok)
	whole, err := cbor.Marshal(report)
	require.NoError(t, err)
	news, err := cbor.Marshal(report.Since(earlier))
	require.NoError(t, err)
	t.Logf("%d bytes, %d after a second", len(whole), len(news))
	require.Less(t, len(news), 50)
	require.Less(t, len(whole), 100)
}
