package dfcompat

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"os"
	osexec "os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib" // the driver for database/sql
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// poolCallers is the number of callers at once in the test of a pool.
const poolCallers = 50

// modes are pgx's ways to run a statement.
var modes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
}

// state is the SQLSTATE of an error, or its kind if it has none.
func state(err error) string {
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &refused):
		return refused.Code
	case errors.Is(err, pgx.ErrNoRows):
		return "no rows"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	return err.Error()
}

// equalOnAllPaths compares what a function notes on each path.
func equalOnAllPaths(t *testing.T, s *site, run func(p path, note func(format string, args ...any))) {
	t.Helper()
	var wanted []string
	for i, path := range s.paths() {
		var notes []string
		run(path, func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) })
		if i == 0 {
			wanted = notes
			continue
		}
		for at := range max(len(wanted), len(notes)) {
			if at >= len(wanted) || at >= len(notes) || wanted[at] != notes[at] {
				t.Errorf("%s differs from direct at %d:\n%.300q\n%.300q", path.name, at, wanted[at:min(at+1, len(wanted))], notes[at:min(at+1, len(notes))])
				break
			}
		}
	}
}

// table names a table of one path, because two paths lead to one database.
func table(prefix string, p path) string {
	return prefix + "_" + p.name[:1]
}

// Guards against answers that differ under the load of a pool in any of pgx's
// modes, in batches, transactions and COPY.
func TestPool(t *testing.T) {
	s := newSite(t)
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			equalOnAllPaths(t, s, func(p path, note func(string, ...any)) { runPool(t, p, mode, note) })
		})
	}
}

func runPool(t *testing.T, p path, mode pgx.QueryExecMode, note func(string, ...any)) {
	config, err := pgxpool.ParseConfig(p.clerk())
	require.NoError(t, err)
	config.MaxConns, config.ConnConfig.DefaultQueryExecMode = poolCallers, mode
	pool, err := pgxpool.NewWithConfig(t.Context(), config)
	require.NoError(t, err)
	defer pool.Close()
	name := table(fmt.Sprintf("pool%d", mode), p)
	_, err = pool.Exec(t.Context(), "CREATE TABLE "+name+"(id bigint primary key, name text, n int)")
	require.NoError(t, err)
	results := make([]string, poolCallers)
	var running sync.WaitGroup
	for i := range poolCallers {
		running.Go(func() { results[i] = runCaller(t.Context(), pool, name, i) })
	}
	running.Wait()
	for i, result := range results {
		note("caller %d: %s", i, result)
	}
}

// runCaller works on keys that no other caller uses.
func runCaller(ctx context.Context, pool *pgxpool.Pool, name string, caller int) string {
	var notes []string
	note := func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) }
	key := int64(caller * 100)
	for i := range int64(3) {
		tag, err := pool.Exec(ctx, "INSERT INTO "+name+" VALUES ($1, $2, $3)", key+i, fmt.Sprint("name ", i), 7)
		note("%s %s", tag, state(err))
	}
	_, err := pool.Exec(ctx, "INSERT INTO "+name+" VALUES ($1, $2, $3)", key, "twice", 7)
	note("%s", state(err))
	var text string
	err = pool.QueryRow(ctx, "SELECT name FROM "+name+" WHERE id = $1", key+2).Scan(&text)
	note("%s %s", text, state(err))
	batch := &pgx.Batch{}
	batch.Queue("UPDATE "+name+" SET n = n + 1 WHERE id = $1", key)
	batch.Queue("SELECT n FROM "+name+" WHERE id = $1", key)
	batch.Queue("SELECT missing FROM " + name)
	answers := pool.SendBatch(ctx, batch)
	for range batch.Len() {
		tag, err := answers.Exec()
		note("%s %s", tag, state(err))
	}
	note("%s", state(answers.Close()))
	err = pgx.BeginFunc(ctx, pool, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "UPDATE "+name+" SET n = 50 WHERE id = $1", key); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, "SELECT missing FROM "+name)
		return err
	})
	note("%s", state(err))
	err = pgx.BeginTxFunc(ctx, pool, pgx.TxOptions{AccessMode: pgx.ReadOnly}, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "DELETE FROM "+name+" WHERE id = $1", key)
		return err
	})
	note("%s", state(err))
	var n int
	err = pool.QueryRow(ctx, "SELECT n FROM "+name+" WHERE id = $1", key).Scan(&n)
	note("%d %s", n, state(err))
	return strings.Join(notes, "; ")
}

