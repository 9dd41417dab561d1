package dfstandin

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

func parseMessage(sql string) *pgproto3.Parse       { return &pgproto3.Parse{Query: sql} }
func bindMessage() *pgproto3.Bind                   { return &pgproto3.Bind{} }
func executeMessage(limit uint32) *pgproto3.Execute { return &pgproto3.Execute{MaxRows: limit} }
func syncMessage() *pgproto3.Sync                   { return &pgproto3.Sync{} }

// receiveNames returns the kinds of messages up to ReadyForQuery.
func receiveNames(t *testing.T, conn *pgconn.PgConn) string {
	t.Helper()
	var names []string
	for {
		message, err := conn.Frontend().Receive()
		require.NoError(t, err)
		names = append(names, strings.TrimPrefix(fmt.Sprintf("%T", message), "*pgproto3."))
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return strings.Join(names, " ")
		}
	}
}
