package dfload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jackc/pgx/v5"

	"dragonflygrade/dfresult"
)

// tokenParameter is the parameter in which hosts report a session token.
const tokenParameter = "dragonflygrade.token"

// caller is one roaming caller. It is used by one goroutine.
type caller struct {
	run     *run
	name    string
	service Target
	random  *rand.Rand
	// conns has at most one connection for each host, opened on demand.
	conns []*pgx.Conn
	// token is the newest token, or empty if the caller presents none.
	token     string
	useTokens bool
	// presented is the token last presented on each connection.
	presented []string
	// acked lists the ids of own orders known to be done and not rolled back.
	acked []int64
	// base is added to serial, which counts own orders, to form their ids.
	base   int64
	serial int64
}

// Parts of an order's id: seed, caller and serial number. Ids of runs with
// different seeds do not meet, so that a database can be used again.
const (
	ordersPerCaller = 1_000_000
	callersPerID    = 10_000
	seedsPerID      = 100_000
	// reservedCallers are callers with a negative index.
	reservedCallers = 100
)

// nextID returns the id of a new order.
func (c *caller) nextID() int64 {
	c.serial++
	return c.base + c.serial
}

// ackedMemory is the number of own acknowledged orders that a caller looks up.
const ackedMemory = 32

func newCaller(r *run, index int, service Target) *caller {
	seed := r.options.Seed
	return &caller{
		run:       r,
		base:      (int64(seed%seedsPerID)*callersPerID + int64(index+reservedCallers)) * ordersPerCaller,
		name:      fmt.Sprintf("caller-%d", index),
		service:   service,
		random:    rand.New(rand.NewPCG(seed, uint64(index)+1)),
		conns:     make([]*pgx.Conn, len(service.Hosts)),
		presented: make([]string, len(service.Hosts)),
		useTokens: float64(index%100) < r.options.TokenShare*100,
	}
}

func (c *caller) loop(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		c.step(ctx)
		if !c.pause(ctx) {
			return
		}
	}
}

// pause waits for the think time.
func (c *caller) pause(ctx context.Context) bool {
	think := c.run.options.ThinkTime
	if think <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(float64(think) * (0.5 + c.random.Float64())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *caller) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close(ctx)
		}
	}
}

// step runs one request of the mix at a random host.
func (c *caller) step(ctx context.Context) {
	kind := c.run.mix.Pick(c.random)
	host := c.random.IntN(len(c.service.Hosts))
	// Requests in flight at the end of the run are finished, not cut.
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.run.options.RequestTimeout)
	defer cancel()
	conn, err := c.connect(requestCtx, host)
	if err != nil {
		c.run.counters.refuse("connect")
		time.Sleep(connectPause)
		return
	}
	started := time.Now()
	if kind.IsWrite() {
		c.write(requestCtx, kind, conn)
	} else {
		c.read(requestCtx, kind, conn, host)
	}
	c.run.counters.observe(kind, time.Since(started))
	if conn.IsClosed() {
		c.conns[host] = nil
		c.presented[host] = ""
	}
}

// connectPause spaces attempts to reach a host that refuses connections.
const connectPause = 20 * time.Millisecond

func (c *caller) connect(ctx context.Context, host int) (*pgx.Conn, error) {
	if conn := c.conns[host]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	config, err := c.service.config(c.service.Hosts[host], c.name)
	if err != nil {
		return nil, err
	}
	if c.run.options.Dial != nil {
		config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.run.options.Dial(ctx, network, address)
		}
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	c.conns[host] = conn
	c.presented[host] = ""
	return conn, nil
}

// present sends the newest token if the host does not have it yet.
func (c *caller) present(ctx context.Context, conn *pgx.Conn, host int) error {
	if !c.useTokens || c.token == "" || c.presented[host] == c.token {
		return nil
	}
	_, err := conn.Exec(ctx, "SET "+tokenParameter+" = '"+c.token+"'", pgx.QueryExecModeSimpleProtocol)
	if err == nil {
		c.presented[host] = c.token
	}
	return err
}

func (c *caller) read(ctx context.Context, kind Kind, conn *pgx.Conn, host int) {
	c.run.counters.reads.Add(1)
	err := c.present(ctx, conn, host)
	if err == nil {
		switch kind {
		case KindOwnOrders:
			err = c.readOwnOrder(ctx, conn)
		case KindTicket:
			err = c.readTicket(ctx, conn)
		default:
			err = c.readCatalogue(ctx, conn)
		}
	}
	if err != nil {
		_, code := outcomeOf(err)
		c.run.counters.refuse(code)
	}
}

// readOwnOrder looks up one acknowledged order of the caller, which must be there.
func (c *caller) readOwnOrder(ctx context.Context, conn *pgx.Conn) error {
	want := c.base
	if len(c.acked) > 0 {
		// The newest order is the one that a lagging replica lacks.
		want = c.acked[len(c.acked)-1-min(c.random.IntN(4), len(c.acked)-1)]
	}
	var id int64
	var owner string
	err := conn.QueryRow(ctx, "SELECT id, caller FROM orders WHERE id = $1", want).Scan(&id, &owner)
	if errors.Is(err, pgx.ErrNoRows) {
		if len(c.acked) > 0 {
			c.run.counters.stale(fmt.Sprintf("%s lacks order %d", c.name, want))
		}
		return nil
	}
	if err != nil {
		return err
	}
	if id != want || owner != c.name {
		c.run.counters.mixed.Add(1)
	}
	return nil
}

