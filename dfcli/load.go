package dfcli

import (
	"context"
	"time"

	"dragonflygrade/dfload"
)

// LoadCommand drives hosts or upstreams.
type LoadCommand struct {
	Service         string        `help:"Service name, or database name of an upstream." required:""`
	User            string        `help:"User name." required:""`
	Password        string        `help:"Password."`
	Hosts           []string      `help:"ip:port of each host, separated by commas." required:""`
	Admin           []string      `help:"ip:port of the hosts' admin addresses; the shares of reads come from their metrics."`
	Check           bool          `help:"Compare what callers were told with the orders at the primary." default:"true" negatable:""`
	Direct          []string      `help:"ip:port of upstreams, primary first; the ratios compare with them."`
	DirectUser      string        `help:"User name at the upstreams." default:"dragonflygrade"`
	DirectPassword  string        `help:"Password at the upstreams."`
	Callers         int           `help:"Number of callers, 1 to 2000." default:"64"`
	Mix             string        `help:"Mix of requests: consortium, kovacik, reads or writes." enum:"consortium,kovacik,reads,writes" default:"kovacik"`
	Duration        time.Duration `help:"Length of the run, at most 1h." default:"10s"`
	ThinkTime       time.Duration `help:"Mean pause of a caller between requests." default:"0s"`
	TokenShare      float64       `help:"Share of callers that present session tokens, 0 to 1." default:"0"`
	CatalogueMaxAge time.Duration `help:"Declared staleness of catalogue reads." default:"30s"`
	Seed            uint64        `help:"Seed of the callers; also part of order ids." default:"1"`
	JSON            bool          `help:"Print the measures as one JSON object on the last line."`
}

// Run runs the load.
func (c *LoadCommand) Run(env *environment) error {
	options := dfload.Options{
		Targets:         []dfload.Target{{Service: c.Service, User: c.User, Password: c.Password, Hosts: c.Hosts}},
		Callers:         c.Callers,
		Mix:             c.Mix,
		Duration:        c.Duration,
		ThinkTime:       c.ThinkTime,
		RequestTimeout:  10 * time.Second,
		TokenShare:      c.TokenShare,
		CatalogueMaxAge: c.CatalogueMaxAge,
		Seed:            c.Seed,
	}
	if err := options.Check(); err != nil {
		return usageError{err}
	}
	before, err := dfload.Scrape(env.ctx, c.Admin)
	if err != nil {
		return usageError{err}
	}
	report, ledger, err := dfload.Run(env.ctx, options)
	if err != nil {
		return err
	}
	if err := c.check(env.ctx, options.Targets[0], ledger, &report, before); err != nil {
		return err
	}
	if len(c.Direct) > 0 {
		options.Targets[0].Hosts = c.Direct[:1]
		options.Targets[0].User, options.Targets[0].Password = c.DirectUser, c.DirectPassword
		options.TokenShare, options.Seed = 0, c.Seed+1
		direct, _, err := dfload.Run(env.ctx, options)
		if err != nil {
			return err
		}
		report = report.WithDirect(direct)
	}
	return printReport(report, c.JSON)
}

// check completes the report with the orders at the primary and the hosts' counters.
func (c *LoadCommand) check(ctx context.Context, target dfload.Target, ledger *dfload.Ledger, report *dfload.Report, before map[string]float64) error {
	if c.Check {
		record, err := dfload.FetchRecord(ctx, target)
		if err != nil {
			return err
		}
		report.Apply(ledger.Check(target.Service, record))
	}
	if len(c.Admin) == 0 {
		return nil
	}
	after, err := dfload.Scrape(ctx, c.Admin)
	if err != nil {
		return err
	}
	report.AddCounters(before, after)
	return nil
}
