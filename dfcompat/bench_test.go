package dfcompat

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// slice is how long one path is loaded before the next one. Paths take turns,
// so that other load on the machine falls on all of them.
const slice = 150 * time.Millisecond

// rounds is the number of turns of each path.
const rounds = 5

// Statements of the benchmark by kind.
var workloads = []struct {
	name, sql string
}{
	{"reads", "SELECT n FROM bench WHERE id = $1"},
	{"writes", "UPDATE bench SET n = n + 1 WHERE id = $1"},
}

// BenchmarkPaths measures throughput and latency over hosts against a direct
// connection. Set DRAGONFLYGRADE_BENCH_PATH to load one path only, for profiles.
func BenchmarkPaths(b *testing.B) {
	s := newSite(b)
	for i, path := range s.paths() {
		if i == 2 {
			continue
		}
		conn := path.connect(b)
		exec(b, conn, "CREATE TABLE bench(id bigint primary key, n int)")
		for id := range 128 {
			exec(b, conn, fmt.Sprintf("INSERT INTO bench VALUES (%d, 0)", id))
		}
	}
	for _, workload := range workloads {
		for _, callers := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", workload.name, callers), func(b *testing.B) {
				measure(b, s, workload.sql, callers)
			})
		}
	}
}

func exec(tb testing.TB, conn *pgconn.PgConn, sql string) {
	tb.Helper()
	_, err := conn.Exec(tb.Context(), sql).ReadAll()
	require.NoError(tb, err)
}

// figures are the latencies of one path and the time it was loaded.
type figures struct {
	latencies []time.Duration
	loaded    time.Duration
	allocated uint64
}

func (f figures) perSecond() float64 {
	return float64(len(f.latencies)) / f.loaded.Seconds()
}

func (f figures) quantile(q float64) time.Duration {
	return f.latencies[int(float64(len(f.latencies)-1)*q)]
}

func measure(b *testing.B, s *site, sql string, callers int) {
	only := os.Getenv("DRAGONFLYGRADE_BENCH_PATH")
	paths := s.paths()
	conns := make([][]*pgconn.PgConn, len(paths))
	for i, path := range paths {
		if only != "" && only != path.name {
			continue
		}
		for range callers {
			conn := path.connect(b)
			_, err := conn.Prepare(b.Context(), "run", sql, nil)
			require.NoError(b, err)
			conns[i] = append(conns[i], conn)
		}
	}
	all := make([]figures, len(paths))
	for b.Loop() {
		for range rounds {
			for i := range paths {
				load(b, conns[i], &all[i])
			}
		}
	}
	for i, path := range paths {
		if len(all[i].latencies) == 0 {
			continue
		}
		slices.Sort(all[i].latencies)
		b.ReportMetric(all[i].perSecond(), path.name+"-op/s")
		b.ReportMetric(float64(all[i].allocated)/float64(len(all[i].latencies)), path.name+"-allocs/op")
		if i == 0 || len(all[0].latencies) == 0 {
			continue
		}
		b.ReportMetric(all[i].perSecond()/all[0].perSecond(), path.name+"-ratio")
		b.ReportMetric(micros(all[i].quantile(0.5)-all[0].quantile(0.5)), path.name+"-p50+us")
		b.ReportMetric(micros(all[i].quantile(0.99)-all[0].quantile(0.99)), path.name+"-p99+us")
	}
	b.ReportMetric(0, "ns/op")
}

func micros(span time.Duration) float64 {
	return float64(span.Nanoseconds()) / 1000
}

// load runs statements on all connections for one slice.
func load(b *testing.B, conns []*pgconn.PgConn, total *figures) {
	if len(conns) == 0 {
		return
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	latencies := make([][]time.Duration, len(conns))
	var running sync.WaitGroup
	for i, conn := range conns {
		running.Go(func() {
			id := [][]byte{[]byte(fmt.Sprint(i))}
			for begun := time.Now(); begun.Sub(started) < slice; {
				result := conn.ExecPrepared(context.Background(), "run", id, nil, nil).Read()
				if result.Err != nil {
					b.Error(result.Err)
					return
				}
				ended := time.Now()
				latencies[i] = append(latencies[i], ended.Sub(begun))
				begun = ended
			}
		})
	}
	running.Wait()
	total.loaded += time.Since(started)
	runtime.ReadMemStats(&after)
	total.allocated += after.Mallocs - before.Mallocs
	total.latencies = append(total.latencies, slices.Concat(latencies...)...)
}
