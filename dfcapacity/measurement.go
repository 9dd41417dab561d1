package dfcapacity

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Sizes are the sizes of each measurement, in rising order.
type Sizes struct {
	Positions  []int
	Records    []int
	Statements []int
	Services   []int
	Hosts      []int
	Databases  []int
	Callers    []int
	Calls      []int
	Members    []int
	Promotions []int
	// Rounds repeats short measurements.
	Rounds int
	// Spread is the virtual span of the spreading, Watch the real one of the
	// watchers.
	Spread int
	Watch  time.Duration
}

// FullSizes are the sizes behind docs/CAPACITY.md.
func FullSizes() Sizes {
	return Sizes{
		Positions:  []int{1000, 2000, 4000, 8000, 16000},
		Records:    []int{500, 1000, 2000, 4000},
		Statements: []int{750, 1500, 3000, 6000},
		Services:   []int{500, 1000, 2000, 4000},
		Hosts:      []int{50, 100, 200, 400},
		Databases:  []int{1, 4, 8, 16, 32, 64},
		Callers:    []int{500, 1000, 2000, 4000, 8000},
		Calls:      []int{2000, 4000, 8000, 16000},
		Members:    []int{500, 1000, 2000, 4000},
		Promotions: []int{1, 2, 4, 8, 16},
		Rounds:     40,
		Spread:     30000,
		Watch:      4 * time.Second,
	}
}

// SmallSizes run within seconds and serve to try the measurements.
func SmallSizes() Sizes {
	return Sizes{
		Positions:  []int{50, 100, 200, 400},
		Records:    []int{20, 40, 80, 160},
		Statements: []int{20, 30, 40},
		Services:   []int{20, 30, 40},
		Hosts:      []int{20, 30, 40},
		Databases:  []int{1, 2, 3},
		Callers:    []int{5, 10, 20, 40},
		Calls:      []int{20, 40, 80},
		Members:    []int{20, 40, 80},
		Promotions: []int{1, 2, 3},
		Rounds:     2,
		Spread:     2000,
		Watch:      20 * time.Millisecond,
	}
}

// measurement collects points.
type measurement struct {
	sizes  Sizes
	seed   uint64
	points map[string][]Point
	placed placed
}

func (m *measurement) add(key string, size int, value float64) {
	m.points[key] = append(m.points[key], Point{float64(size), value})
}

// subject describes a series; the order is that of the table.
type subject struct{ key, what, unit, size string }

func errBehind(version, head uint64) error {
	return eris.Errorf("capacity: version %d is in force instead of %d", version, head)
}

// Measure runs every measurement and fits the lines. Measurements run one after
// the other, because each takes the whole process's time and memory.
func Measure(ctx context.Context, sizes Sizes, seed uint64, progress func(string)) (Report, error) {
	m := &measurement{sizes: sizes, seed: seed, points: make(map[string][]Point)}
	for _, part := range parts() {
		if err := ctx.Err(); err != nil {
			return Report{}, eris.Wrap(err, "capacity: interrupted")
		}
		progress(part.name)
		if err := part.run(m, ctx); err != nil {
			return Report{}, eris.Wrapf(err, "capacity: %s", part.name)
		}
	}
	report, err := newReport(m.points)
	report.placed = m.placed
	return report, err
}

type part struct {
	name string
	run  func(*measurement, context.Context) error
}

func newReport(points map[string][]Point) (Report, error) {
	report := Report{series: make(map[string]Series, len(subjects))}
	for _, subject := range subjects {
		line, err := Fit(points[subject.key])
		if err != nil {
			return Report{}, eris.Wrap(err, subject.key)
		}
		series := Series{subject.key, subject.what, subject.unit, subject.size, points[subject.key], line}
		report.series[subject.key] = series
		report.Series = append(report.Series, series)
	}
	return report, nil
}

func errNoSlot(databases int) error {
	return eris.Errorf("capacity: a host of %d databases got no slot", databases)
}
