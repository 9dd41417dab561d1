package dfstandin

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandinstore"
)

// retryDelay lies between attempts of a replica to reach its primary.
const retryDelay = 20 * time.Millisecond

// target is what a replica pulls under one generation.
type target struct {
	generation int
	term       dfposition.Term
	peer       Peer
}

// pull keeps a replica connected to the primary that it follows.
func (u *Upstream) pull(ctx context.Context) {
	defer u.done.Done()
	for ctx.Err() == nil {
		if !u.faults.running(ctx) {
			return
		}
		if target, ok := u.target(); ok {
			err := u.pullFrom(ctx, target)
			log.Debug().Str("Upstream", string(u.options.ID)).Err(err).Msg("standin: replication link ended")
		}
		u.group.mu.Lock()
		changed := u.group.changed
		idle := u.group.following == ""
		u.group.mu.Unlock()
		bound := retryDelay
		if idle {
			bound = time.Second
		}
		timer := time.NewTimer(bound)
		select {
		case <-timer.C:
		case <-changed:
			// A change may be an entry of this replica's own log; do not spin on it.
			if !idle {
				<-timer.C
			}
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (u *Upstream) target() (target, bool) {
	u.group.mu.Lock()
	following, generation, term := u.group.following, u.group.generation, u.group.accepted
	u.group.mu.Unlock()
	if following == "" || u.faults.isCut(following) {
		return target{}, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	peer, known := u.peers[following]
	return target{generation: generation, term: term, peer: peer}, known
}

func (u *Upstream) pullFrom(ctx context.Context, t target) error {
	conn, err := u.connect(ctx, t.peer)
	if err != nil {
		return err
	}
	defer u.disconnect(conn)
	for {
		if !u.faults.running(ctx) || u.faults.isCut(t.peer.ID) {
			return eris.New("replication: link is cut")
		}
		u.group.mu.Lock()
		generation := u.group.generation
		offset := len(u.group.log) + len(u.group.received)
		full := len(u.group.received) >= receivedLimit
		if !u.group.verified {
			offset = 0
		}
		limit := fetchLimit
		if full || !u.group.verified {
			limit = 0
		}
		u.group.mu.Unlock()
		if generation != t.generation {
			return eris.New("replication: superseded")
		}
		if err := u.pullOnce(ctx, conn, t, offset, limit); err != nil {
			return err
		}
	}
}

func (u *Upstream) connect(ctx context.Context, peer Peer) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s@%s/postgres?sslmode=disable", ControlUser, peer.Address))
	if err != nil {
		return nil, eris.Wrap(err, "replication")
	}
	config.Password = u.options.Passwords[ControlUser]
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		return u.options.Dial(ctx, network, address)
	}
	config.Fallbacks = nil
	ctx, cancel := context.WithTimeout(ctx, span(linkBound))
	defer cancel()
	conn, err := pgconn.ConnectConfig(ctx, config)
	return conn, eris.Wrap(err, "replication")
}

// disconnect does not wait for the peer, which may be silent.
func (u *Upstream) disconnect(conn *pgconn.PgConn) {
	_ = conn.Conn().Close()
}

func (u *Upstream) pullOnce(ctx context.Context, conn *pgconn.PgConn, t target, offset, limit int) error {
	ctx, cancel := context.WithTimeout(ctx, span(linkBound))
	defer cancel()
	sql := fmt.Sprintf("SELECT * FROM group_fetch(%d, '%s', %d, %d, '%s')", t.term, u.options.ID, offset, limit, u.group.position())
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return eris.Wrap(err, "replication")
	}
	if len(results) != 1 || len(results[0].Rows) == 0 {
		return eris.New("replication: empty answer")
	}
	rows := results[0].Rows
	var end uint64
	var historyText string
	if _, err := fmt.Sscanf(string(rows[0][0]), "%d %s", &end, &historyText); err != nil {
		return eris.Wrap(err, "replication: header")
	}
	history, err := dfposition.ParseHistory(historyText)
	if err != nil {
		return err
	}
	var entries []Entry
	for _, row := range rows[1:] {
		entry, err := decodeEntry(string(row[0]))
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	if !u.faults.running(ctx) || u.faults.isCut(t.peer.ID) {
		return eris.New("replication: link is cut")
	}
	return u.group.heardFrom(t.generation, history, dfposition.Offset(end), entries)
}

// fetch answers a replica: the log's end and history, then entries. Without
// news it answers after the heartbeat.
func (u *Upstream) fetch(ctx context.Context, c call) ([][]dfstandinstore.Value, error) {
	term, replica := dfposition.Term(c.number(0)), dfgroup.UpstreamID(c.text(1))
	offset, limit := int(c.number(2)), int(c.number(3))
	g := u.group
	timer := time.NewTimer(span(heartbeat))
	defer timer.Stop()
	for waited := false; ; {
		if u.faults.isCut(replica) {
			<-ctx.Done()
			return nil, eris.New("replication: link is cut")
		}
		g.mu.Lock()
		if g.role != dfgroup.RolePrimary || g.accepted != term {
			defer g.mu.Unlock()
			return nil, g.refuse()
		}
		changed, entries := g.changed, g.log[min(offset, len(g.log)):]
		header := fmt.Sprintf("%d %s", len(g.log), g.history)
		first := offset == 0 && limit == 0
		g.mu.Unlock()
		if waited || first || (len(entries) > 0 && limit > 0) {
			return encodeEntries(header, entries[:min(limit, len(entries))])
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func encodeEntries(header string, entries []Entry) ([][]dfstandinstore.Value, error) {
	rows := [][]dfstandinstore.Value{{header}}
	for _, entry := range entries {
		text, err := encodeEntry(entry)
		if err != nil {
			return nil, err
		}
		rows = append(rows, []dfstandinstore.Value{text})
	}
	return rows, nil
}