// readCatalogue checks that the price, which counts versions, is as new as declared.
func (c *caller) readCatalogue(ctx context.Context, conn *pgx.Conn) error {
	required := c.run.ledger.RequiredVersion(c.service.Service, time.Now().Add(-c.run.options.CatalogueMaxAge))
	var item string
	var version int64
	err := conn.QueryRow(ctx, "SELECT item, price FROM catalogue WHERE item = $1", versionedItem).Scan(&item, &version)
	if err != nil {
		return err
	}
	if item != versionedItem {
		c.run.counters.mixed.Add(1)
	}
	if version < required {
		c.run.counters.stale(fmt.Sprintf("catalogue version %d, want at least %d", version, required))
	}
	return nil
}

func (c *caller) readTicket(ctx context.Context, conn *pgx.Conn) error {
	want := 1 + c.random.Int64N(tickets)
	var id int64
	err := conn.QueryRow(ctx, "SELECT id FROM tickets WHERE id = $1", want).Scan(&id)
	if err == nil && id != want {
		c.run.counters.mixed.Add(1)
	}
	return err
}

func (c *caller) write(ctx context.Context, kind Kind, conn *pgx.Conn) {
	c.run.counters.writes.Add(1)
	if kind == KindOrder && len(c.acked) > 0 && c.random.IntN(raiseShare) == 0 {
		c.raise(ctx, conn)
		return
	}
	id := c.nextID()
	var outcome dfresult.Outcome
	var code string
	switch kind {
	case KindTransaction, KindRollback:
		outcome, code = c.transact(ctx, conn, id, kind == KindRollback)
	default:
		outcome, code = c.insert(ctx, conn, id)
	}
	c.run.ledger.Tell(c.service.Service, id, outcome)
	c.account(id, kind, outcome, code)
	c.takeToken(conn)
}

func (c *caller) account(id int64, kind Kind, outcome dfresult.Outcome, code string) {
	switch outcome {
	case dfresult.Done:
		c.run.counters.acked.Add(1)
		c.acked = append(c.acked, id)
		if len(c.acked) > ackedMemory {
			c.acked = c.acked[1:]
		}
	case dfresult.Unknown:
		c.run.counters.unknown.Add(1)
		c.run.counters.explain(code)
	default:
		if kind != KindRollback || code != "" {
			c.run.counters.refuse(code)
		}
	}
}

const (
	// firstQuantity is the quantity of a new order.
	firstQuantity = 1
	// raiseShare makes one of so many orders an increment of an earlier one,
	// which shows a statement that ran twice.
	raiseShare = 3
)

// raise increments the quantity of an earlier order.
func (c *caller) raise(ctx context.Context, conn *pgx.Conn) {
	id := c.acked[c.random.IntN(len(c.acked))]
	_, err := conn.Exec(ctx, "UPDATE orders SET quantity = quantity + 1 WHERE id = $1", id)
	outcome, code := outcomeOf(err)
	c.run.ledger.TellRaise(c.service.Service, id, outcome)
	switch outcome {
	case dfresult.Done:
		c.run.counters.acked.Add(1)
	case dfresult.Unknown:
		c.run.counters.unknown.Add(1)
		c.run.counters.explain(code)
	default:
		c.run.counters.refuse(code)
	}
	c.takeToken(conn)
}

// takeToken remembers the newest token that a host reported.
func (c *caller) takeToken(conn *pgx.Conn) {
	if !c.useTokens || conn.IsClosed() {
		return
	}
	if token := conn.PgConn().ParameterStatus(tokenParameter); token != "" {
		c.token = token
	}
}

const insertOrder = "INSERT INTO orders (id, caller, item, quantity, status) VALUES ($1, $2, $3, $4, $5)"

func (c *caller) insert(ctx context.Context, conn *pgx.Conn, id int64) (dfresult.Outcome, string) {
	_, err := conn.Exec(ctx, insertOrder, id, c.name, versionedItem, firstQuantity, "booked")
	return outcomeOf(err)
}

// transact writes in a transaction. A failure before COMMIT was sent means
// that nothing ran.
func (c *caller) transact(ctx context.Context, conn *pgx.Conn, id int64, rollback bool) (dfresult.Outcome, string) {
	tx, err := conn.Begin(ctx)
	if err != nil {
		_, code := outcomeOf(err)
		return dfresult.NotRun, code
	}
	_, err = tx.Exec(ctx, insertOrder, id, c.name, versionedItem, firstQuantity, "draft")
	if err == nil {
		_, err = tx.Exec(ctx, "UPDATE orders SET status = $1 WHERE id = $2", "booked", id)
	}
	if err != nil {
		_, code := outcomeOf(err)
		_ = tx.Rollback(ctx)
		return dfresult.NotRun, code
	}
	if rollback {
		_ = tx.Rollback(ctx)
		return dfresult.NotRun, ""
	}
	return outcomeOf(tx.Commit(ctx))
}