// Guards against differences through database/sql.
func TestDatabaseSQL(t *testing.T) {
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		db, err := sql.Open("pgx", p.clerk())
		require.NoError(t, err)
		defer func() { _ = db.Close() }()
		name := table("std", p)
		_, err = db.ExecContext(t.Context(), "CREATE TABLE "+name+"(id bigint primary key, n int)")
		note("%s", state(err))
		statement, err := db.PrepareContext(t.Context(), "INSERT INTO "+name+" VALUES ($1, $2)")
		require.NoError(t, err)
		for i := range 5 {
			_, err = statement.ExecContext(t.Context(), i%4, i)
			note("%s", state(err))
		}
		tx, err := db.BeginTx(t.Context(), &sql.TxOptions{ReadOnly: true})
		note("%s", state(err))
		_, err = tx.ExecContext(t.Context(), "DELETE FROM "+name)
		note("%s %s", state(err), state(tx.Rollback()))
		var sum int
		err = db.QueryRowContext(t.Context(), "SELECT sum(n) FROM "+name).Scan(&sum)
		note("%d %s", sum, state(err))
	})
}

// Guards against cut or mixed results of several megabytes, COPY that loses
// rows, and pipelines whose errors reach the wrong statement.
func TestLargeAndPipelined(t *testing.T) {
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		conn := p.connect(t)
		name := table("large", p)
		exec(t, conn, "CREATE TABLE "+name+"(id bigint primary key, name text)")
		var data strings.Builder
		for i := range 4000 {
			fmt.Fprintf(&data, "%d\t%s\n", i, strings.Repeat(string(rune('a'+i%26)), 1000))
		}
		tag, err := conn.CopyFrom(t.Context(), strings.NewReader(data.String()), "COPY "+name+" FROM STDIN")
		note("%s %s", tag, state(err))
		result := conn.ExecParams(t.Context(), "SELECT id, name FROM "+name+" ORDER BY id", nil, nil, nil, nil).Read()
		note("%d rows %s", len(result.Rows), state(result.Err))
		if count := len(result.Rows); count > 0 {
			note("%s", result.Rows[count-1])
		}
		var copied strings.Builder
		tag, err = conn.CopyTo(t.Context(), &copied, "COPY "+name+" TO STDOUT")
		note("%s %d %s", tag, copied.Len(), state(err))
		pipeline := conn.StartPipeline(t.Context())
		for _, text := range []string{"SELECT 1", "SELECT missing FROM " + name, "SELECT 2"} {
			pipeline.SendQueryParams(text, nil, nil, nil, nil)
			require.NoError(t, pipeline.Sync())
		}
		for range 6 {
			answer, err := pipeline.GetResults()
			note("%T %s", answer, state(err))
			if reader, ok := answer.(*pgconn.ResultReader); ok {
				_, err = reader.Close()
				note("%s", state(err))
			}
		}
		note("%s", state(pipeline.Close()))
	})
}

// Guards against cancels that are lost, or that reach a later statement.
func TestCancelByContext(t *testing.T) {
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		config, err := pgx.ParseConfig(p.clerk())
		require.NoError(t, err)
		conn, err := pgx.ConnectConfig(t.Context(), config)
		require.NoError(t, err)
		defer func() { _ = conn.Close(context.Background()) }()
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(t.Context(), "SELECT pg_sleep(5)")
			done <- err
		}()
		// A cancel that comes before the statement is ignored, so it is sent again.
		for waiting := true; waiting; {
			require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
			select {
			case err := <-done:
				note("%s", state(err))
				waiting = false
			case <-time.After(20 * time.Millisecond):
			}
		}
		_, err = conn.Exec(t.Context(), "SELECT 1")
		note("%s", state(err))
	})
}

