// Package dfload drives hosts or upstreams with the users' mixes of requests
// through pgx, records what each caller was told, and checks it.
package dfload

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// versionedItem is the catalogue row whose price counts versions.
const versionedItem = "spike"

// tickets is the number of job tickets.
const tickets = 20

// Target is one service and the addresses at which callers reach it.
type Target struct {
	Service  string
	User     string
	Password string
	// Hosts has at least one "ip:port".
	Hosts []string
}

func (t Target) config(address, callerName string) (*pgx.ConnConfig, error) {
	dsn := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(t.User, t.Password),
		Host:     address,
		Path:     "/" + t.Service,
		RawQuery: "sslmode=disable",
	}
	config, err := pgx.ParseConfig(dsn.String())
	if err != nil {
		return nil, eris.Wrapf(err, "load: address %s", address)
	}
	if callerName != "" {
		config.RuntimeParams["dragonflygrade.caller"] = callerName
	}
	return config, nil
}

// Options describes a run.
type Options struct {
	Targets []Target
	// Callers is the number of callers over all targets, at least 1.
	Callers int
	Mix     string
	// Duration bounds the run.
	Duration time.Duration
	// ThinkTime is the mean pause of a caller between requests.
	ThinkTime      time.Duration
	RequestTimeout time.Duration
	// TokenShare is the share of callers, 0 to 1, that present session tokens.
	TokenShare float64
	// CatalogueMaxAge is the declared staleness of catalogue reads.
	CatalogueMaxAge time.Duration
	// Gaps adds one steady writer for each target that measures write gaps.
	Gaps bool
	Seed uint64
	// Started is called when the tables are filled and the load begins; it may be nil.
	Started func()
	// Dial replaces the network dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Check returns every fault of the options.
func (o Options) Check() error {
	var faults []string
	if len(o.Targets) == 0 {
		faults = append(faults, "no target: name at least one service with its hosts")
	}
	if o.Callers < 1 || o.Callers > maxCallers {
		faults = append(faults, fmt.Sprintf("callers is %d: use 1 to %d", o.Callers, maxCallers))
	}
	if o.Duration <= 0 || o.Duration > maxDuration {
		faults = append(faults, fmt.Sprintf("duration is %s: use a span up to %s", o.Duration, maxDuration))
	}
	if o.TokenShare < 0 || o.TokenShare > 1 {
		faults = append(faults, fmt.Sprintf("token share is %g: use 0 to 1", o.TokenShare))
	}
	if _, err := NewMix(o.Mix); err != nil {
		faults = append(faults, err.Error())
	}
	if len(faults) > 0 {
		return eris.Errorf("load: %v", faults)
	}
	return nil
}

// Limits that keep a run bounded in count and time.
const (
	maxCallers  = 2000
	maxDuration = time.Hour
	// versionInterval is the pause between two versions of the catalogue.
	versionInterval = 50 * time.Millisecond
	// gapInterval is the pause between two writes of the gap writer.
	gapInterval = 10 * time.Millisecond
)

// run is one run in progress.
type run struct {
	options  Options
	mix      Mix
	ledger   *Ledger
	counters *counters
}

// Run drives the targets and returns the figures and the ledger. Figures that
// need the record of the upstreams stay zero; see Ledger.Check.
func Run(ctx context.Context, options Options) (Report, *Ledger, error) {
	if err := options.Check(); err != nil {
		return Report{}, nil, err
	}
	mix, err := NewMix(options.Mix)
	if err != nil {
		return Report{}, nil, err
	}
	r := &run{options: options, mix: mix, ledger: NewLedger(), counters: newCounters()}
	var seeding errgroup.Group
	for _, target := range options.Targets {
		seeding.Go(func() error { return r.seedTables(ctx, target) })
	}
	if err := seeding.Wait(); err != nil {
		return Report{}, nil, err
	}
	if options.Started != nil {
		options.Started()
	}
	started := time.Now()
	r.drive(ctx)
	var report Report
	r.counters.fill(&report, time.Since(started))
	for _, sample := range r.counters.samples {
		fmt.Println("load: stale read:", sample)
	}
	return report, r.ledger, nil
}

func (r *run) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range r.options.Callers {
		target := r.options.Targets[i%len(r.options.Targets)]
		group.Go(func() { newCaller(r, i, target).loop(ctx) })
	}
	for _, target := range r.options.Targets {
		group.Go(func() { newVersioner(r, target).loop(ctx) })
		if r.options.Gaps {
			group.Go(func() { newGapWriter(r, target).loop(ctx) })
		}
	}
	group.Wait()
}

// seedTables writes the rows that reads look up.
func (r *run) seedTables(ctx context.Context, target Target) error {
	seeder := newCaller(r, -1, target)
	seeder.name = "seeder"
	defer seeder.close()
	deadline := time.Now().Add(seedTimeout)
	for {
		err := seeder.seed(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return eris.Wrapf(err, "load: seed service %s", target.Service)
		}
		time.Sleep(connectPause)
	}
}

// seedTimeout bounds the wait for a service that is still starting.
const seedTimeout = 20 * time.Second

func (c *caller) seed(ctx context.Context) error {
	host := c.random.IntN(len(c.service.Hosts))
	ctx, cancel := context.WithTimeout(ctx, c.run.options.RequestTimeout)
	defer cancel()
	conn, err := c.connect(ctx, host)
	if err != nil {
		return err
	}
	_, err = conn.Exec(ctx, "INSERT INTO catalogue (item, price, available) VALUES ($1, 0, 100) ON CONFLICT DO NOTHING", versionedItem)
	if err != nil {
		return err
	}
	rows := make([]string, tickets)
	for i := range rows {
		rows[i] = fmt.Sprintf("(%d, 0, 'waiting', 50, 50)", i+1)
	}
	_, err = conn.Exec(ctx, "INSERT INTO tickets (id, order_id, state, ink, paper) VALUES "+strings.Join(rows, ", ")+" ON CONFLICT DO NOTHING")
	return err
}
