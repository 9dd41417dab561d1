package dfcli

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfdemo"
	"dragonflygrade/dfload"
)

// DemoCommand runs a whole deployment in one process.
type DemoCommand struct {
	Deployment string        `help:"Deployment: consortium or kovacik." enum:"consortium,kovacik" default:"consortium"`
	Hosts      int           `help:"Number of hosts, 1 to 50." default:"6"`
	Callers    int           `help:"Number of callers, 1 to 2000." default:"60"`
	Duration   time.Duration `help:"Length of the load." default:"20s"`
	ThinkTime  time.Duration `help:"Mean pause of a caller between requests." default:"20ms"`
	TokenShare float64       `help:"Share of callers that present session tokens, 0 to 1." default:"0.5"`
	Seed       uint64        `help:"Seed of callers, links and faults." default:"1"`
	Faults     bool          `help:"Cause a seeded schedule of faults instead of one killed primary."`
	Hold       bool          `help:"Keep the stack up and print how to connect."`
	Delays     bool          `help:"Apply the deployment's delays between data centres." default:"true" negatable:""`
	Loss       float64       `help:"Share of writes between data centres that are sent again, 0 to 1." default:"0"`
	Lag        time.Duration `help:"Delay with which replicas apply." default:"20ms"`
	JSON       bool          `help:"Print the measures as one JSON object on the last line."`
}

// Run runs the demo.
func (c *DemoCommand) Run(env *environment) error {
	options := dfdemo.Options{
		Deployment: c.Deployment,
		Hosts:      c.Hosts,
		Callers:    c.Callers,
		Duration:   c.Duration,
		ThinkTime:  c.ThinkTime,
		TokenShare: c.TokenShare,
		Seed:       c.Seed,
		Faults:     c.Faults,
		Hold:       c.Hold,
		Delays:     c.Delays,
		Loss:       c.Loss,
		Lag:        dfclock.Millis(c.Lag.Milliseconds()),
		MemberLag:  dfclock.Second,
	}
	if err := options.Check(); err != nil {
		return usageError{err}
	}
	report, err := dfdemo.Run(env.ctx, options, os.Stdout)
	if err != nil {
		return err
	}
	if c.Hold {
		return nil
	}
	return printReport(report, c.JSON)
}

// printReport prints the measures and fails if one that must be zero is not.
func printReport(report dfload.Report, asJSON bool) error {
	report.WriteText(os.Stdout)
	if asJSON {
		if err := report.WriteJSON(os.Stdout); err != nil {
			return eris.Wrap(err, "print report")
		}
	}
	if violations := report.Violations(); len(violations) > 0 {
		return violationError{fmt.Errorf("must be zero: %s", strings.Join(violations, ", "))}
	}
	return nil
}
