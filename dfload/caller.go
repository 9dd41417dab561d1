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
	acked  []string
	serial int
}

// ackedMemory is the number of own acknowledged orders that a caller looks up.
const ackedMemory = 32

func newCaller(r *run, index int, service Target) *caller {
	seed := r.options.Seed
	return &caller{
		run:       r,
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
	want := c.name + "-none"
	if len(c.acked) > 0 {
		// The newest order is the one that a lagging replica lacks.
		want = c.acked[len(c.acked)-1-min(c.random.IntN(4), len(c.acked)-1)]
	}
	var id, owner string
	err := conn.QueryRow(ctx, "SELECT id, caller FROM orders WHERE id = $1", want).Scan(&id, &owner)
	if errors.Is(err, pgx.ErrNoRows) {
		if len(c.acked) > 0 {
			c.run.counters.stale(fmt.Sprintf("%s lacks order %s", c.name, want))
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
	want := fmt.Sprintf("ticket-%d", c.random.IntN(tickets))
	var id string
	err := conn.QueryRow(ctx, "SELECT id FROM tickets WHERE id = $1", want).Scan(&id)
	if err == nil && id != want {
		c.run.counters.mixed.Add(1)
	}
	return err
}

func (c *caller) write(ctx context.Context, kind Kind, conn *pgx.Conn) {
	c.run.counters.writes.Add(1)
	c.serial++
	id := fmt.Sprintf("%s-%d-%d", c.name, c.run.options.Seed, c.serial)
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
	if c.useTokens && !conn.IsClosed() {
		if token := conn.PgConn().ParameterStatus(tokenParameter); token != "" {
			c.token = token
		}
	}
}

func (c *caller) account(id string, kind Kind, outcome dfresult.Outcome, code string) {
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

const insertOrder = "INSERT INTO orders (id, caller, item, quantity, status) VALUES ($1, $2, $3, $4, $5)"

func (c *caller) insert(ctx context.Context, conn *pgx.Conn, id string) (dfresult.Outcome, string) {
	_, err := conn.Exec(ctx, insertOrder, id, c.name, versionedItem, 1+c.random.IntN(9), "booked")
	return outcomeOf(err)
}

// transact writes in a transaction. A failure before COMMIT was sent means
// that nothing ran.
func (c *caller) transact(ctx context.Context, conn *pgx.Conn, id string, rollback bool) (dfresult.Outcome, string) {
	tx, err := conn.Begin(ctx)
	if err != nil {
		_, code := outcomeOf(err)
		return dfresult.NotRun, code
	}
	_, err = tx.Exec(ctx, insertOrder, id, c.name, versionedItem, 1, "draft")
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
