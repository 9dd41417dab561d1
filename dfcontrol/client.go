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

// Client speaks the control statements as simple queries. It keeps at most two
// connections to each upstream: one for status and changes, one for group_wait.
type Client struct {
	dial   Dial
	config *pgconn.Config
	links  map[dfgroup.UpstreamID]*links
}

// links has the connections to one upstream.
type links struct{ control, wait *link }

// link is one connection, opened on demand. The holder of the token uses it.
type link struct {
	token chan struct{}
	conn  *pgconn.HijackedConn
}

// NewClient returns a client for the upstreams of one database. The password
// may be empty. Encryption is up to the dial function.
func NewClient(dial Dial, database, password string, upstreams []dfgroup.UpstreamID) (*Client, error) {
	// The host is never resolved: the dial function knows the address.
	config, err := pgconn.ParseConfig("host=127.0.0.1 port=5432 sslmode=disable")
	if err != nil {
		return nil, eris.Wrap(err, "control: configuration")
	}
	config.User, config.Password, config.Database = User, password, database
	config.Fallbacks = nil
	client := &Client{dial: dial, config: config, links: map[dfgroup.UpstreamID]*links{}}
	for _, id := range upstreams {
		client.links[id] = &links{control: newLink(), wait: newLink()}
	}
	return client, nil
}

func newLink() *link {
	l := &link{token: make(chan struct{}, 1)}
	l.token <- struct{}{}
	return l
}

// Status asks for the status row.
func (c *Client) Status(ctx context.Context, upstream dfgroup.UpstreamID) (dfgroup.Status, error) {
	return c.control(ctx, upstream, "SELECT * FROM group_status()")
}

// Fence asks to accept (term, actor).
func (c *Client) Fence(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error) {
	return c.control(ctx, upstream, fmt.Sprintf("SELECT * FROM group_fence(%d, %s)", term, quote(actor)))
}

// Promote makes the upstream primary of the accepted (term, actor).
func (c *Client) Promote(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error) {
	return c.control(ctx, upstream, fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quote(actor)))
}

// Follow makes the upstream follow the primary of (term, actor).
func (c *Client) Follow(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string,
	primary dfgroup.UpstreamID) (dfgroup.Status, error) {
	sql := fmt.Sprintf("SELECT * FROM group_follow(%d, %s, %s)", term, quote(actor), quote(string(primary)))
	return c.control(ctx, upstream, sql)
}

// Leaving sets the leaving mark.
func (c *Client) Leaving(ctx context.Context, upstream dfgroup.UpstreamID, leaving bool) (dfgroup.Status, error) {
	return c.control(ctx, upstream, fmt.Sprintf("SELECT * FROM group_leaving(%t)", leaving))
}

// Wait waits on the connection that only serves waits.
func (c *Client) Wait(ctx context.Context, upstream dfgroup.UpstreamID, position dfposition.Position,
	span dfclock.Millis) (dfgroup.Status, error) {
	l, found := c.links[upstream]
	if !found {
		return dfgroup.Status{}, eris.Errorf("control: upstream %s is not in the group", upstream)
	}
	sql := fmt.Sprintf("SELECT * FROM group_wait(%d, %d, %d)", position.Term, position.Offset, span)
	return c.ask(ctx, upstream, l.wait, sql)
}

// Close closes all connections that are not in use.
func (c *Client) Close() {
	for _, pair := range c.links {
		for _, l := range []*link{pair.control, pair.wait} {
			select {
			case <-l.token:
				l.drop()
				l.token <- struct{}{}
			default:
			}
		}
	}
}

func (c *Client) control(ctx context.Context, upstream dfgroup.UpstreamID, sql string) (dfgroup.Status, error) {
	l, found := c.links[upstream]
	if !found {
		return dfgroup.Status{}, eris.Errorf("control: upstream %s is not in the group", upstream)
	}
	return c.ask(ctx, upstream, l.control, sql)
}

func (c *Client) ask(ctx context.Context, upstream dfgroup.UpstreamID, l *link, sql string) (dfgroup.Status, error) {
	row, err := c.row(ctx, upstream, l, sql)
	if err != nil {
		return dfgroup.Status{}, err
	}
	return parseStatus(row)
}

// row runs one statement and returns its last row. A connection whose statement
// failed other than by an upstream's error is closed, so that the next statement
// uses a fresh one.
func (c *Client) row(ctx context.Context, upstream dfgroup.UpstreamID, l *link, sql string) ([][]byte, error) {
	select {
	case <-l.token:
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "control: %s is busy", upstream)
	}
	defer func() { l.token <- struct{}{} }()
	if l.conn == nil {
		startedAt := time.Now()
		conn, err := c.connect(ctx, upstream)
		if err != nil {
			return nil, &ConnectError{StartedAt: startedAt, Cause: err}
		}
		l.conn = conn
	}
	row, err := l.query(ctx, sql)
	var refusal *RefusedError
	var answer *pgconn.PgError
	if err != nil && !errors.As(err, &refusal) && !errors.As(err, &answer) {
		l.drop()
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

func (l *link) drop() {
	if l.conn != nil {
		_ = l.conn.Conn.Close()
		l.conn = nil
	}
}

// query runs a simple query and returns its last row.
func (l *link) query(ctx context.Context, sql string) ([][]byte, error) {
	conn := l.conn.Conn
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	l.conn.Frontend.Send(&pgproto3.Query{String: sql})
	if err := l.conn.Frontend.Flush(); err != nil {
		return nil, err
	}
	var row [][]byte
	var refused error
	for {
		message, err := l.conn.Frontend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			row = copied(m.Values)
		case *pgproto3.ErrorResponse:
			refused = refusalOf(m)
			if m.Severity == "FATAL" {
				return nil, eris.New(m.Message)
			}
		case *pgproto3.ReadyForQuery:
			return row, refused
		}
	}
}

func copied(values [][]byte) [][]byte {
	row := make([][]byte, len(values))
	for i, value := range values {
		row[i] = append([]byte(nil), value...)
	}
	return row
}

var digits = regexp.MustCompile(`[0-9]+`)

// refusalOf reads the accepted term from the detail of SQLSTATE 55000.
func refusalOf(m *pgproto3.ErrorResponse) error {
	if m.Code != "55000" {
		return pgconn.ErrorResponseToPgError(m)
	}
	term, _ := strconv.ParseUint(digits.FindString(m.Detail), 10, 64)
	return &RefusedError{Accepted: dfposition.Term(term), Message: m.Message}
}

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