// Guards against callers that get in with a wrong password, to a service that
// does not exist, or with the token of another service.
func TestRefusedCallers(t *testing.T) {
	s := newSite(t)
	for _, p := range s.paths()[1:] {
		_, err := pgconn.Connect(t.Context(), p.url("clerk", "wrong"))
		assert.Equal(t, "28P01", state(err), p.name)
		_, err = pgconn.Connect(t.Context(), p.url("nobody", "clerk-password"))
		assert.Equal(t, "28P01", state(err), p.name)
		other := p
		other.service = "unknown"
		_, err = pgconn.Connect(t.Context(), other.clerk())
		assert.Equal(t, "28P01", state(err), p.name)
		other.service = s.stack.Targets()[1].Service
		token := settingOf(t, p.connect(t), "dragonflygrade.token")
		_, err = other.connect(t).Exec(t.Context(), "SET dragonflygrade.token = '"+token+"'").ReadAll()
		assert.NotEqual(t, "ok", state(err), p.name)
	}
}

// Guards against settings of the host that need one protocol, or that leak.
func TestHostSettings(t *testing.T) {
	s := newSite(t)
	for _, p := range s.paths()[1:] {
		conn := p.connect(t)
		exec(t, conn, "UPDATE catalogue SET price = 1 WHERE id = -1")
		token := settingOf(t, conn, "dragonflygrade.token")
		for _, sql := range []string{"SET dragonflygrade.caller = 'till-7'", "SET dragonflygrade.token = '" + token + "'"} {
			require.NoError(t, conn.ExecParams(t.Context(), sql, nil, nil, nil, nil).Read().Err, p.name)
		}
		assert.Equal(t, "till-7", settingOf(t, conn, "dragonflygrade.caller"))
		_, err := conn.Exec(t.Context(), "SET dragonflygrade.token = 'forged'").ReadAll()
		assert.NotEqual(t, "ok", state(err), p.name)
		assert.Equal(t, "clerk", settingOf(t, p.connect(t), "dragonflygrade.caller"))
	}
}

func settingOf(t *testing.T, conn *pgconn.PgConn, name string) string {
	t.Helper()
	result := conn.ExecParams(t.Context(), "SHOW "+name, nil, nil, nil, nil).Read()
	require.NoError(t, result.Err)
	return string(result.Rows[0][0])
}

// Guards against differences through libpq.
func TestPsql(t *testing.T) {
	const program = "/usr/bin/psql"
	if _, err := os.Stat(program); err != nil {
		t.Skip("psql is not installed")
	}
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		name := table("libpq", p)
		script := strings.ReplaceAll(`CREATE TABLE {t}(id bigint primary key, name text);
COPY {t} FROM STDIN;
1	one
2	\N
\.
SELECT * FROM {t} ORDER BY id;
BEGIN;
INSERT INTO {t} VALUES (1, 'again');
SELECT 1;
ROLLBACK;
\set VERBOSITY sqlstate
SELECT missing FROM {t};
COPY {t} TO STDOUT;
SET statement_timeout = '9s';
SHOW statement_timeout;
SELECT 1 \; SELECT 2;
SELECT $1::text \bind 'x' \g
`, "{t}", name)
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		command := osexec.CommandContext(ctx, program, "-X", "-q", "-A", "-v", "VERBOSITY=sqlstate", p.clerk())
		command.Stdin = strings.NewReader(script)
		output, err := command.CombinedOutput()
		note("%v", err)
		note("%s", strings.ReplaceAll(string(output), name, "{t}"))
	})
}
