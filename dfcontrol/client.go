package dfcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// Dial opens a network connection to an upstream.
type Dial func(ctx context.Context, upstream dfgroup.UpstreamID) (net.Conn, error)

// Client executes control statements as simple queries. It keeps at most two
// connections to each upstream: one for group_wait, which blocks, and one for all
// other statements.
type Client struct {
	dial        Dial
	config      *pgconn.Config
	connections map[dfgroup.UpstreamID]*connections
}

// connections holds the connections to one upstream.
type connections struct{ control, wait *connection }

// connection is a connection that is opened on demand. The goroutine that has
// received from semaphore has exclusive use of it.
type connection struct {
	semaphore chan struct{}
	pgConn    *pgconn.HijackedConn
}

// NewClient returns a client for the upstreams of one database. The password
// may be empty. Any encryption is done by the dial function.
func NewClient(dial Dial, database, password string, upstreams []dfgroup.UpstreamID) (*Client, error) {
	// The host and port are placeholders; the dial function determines the address.
	config, err := pgconn.ParseConfig("host=127.0.0.1 port=5432 sslmode=disable")
	if err != nil {
		return nil, eris.Wrap(err, "control: configuration")
	}
	config.User, config.Password, config.Database = User, password, database
	config.Fallbacks = nil
	client := &Client{dial: dial, config: config, connections: map[dfgroup.UpstreamID]*connections{}}
	for _, id := range upstreams {
		client.connections[id] = &connections{control: newConnection(), wait: newConnection()}
	}
	return client, nil
}

func newConnection() *connection {
	conn := &connection{semaphore: make(chan struct{}, 1)}
	conn.semaphore <- struct{}{}
	return conn
}

// Status returns the status row of the upstream.
func (c *Client) Status(ctx context.Context, upstream dfgroup.UpstreamID) (dfgroup.Status, error) {
	return c.queryControl(ctx, upstream, "SELECT * FROM group_status()")
}

// Fence asks the upstream to accept (term, actor).
func (c *Client) Fence(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error) {
	return c.queryControl(ctx, upstream, fmt.Sprintf("SELECT * FROM group_fence(%d, %s)", term, quote(actor)))
}

// Promote makes the upstream primary of the accepted (term, actor).
func (c *Client) Promote(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error) {
	return c.queryControl(ctx, upstream, fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quote(actor)))
}

// Follow makes the upstream follow the primary of (term, actor).
func (c *Client) Follow(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string,
	primary dfgroup.UpstreamID) (dfgroup.Status, error) {
	sql := fmt.Sprintf("SELECT * FROM group_follow(%d, %s, %s)", term, quote(actor), quote(string(primary)))
	return c.queryControl(ctx, upstream, sql)
}

// SetLeaving sets or clears the leaving mark of the upstream.
func (c *Client) SetLeaving(ctx context.Context, upstream dfgroup.UpstreamID, leaving bool) (dfgroup.Status, error) {
	return c.queryControl(ctx, upstream, fmt.Sprintf("SELECT * FROM group_leaving(%t)", leaving))
}

// Wait runs group_wait on a connection of its own, so that it does not delay other
// statements.
func (c *Client) Wait(ctx context.Context, upstream dfgroup.UpstreamID, position dfposition.Position,
	timeout dfclock.Millis) (dfgroup.Status, error) {
	conns, found := c.connections[upstream]
	if !found {
		return dfgroup.Status{}, eris.Errorf("control: upstream %s is not in the group", upstream)
	}
	sql := fmt.Sprintf("SELECT * FROM group_wait(%d, %d, %d)", position.Term, position.Offset, timeout)
	return c.queryStatus(ctx, upstream, conns.wait, sql)
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	for _, conns := range c.connections {
		for _, conn := range []*connection{conns.control, conns.wait} {
			select {
			case <-conn.semaphore:
				conn.close()
				conn.semaphore <- struct{}{}
			default:
			}
		}
	}
}

func (c *Client) queryControl(ctx context.Context, upstream dfgroup.UpstreamID, sql string) (dfgroup.Status, error) {
	conns, found := c.connections[upstream]
	if !found {
		return dfgroup.Status{}, eris.Errorf("control: upstream %s is not in the group", upstream)
	}
	return c.queryStatus(ctx, upstream, conns.control, sql)
}

func (c *Client) queryStatus(ctx context.Context, upstream dfgroup.UpstreamID, conn *connection, sql string) (dfgroup.Status, error) {
	row, err := c.queryRow(ctx, upstream, conn, sql)
	if err != nil {
		return dfgroup.Status{}, err
	}
	return parseStatus(row)
}

// queryRow runs one statement and returns its last row. After any failure other
// than an error response of the upstream the connection is closed, so that the
// next statement opens a new one.
func (c *Client) queryRow(ctx context.Context, upstream dfgroup.UpstreamID, conn *connection, sql string) ([][]byte, error) {
	select {
	case <-conn.semaphore:
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "control: connection to %s is in use", upstream)
	}
	defer func() { conn.semaphore <- struct{}{} }()
	if conn.pgConn == nil {
		startedAt := time.Now()
		pgConn, err := c.connect(ctx, upstream)
		if err != nil {
			return nil, &ConnectError{StartedAt: startedAt, Cause: err}
		}
		conn.pgConn = pgConn
	}
	row, err := conn.query(ctx, sql)
	var refusal *RefusedError
	var serverError *pgconn.PgError
	if err != nil && !errors.As(err, &refusal) && !errors.As(err, &serverError) {
		conn.close()
	}
	if err != nil {
		return nil, eris.Wrapf(err, "control: %s: %s", upstream, sql)
	}
	return row, nil
}

func (c *Client) connect(ctx context.Context, upstream dfgroup.UpstreamID) (*pgconn.HijackedConn, error) {
	config := c.config.Copy()
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return c.dial(ctx, upstream)
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	return conn.Hijack()
}

func (c *connection) close() {
	if c.pgConn != nil {
		_ = c.pgConn.Conn.Close()
		c.pgConn = nil
	}
}

// query runs a simple query and returns its last row.
func (c *connection) query(ctx context.Context, sql string) ([][]byte, error) {
	netConn := c.pgConn.Conn
	if err := netConn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = netConn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.pgConn.Frontend.Send(&pgproto3.Query{String: sql})
	if err := c.pgConn.Frontend.Flush(); err != nil {
		return nil, err
	}
	var row [][]byte
	var responseErr error
	for {
		message, err := c.pgConn.Frontend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			row = copyRow(m.Values)
		case *pgproto3.ErrorResponse:
			responseErr = responseError(m)
			if m.Severity == "FATAL" {
				return nil, eris.New(m.Message)
			}
		case *pgproto3.ReadyForQuery:
			return row, responseErr
		}
	}
}

func copyRow(values [][]byte) [][]byte {
	row := make([][]byte, len(values))
	for i, value := range values {
		row[i] = append([]byte(nil), value...)
	}
	return row
}

var digits = regexp.MustCompile(`[0-9]+`)

// responseError converts an error response. SQLSTATE 55000 is a refusal with the
// accepted term in its detail.
func responseError(m *pgproto3.ErrorResponse) error {
	if m.Code != "55000" {
		return pgconn.ErrorResponseToPgError(m)
	}
	term, _ := strconv.ParseUint(digits.FindString(m.Detail), 10, 64)
	return &RefusedError{Accepted: dfposition.Term(term), Message: m.Message}
}

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
