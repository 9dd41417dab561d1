package dfload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// staleSamples is the number of stale reads that are kept for the log.
const staleSamples = 5

// counters collects the figures of a run. Methods may be called concurrently.
type counters struct {
	reads, writes, acked, unknown, refused, mixed, staleReads atomic.Int64

	mu      sync.Mutex
	codes   map[string]int64
	samples []string
	all     *hdrhistogram.Histogram
	writing *hdrhistogram.Histogram
}

func newCounters() *counters {
	return &counters{codes: make(map[string]int64), all: newHistogram(), writing: newHistogram()}
}

func (c *counters) refuse(code string) {
	c.refused.Add(1)
	c.explain(code)
}

func (c *counters) explain(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes[code]++
}

func (c *counters) stale(sample string) {
	c.staleReads.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.samples) < staleSamples {
		c.samples = append(c.samples, sample)
	}
}

func (c *counters) observe(kind Kind, latency time.Duration) {
	micros := max(latency.Microseconds(), minLatencyMicros)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.all.RecordValue(min(micros, maxLatencyMicros))
	if kind.IsWrite() {
		_ = c.writing.RecordValue(min(micros, maxLatencyMicros))
	}
}

func (c *counters) fill(report *Report, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Reads = c.reads.Load()
	report.Writes = c.writes.Load()
	report.AckedWrites = c.acked.Load()
	report.UnknownWrites = c.unknown.Load()
	report.Refused = c.refused.Load()
	report.MixedAnswers = c.mixed.Load()
	report.StaleReads = c.staleReads.Load()
	report.RefusedCodes = make(map[string]int64, len(c.codes))
	for code, count := range c.codes {
		report.RefusedCodes[code] = count
	}
	report.DurationSeconds = elapsed.Seconds()
	report.RequestsPerSecond = float64(c.all.TotalCount()) / elapsed.Seconds()
	report.LatencyMicrosP50 = c.all.ValueAtQuantile(50)
	report.LatencyMicrosP99 = c.all.ValueAtQuantile(99)
	report.WriteMicrosP50 = c.writing.ValueAtQuantile(50)
	report.WriteMicrosP99 = c.writing.ValueAtQuantile(99)
}
