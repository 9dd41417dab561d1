package dfcompat

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// Guards against drivers that are told another server version than the one of
// the upstream, by which they choose statements.
func TestServerVersion(t *testing.T) {
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		note("%s", p.connect(t).ParameterStatus("server_version"))
	})
}

// Guards against settings given at startup that have no effect.
func TestStartupParameters(t *testing.T) {
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		conn, err := pgconn.Connect(t.Context(), p.clerk()+"&search_path=shop&statement_timeout=9000")
		require.NoError(t, err)
		defer func() { _ = conn.Close(t.Context()) }()
		note("%s %s", settingOf(t, conn, "search_path"), settingOf(t, conn, "statement_timeout"))
	})
}
