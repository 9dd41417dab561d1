package dfcompat

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// script is a list of lines, one message each. Tables are named {t}.
type script struct {
	name  string
	lines []string
}

func deadline(span dfclock.Millis) time.Time {
	return time.Now().Add(time.Duration(span) * time.Millisecond)
}

// readScripts reads scripts that begin with "== name".
func readScripts(tb testing.TB, file string) []script {
	tb.Helper()
	data, err := os.ReadFile(file)
	require.NoError(tb, err)
	var scripts []script
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		name, begins := strings.CutPrefix(line, "== ")
		switch {
		case begins:
			scripts = append(scripts, script{name: name})
		case line != "" && !strings.HasPrefix(line, "#"):
			last := &scripts[len(scripts)-1]
			last.lines = append(last.lines, line)
		}
	}
	return scripts
}

// talker runs a script on one connection and notes the answers.
type talker struct {
	conn     *pgconn.HijackedConn
	table    string
	received []string
}

// talk returns the answers to a script.
func talk(tb testing.TB, p path, s script, table string) []string {
	tb.Helper()
	hijacked, err := p.connect(tb).Hijack()
	require.NoError(tb, err)
	defer func() { _ = hijacked.Conn.Close() }()
	t := &talker{conn: hijacked, table: table}
	for _, line := range s.lines {
		if err := t.step(strings.ReplaceAll(line, "{t}", table)); err != nil {
			t.received = append(t.received, "end: "+kindOfEnd(err))
			break
		}
	}
	return t.received
}

// kindOfEnd tells a missing answer from a closed connection.
func kindOfEnd(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "no answer"
	}
	return "closed"
}

// step sends one message. Answers are awaited behind Query and Sync unless the
// line begins with "+", and by "wait TYPE".
func (t *talker) step(line string) error {
	if err := bounded(t.conn.Conn); err != nil {
		return err
	}
	if until, ok := strings.CutPrefix(line, "wait "); ok {
		return t.await(until)
	}
	line, ahead := strings.CutPrefix(line, "+")
	kind, rest, _ := strings.Cut(line, " ")
	t.received = append(t.received, "> "+strings.ReplaceAll(line, t.table, "{t}"))
	t.conn.Frontend.Send(message(kind, rest))
	if ahead || kind != "Q" && kind != "S" {
		if kind == "H" || kind == "Q" {
			return t.conn.Frontend.Flush()
		}
		return nil
	}
	return t.await("Z")
}

// message builds a frontend message from a line of a script.
func message(kind, rest string) pgproto3.FrontendMessage {
	first, second, _ := strings.Cut(rest, " ")
	switch kind {
	case "Q":
		return &pgproto3.Query{String: rest}
	case "P":
		return &pgproto3.Parse{Name: unquoted(first), Query: second}
	case "B":
		return bind(strings.Fields(rest))
	case "D":
		return &pgproto3.Describe{ObjectType: first[0], Name: second}
	case "C":
		return &pgproto3.Close{ObjectType: first[0], Name: second}
	case "E":
		rows, _ := strconv.Atoi(second)
		return &pgproto3.Execute{Portal: unquoted(first), MaxRows: uint32(rows)}
	case "S":
		return &pgproto3.Sync{}
	case "H":
		return &pgproto3.Flush{}
	case "d":
		return &pgproto3.CopyData{Data: []byte(strings.ReplaceAll(rest, `\n`, "\n"))}
	case "c":
		return &pgproto3.CopyDone{}
	case "f":
		return &pgproto3.CopyFail{Message: rest}
	}
	panic("unknown message kind " + kind)
}

// unquoted turns the sign for the unnamed statement or portal into its name.
func unquoted(name string) string {
	if name == "-" {
		return ""
	}
	return name
}

func bind(words []string) *pgproto3.Bind {
	m := &pgproto3.Bind{DestinationPortal: unquoted(words[0]), PreparedStatement: unquoted(words[1])}
	for _, word := range words[2:] {
		m.Parameters = append(m.Parameters, []byte(word))
	}
	return m
}

// await notes answers up to one of the type.
// ParameterStatus messages are noted before ReadyForQuery, because the protocol
// allows them anywhere.
func (t *talker) await(until string) error {
	var parameters []string
	if err := t.conn.Frontend.Flush(); err != nil {
		return err
	}
	for {
		answer, err := t.conn.Frontend.Receive()
		if err != nil {
			return err
		}
		text := render(answer)
		switch {
		case strings.HasPrefix(text, "S "):
			parameters = append(parameters, text)
		case strings.HasPrefix(text, "Z "):
			t.received = append(append(t.received, parameters...), text)
			parameters = nil
		case text != "":
			t.received = append(t.received, strings.ReplaceAll(text, t.table, "{t}"))
		}
		if strings.HasPrefix(text, until) || strings.HasPrefix(text, "E FATAL") {
			return nil
		}
	}
}

// render is the text by which answers are compared. Session tokens and the
// wording of errors are left out.
func render(answer pgproto3.BackendMessage) string {
	switch m := answer.(type) {
	case *pgproto3.ParseComplete:
		return "1"
	case *pgproto3.BindComplete:
		return "2"
	case *pgproto3.CloseComplete:
		return "3"
	case *pgproto3.CommandComplete:
		return "C " + string(m.CommandTag)
	case *pgproto3.DataRow:
		return fmt.Sprintf("D %q", m.Values)
	case *pgproto3.RowDescription:
		text := "T"
		for _, field := range m.Fields {
			text += fmt.Sprintf(" %s/%d/%d", field.Name, field.DataTypeOID, field.Format)
		}
		return text
	case *pgproto3.ErrorResponse:
		return "E " + m.Severity + " " + m.Code
	case *pgproto3.NoticeResponse:
		return "N " + m.Code
	case *pgproto3.ReadyForQuery:
		return "Z " + string(m.TxStatus)
	case *pgproto3.ParameterStatus:
		if strings.HasPrefix(m.Name, "dragonflygrade.") {
			return ""
		}
		return "S " + m.Name + "=" + m.Value
	case *pgproto3.ParameterDescription:
		return fmt.Sprintf("t %v", m.ParameterOIDs)
	case *pgproto3.CopyInResponse:
		return fmt.Sprintf("G %d %v", m.OverallFormat, m.ColumnFormatCodes)
	case *pgproto3.CopyOutResponse:
		return fmt.Sprintf("H %d %v", m.OverallFormat, m.ColumnFormatCodes)
	case *pgproto3.CopyData:
		return fmt.Sprintf("d %q", m.Data)
	case *pgproto3.CopyDone:
		return "c"
	case *pgproto3.EmptyQueryResponse:
		return "I"
	case *pgproto3.NoData:
		return "n"
	case *pgproto3.PortalSuspended:
		return "s"
	}
	return fmt.Sprintf("%T", answer)
}
