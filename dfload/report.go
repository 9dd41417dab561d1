package dfload

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report has the measures of a run. It is printed as one JSON object.
type Report struct {
	Reads            int64
	ReplicaReads     int64
	ReplicaReadShare float64
	LocalReadShare   float64
	// Rungs counts reads by the step of the read ladder that served them.
	Rungs               map[string]int64 `json:",omitempty"`
	Writes              int64
	AckedWrites         int64
	UnknownWrites       int64
	LostWrites          int
	DoubledWrites       int
	StaleReads          int64
	NotRunButRan        int
	MixedAnswers        int64
	ReplacedPrimaryAcks int
	FailoverGapMs       []int64
	FailoverGapMsMax    int64
	Refused             int64
	// RefusedCodes counts refusals by result code or SQLSTATE.
	RefusedCodes  map[string]int64 `json:",omitempty"`
	CutRequests   int64
	LimitExceeded int64
	// InvariantFailures counts the checks that failed inside the program.
	InvariantFailures     int64
	AddedLatencyMicrosP50 int64
	AddedLatencyMicrosP99 int64
	ThroughputRatio       float64
	RequestsPerSecond     float64
	LatencyMicrosP50      int64
	LatencyMicrosP99      int64
	WriteMicrosP50        int64
	WriteMicrosP99        int64
	DurationSeconds       float64
}

// AddGap adds the span without acknowledged writes around a change of primary.
func (r *Report) AddGap(gap time.Duration) {
	r.FailoverGapMs = append(r.FailoverGapMs, gap.Milliseconds())
	r.FailoverGapMsMax = max(r.FailoverGapMsMax, gap.Milliseconds())
}

// WithDirect returns the report with the ratios to a run without hosts.
func (r Report) WithDirect(direct Report) Report {
	r.AddedLatencyMicrosP50 = r.LatencyMicrosP50 - direct.LatencyMicrosP50
	r.AddedLatencyMicrosP99 = r.LatencyMicrosP99 - direct.LatencyMicrosP99
	if direct.RequestsPerSecond > 0 {
		r.ThroughputRatio = r.RequestsPerSecond / direct.RequestsPerSecond
	}
	return r
}

// WriteJSON prints the report on one line.
func (r Report) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r)
}

// Violations names the figures that must be zero and are not.
func (r Report) Violations() []string {
	var names []string
	for _, figure := range []struct {
		name  string
		value int64
	}{
		{"LostWrites", int64(r.LostWrites)},
		{"DoubledWrites", int64(r.DoubledWrites)},
		{"StaleReads", r.StaleReads},
		{"NotRunButRan", int64(r.NotRunButRan)},
		{"MixedAnswers", r.MixedAnswers},
		{"ReplacedPrimaryAcks", int64(r.ReplacedPrimaryAcks)},
		{"LimitExceeded", r.LimitExceeded},
		{"InvariantFailures", r.InvariantFailures},
	} {
		if figure.value != 0 {
			names = append(names, fmt.Sprintf("%s=%d", figure.name, figure.value))
		}
	}
	return names
}

// WriteText prints the report for a person.
func (r Report) WriteText(w io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("requests      %.0f/s over %.1f s, p50 %d us, p99 %d us", r.RequestsPerSecond, r.DurationSeconds, r.LatencyMicrosP50, r.LatencyMicrosP99)
	line("reads         %d, by replicas %d (%.3f), in the same data centre %.3f", r.Reads, r.ReplicaReads, r.ReplicaReadShare, r.LocalReadShare)
	line("read ladder   %v", r.Rungs)
	line("writes        %d, acknowledged %d, unknown %d, p50 %d us, p99 %d us", r.Writes, r.AckedWrites, r.UnknownWrites, r.WriteMicrosP50, r.WriteMicrosP99)
	line("refused       %d %v", r.Refused, r.RefusedCodes)
	line("failover gaps %v ms, longest %d ms", r.FailoverGapMs, r.FailoverGapMsMax)
	line("must be zero  lost %d, doubled %d, stale %d, not run but ran %d, mixed %d, acknowledged by a replaced primary %d, over the limit %d, broken invariants %d",
		r.LostWrites, r.DoubledWrites, r.StaleReads, r.NotRunButRan, r.MixedAnswers, r.ReplacedPrimaryAcks, r.LimitExceeded, r.InvariantFailures)
}

// Bounds of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}
