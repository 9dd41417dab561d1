package dfcapacity

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

func smallReport(t *testing.T) Report {
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	report, err := Measure(context.Background(), SmallSizes(), 1, func(string) {})
	require.NoError(t, err)
	return report
}

// Guards against a measurement that fails or gives no points, and against a
// page that lacks the markers of a table.
func TestMeasureFillsThePage(t *testing.T) {
	report := smallReport(t)
	for _, series := range report.Series {
		require.NotEmpty(t, series.Points, series.Key)
	}
	page, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	next, err := report.Write(string(page))
	require.NoError(t, err)
	for _, section := range report.Sections() {
		require.NotEmpty(t, section.Table.Rows, section.Name)
		require.Contains(t, next, section.Table.Markdown())
		for _, row := range section.Table.Rows {
			require.Len(t, row, len(section.Table.Head), section.Name)
			require.NotContains(t, strings.Join(row, " "), "NaN", section.Name)
		}
	}
}

// Guards against messages and virtual times that differ between runs of a seed.
func TestSpreadingRepeatsForASeed(t *testing.T) {
	var runs [2]map[string][]Point
	for i := range runs {
		m := &measurement{sizes: Sizes{Hosts: []int{12, 24}, Spread: 4000}, seed: 7, points: make(map[string][]Point)}
		require.NoError(t, m.spreading(context.Background()))
		runs[i] = m.points
	}
	for _, key := range []string{"spread.calls", "spread.bytes", "spread.changeCalls", "spread.changeBytes", "spread.reach"} {
		require.Equal(t, runs[0][key], runs[1][key], key)
	}
}

// Guards against a spreading that counts a change as in force although a host
// lacks it: without contact to the head nobody can adopt.
func TestSpreadingReportsHostsBehind(t *testing.T) {
	m := &measurement{sizes: Sizes{Spread: 4000}, seed: 7, points: make(map[string][]Point)}
	n, err := newSpreadNet(8, 7)
	require.NoError(t, err)
	defer n.stop()
	cut, err := newPublished(spreadServices)
	require.NoError(t, err)
	for _, host := range n.hosts {
		host.head = &cut
	}
	require.NoError(t, n.run(spreadSettle))
	require.ErrorContains(t, m.spreadChanges(n, 8, 0, 0), "is in force instead of")
}

// Guards against sums of the target that differ from the design's figures.
func TestTarget(t *testing.T) {
	require.InDelta(t, 6000, Target.CallersPerHost(), 0.1)
	require.InDelta(t, 148, Target.WritesPerHost(), 0.1)
	require.InDelta(t, 5.4, Target.Held(3), 1e-9)
	require.InDelta(t, 9, Target.Held(5), 1e-9)
	require.InDelta(t, 0.0775, Target.ChangesPerSecond(), 1e-4)
	require.Equal(t, "met, 50 % of it", verdict(2, 4))
	require.Equal(t, "**not met**, 2 times", verdict(4, 2))
}
