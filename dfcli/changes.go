package dfcli

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfdemo"
)

// ChangesCommand measures changes of primary.
type ChangesCommand struct {
	Deployment string        `help:"Deployment: consortium or kovacik." enum:"consortium,kovacik" default:"consortium"`
	Kinds      []string      `help:"Kinds of changes: killed, paused, partitioned, planned." default:"killed,paused,partitioned,planned"`
	Rounds     int           `help:"Changes of each kind at each of the three databases, 1 to 1000." default:"34"`
	Callers    int           `help:"Number of callers, 1 to 2000." default:"30"`
	Loss       float64       `help:"Share of writes between data centres that are sent again, 0 to 1." default:"0"`
	Lag        time.Duration `help:"Delay with which replicas apply." default:"20ms"`
	Seed       uint64        `help:"Seed of callers and links." default:"1"`
	JSON       bool          `help:"Print the measures of the load as one JSON object on the last line."`
}

// maxRounds keeps a measurement bounded.
const maxRounds = 1000

// Run measures and prints a table.
func (c *ChangesCommand) Run(env *environment) error {
	if c.Rounds < 1 || c.Rounds > maxRounds {
		return usageError{eris.Errorf("rounds is %d: use 1 to %d", c.Rounds, maxRounds)}
	}
	for _, kind := range c.Kinds {
		if !knownKind(kind) {
			return usageError{eris.Errorf("kind %q is not known: use killed, paused, partitioned or planned", kind)}
		}
	}
	options := dfdemo.Options{
		Deployment: c.Deployment,
		Hosts:      6,
		Callers:    c.Callers,
		ThinkTime:  20 * time.Millisecond,
		TokenShare: 0.5,
		Seed:       c.Seed,
		Delays:     true,
		Loss:       c.Loss,
		Lag:        dfclock.Millis(c.Lag.Milliseconds()),
		MemberLag:  dfclock.Second,
	}
	report, err := dfdemo.MeasureChanges(env.ctx, options, c.Kinds, c.Rounds, os.Stdout)
	if err != nil {
		return err
	}
	report.WriteMarkdown(os.Stdout)
	return printReport(report.Load, c.JSON)
}

func knownKind(kind string) bool {
	for _, known := range dfdemo.ChangeKinds {
		if kind == known {
			return true
		}
	}
	return false
}
