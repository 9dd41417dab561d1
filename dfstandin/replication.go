package dfstandin

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandingroup"
	"dragonflygrade/dfstandinstore"
)

// retryDelay lies between attempts of a replica to reach its primary.
const retryDelay = 20 * time.Millisecond

// pull keeps a replica connected to the primary that it follows.
func (u *Upstream) pull(ctx context.Context) {
	defer u.done.Done()
	for ctx.Err() == nil {
		if !u.faults.running(ctx) {
			return
		}
		changed := u.group.Changed()
		request, following := u.group.Request()
		if following && !u.faults.isCut(request.Primary) {
			if err := u.pullFrom(ctx, request); err != nil && ctx.Err() == nil {
				log.Debug().Str("Upstream", string(u.options.ID)).Err(err).Msg("standin: replication link ended")
			}
		}
		// Entries of this replica's own log are changes too; do not spin on them.
		if following {
			changed = nil
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// pullFrom asks the primary until the link fails or the request is superseded.
// It does nothing while the primary's address is not known.
func (u *Upstream) pullFrom(ctx context.Context, request dfstandingroup.Request) error {
	u.mu.Lock()
	peer, known := u.peers[request.Primary]
	u.mu.Unlock()
	if !known {
		return nil
	}
	// A silent former primary must not delay the link to the next one.
	ctx, cancel := untilSuperseded(ctx, request)
	defer cancel()
	conn, err := u.connect(ctx, peer)
	if err != nil {
		return err
	}
	// Closing does not wait for the peer, which may be silent.
	defer func() { _ = conn.Conn().Close() }()
	for generation := request.Generation; ; request, _ = u.group.Request() {
		if request.Generation != generation {
			return eris.New("replication: superseded")
		}
		if !u.faults.running(ctx) || u.faults.isCut(peer.ID) {
			return errCut
		}
		answer, err := u.ask(ctx, conn, request)
		if err != nil {
			return err
		}
		if !u.faults.running(ctx) || u.faults.isCut(peer.ID) {
			return errCut
		}
		if err := u.group.Heard(generation, answer); err != nil {
			return err
		}
	}
}

// untilSuperseded returns a context that ends with the request's generation.
func untilSuperseded(ctx context.Context, request dfstandingroup.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-request.Superseded:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

var errCut = eris.New("replication: link is cut")

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

func (u *Upstream) ask(ctx context.Context, conn *pgconn.PgConn, request dfstandingroup.Request) (dfstandingroup.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, span(linkBound))
	defer cancel()
	sql := fmt.Sprintf("SELECT * FROM group_fetch(%d, '%s', %d, %d)", request.Term, u.options.ID, request.Offset, min(request.Room, fetchLimit))
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return dfstandingroup.Answer{}, eris.Wrap(err, "replication")
	}
	if len(results) != 1 || len(results[0].Rows) == 0 {
		return dfstandingroup.Answer{}, eris.New("replication: empty answer")
	}
	return decodeAnswer(results[0].Rows)
}

// decodeAnswer reads the end and the history of the log from the first row, and
// entries from the others.
func decodeAnswer(rows [][][]byte) (dfstandingroup.Answer, error) {
	endText, historyText, _ := strings.Cut(string(rows[0][0]), " ")
	end, err := strconv.ParseUint(endText, 10, 64)
	if err != nil {
		return dfstandingroup.Answer{}, eris.Wrap(err, "replication: end of log")
	}
	history, err := dfposition.ParseHistory(historyText)
	if err != nil {
		return dfstandingroup.Answer{}, err
	}
	answer := dfstandingroup.Answer{End: dfposition.Offset(end), History: history}
	for _, row := range rows[1:] {
		entry, err := dfstandingroup.DecodeEntry(string(row[0]))
		if err != nil {
			return dfstandingroup.Answer{}, err
		}
		answer.Entries = append(answer.Entries, entry)
	}
	return answer, nil
}

// fetch answers a replica: the log's end and history, then entries. Without
// news it answers after the heartbeat.
func (u *Upstream) fetch(ctx context.Context, c call) ([][]dfstandinstore.Value, error) {
	term, replica := dfposition.Term(c.number(0)), dfgroup.UpstreamID(c.text(1))
	offset, room := int(c.number(2)), int(c.number(3))
	timer := time.NewTimer(span(heartbeat))
	defer timer.Stop()
	for waited := false; ; {
		if u.faults.isCut(replica) {
			<-ctx.Done()
			return nil, errCut
		}
		changed := u.group.Changed()
		answer, fresh, err := u.group.Serve(term, offset, room)
		if err != nil {
			return nil, err
		}
		if fresh || waited {
			return encodeAnswer(answer)
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

func encodeAnswer(answer dfstandingroup.Answer) ([][]dfstandinstore.Value, error) {
	rows := [][]dfstandinstore.Value{{fmt.Sprintf("%d %s", answer.End, answer.History)}}
	for _, entry := range answer.Entries {
		text, err := dfstandingroup.EncodeEntry(entry)
		if err != nil {
			return nil, err
		}
		rows = append(rows, []dfstandinstore.Value{text})
	}
	return rows, nil
}

func span(millis dfclock.Millis) time.Duration {
	return time.Duration(millis) * time.Millisecond
}
