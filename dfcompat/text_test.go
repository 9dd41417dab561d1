package dfcompat

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// lineTexts are texts that every path carries unchanged.
var lineTexts = []string{
	"", "a\r", "a\r\r", "a\n", "a\r\n", "\r\na", "a\nb", "a\n\rb", " a ", "a;", "a; \t\r\n", "\t", "\u0085\u00a0\u2028", `\r\n`,
}

// Guards against statements, parameters, session values and rows whose white space at
// the end or line breaks get lost on the way.
func TestLineBreaksOnAllPaths(t *testing.T) {
	s := newSite(t)
	for _, p := range s.paths() {
		conn := p.connect(t)
		name := table("texts", p)
		exec(t, conn, "CREATE TABLE "+name+"(id bigint primary key, name text)")
		for i, text := range lineTexts {
			note := func(step string) []any { return []any{"%s, %s of %q", p.name, step, text} }
			number := []byte{byte('0' + i/10), byte('0' + i%10)}
			exec(t, conn, "INSERT INTO "+name+" VALUES ("+string(number)+", '"+text+"')\r\n")
			exec(t, conn, "UPDATE "+name+" SET name = '"+text+"' WHERE id = "+string(number)+";\n\r")
			require.Equal(t, text, only(t, conn.ExecParams(t.Context(), "SELECT name FROM "+name+" WHERE id = $1\r", [][]byte{number}, nil, nil, nil)), note("literal")...)
			require.Equal(t, text, only(t, conn.ExecParams(t.Context(), "SELECT $1::text\n", [][]byte{[]byte(text)}, nil, nil, nil)), note("parameter")...)
			_, err := conn.Prepare(t.Context(), "s"+string(number), "SELECT '"+text+"'\r\n", nil)
			require.NoError(t, err, note("Parse")...)
			require.Equal(t, text, only(t, conn.ExecPrepared(t.Context(), "s"+string(number), nil, nil, nil)), note("prepared")...)
			exec(t, conn, "SET application_name = 'x'; SET search_path = '"+text+"'\r\n")
			require.Equal(t, text, settingOf(t, conn, "search_path"), note("session value")...)
			exec(t, conn, "RESET search_path\r\n")
		}
	}
}

// Guards against another answer to statements that are not UTF-8 or contain NUL where a
// second host is on the way.
func TestOtherEncodingsOnAllPaths(t *testing.T) {
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		conn := p.connect(t)
		for _, text := range []string{"\xe9", "\xff\xfe", "caf\xe9\r", "a\x80\n"} {
			results, err := conn.Exec(t.Context(), "SELECT '"+text+"'").ReadAll()
			note("simple %q %s", rowsOf(results...), state(err))
			result := conn.ExecParams(t.Context(), "SELECT '"+text+"'", nil, nil, nil, nil).Read()
			note("extended %q %s", rowsOf(result), state(result.Err))
			result = conn.ExecParams(t.Context(), "SELECT $1::text", [][]byte{[]byte(text + "\x00")}, nil, nil, nil).Read()
			note("parameter %q %s", rowsOf(result), state(result.Err))
			_, err = conn.Prepare(t.Context(), "s", "SELECT missing.\""+text+"\"", nil)
			note("refused %s", state(err))
		}
	})
}

// Guards against a session that another host refuses because of its caller's name.
func TestCallerOfOtherEncoding(t *testing.T) {
	s := newSite(t)
	for _, p := range s.paths()[1:] {
		config, err := pgconn.ParseConfig(p.clerk())
		require.NoError(t, err)
		config.RuntimeParams["dragonflygrade.caller"] = "caf\xe9"
		conn, err := pgconn.ConnectConfig(t.Context(), config)
		require.NoError(t, err, p.name)
		exec(t, conn, "SELECT 1")
		require.NoError(t, conn.Close(t.Context()))
	}
}

// Guards against DEALLOCATE that a host does not recognise because of white space or
// quotes. The upstream knows the statement by another name.
func TestDeallocateOnAllPaths(t *testing.T) {
	s := newSite(t)
	equalOnAllPaths(t, s, func(p path, note func(string, ...any)) {
		conn := p.connect(t)
		for _, each := range [][2]string{
			{"s1", "DEALLOCATE s1"}, {"s1", "\r\nDEALLOCATE s1"}, {"s1", "\f deallocate\tS1\v;\r\n"}, {"s1", "DEALLOCATE\nPREPARE\ns1 ; ;"},
			{"S 1", `DEALLOCATE "S 1"`}, {"S\n1", "DEALLOCATE\"S\n1\"\r"}, {`S"1`, `DEALLOCATE "S""1"`}, {"S;", `DEALLOCATE PREPARE "S;"`},
			{"s1", `DEALLOCATE "s1" "s1"`}, {"s1", "DEALLOCATE s1 s1"}, {"s1", "DEALLOCATE S2"}, {"prepare", "DEALLOCATE prepare"},
			{"all", `DEALLOCATE "all"`}, {"all", "DEALLOCATE all"}, {"É", "DEALLOCATE É"},
		} {
			for _, name := range []string{each[0], "other"} {
				_, err := conn.Prepare(t.Context(), name, "SELECT 1", nil)
				require.NoError(t, err)
			}
			_, err := conn.Exec(t.Context(), each[1]).ReadAll()
			note("%q %s", each[1], state(err))
			for _, name := range []string{each[0], "other"} {
				result := conn.ExecPrepared(t.Context(), name, nil, nil, nil).Read()
				note("%q then %q %s", each[1], name, state(result.Err))
			}
			exec(t, conn, "DEALLOCATE ALL")
		}
	})
}

// rowsOf returns the rows of all results.
func rowsOf(results ...*pgconn.Result) (rows [][][]byte) {
	for _, result := range results {
		rows = append(rows, result.Rows...)
	}
	return rows
}

// only returns the value of a result with one row of one column.
func only(t *testing.T, reader *pgconn.ResultReader) string {
	t.Helper()
	result := reader.Read()
	require.NoError(t, result.Err)
	require.Len(t, result.Rows, 1)
	return string(result.Rows[0][0])
}
