package dfupstream_test

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// fakeUpstream is a small upstream that answers a fixed set of statements.
type fakeUpstream struct {
	listener     net.Listener
	open, opened atomic.Int32
	mutex        sync.Mutex
	sessions     map[uint32]*fakeSession
}

func newFake(t testing.TB) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeUpstream{listener: listener, sessions: map[uint32]*fakeSession{}}
	t.Cleanup(func() { listener.Close(); f.closeAll() })
	go func() {
		for stream, err := listener.Accept(); err == nil; stream, err = listener.Accept() {
			go f.serve(stream)
		}
	}()
	return f
}

// closeAll ends every connection as an administrator does.
func (f *fakeUpstream) closeAll() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	message, _ := (&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "57P01"}).Encode(nil)
	for _, s := range f.sessions {
		s.stream.Write(message)
		s.stream.Close()
	}
}

func (f *fakeUpstream) serve(stream net.Conn) {
	defer stream.Close()
	s := &fakeSession{pgproto3.NewBackend(stream, stream), stream, 'I', false, map[string]string{}, map[string][2]string{}, make(chan bool, 16)}
	startup, err := s.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if request, ok := startup.(*pgproto3.CancelRequest); ok {
		f.mutex.Lock()
		f.sessions[request.ProcessID].cancel <- true
		f.mutex.Unlock()
		return
	}
	pid := uint32(f.opened.Add(1))
	f.mutex.Lock()
	f.sessions[pid] = s
	f.mutex.Unlock()
	f.open.Add(1)
	defer f.open.Add(-1)
	s.Send(&pgproto3.AuthenticationOk{})
	s.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{1, 2, 3, 4}})
	s.ready()
	for s.step() {
	}
}

type fakeSession struct {
	*pgproto3.Backend
	stream   net.Conn
	status   byte
	skipping bool
	prepared map[string]string
	portals  map[string][2]string
	cancel   chan bool
}

func (s *fakeSession) ready() {
	s.skipping = false
	s.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	s.Flush()
}

func (s *fakeSession) fail(code string) {
	s.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: "failed"})
	s.skipping = true
}

func (s *fakeSession) step() bool {
	message, err := s.Receive()
	if _, isSync := message.(*pgproto3.Sync); err == nil && s.skipping && !isSync {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		s.execute(m.String, "", true)
		s.ready()
	case *pgproto3.Parse:
		if s.prepared[m.Name] != "" && m.Name != "" {
			s.fail("42P05")
			return true
		}
		s.prepared[m.Name] = m.Query
		s.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.fail("26000")
			break
		}
		s.portals[m.DestinationPortal] = [2]string{sql, string(append(m.Parameters, nil)[0])}
		s.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := s.portals[m.Name][0]
		if m.ObjectType == 'S' {
			sql = s.prepared[m.Name]
			s.Send(&pgproto3.ParameterDescription{ParameterOIDs: []uint32{25, 25, 25}[:strings.Count(sql, "$")]})
		}
		s.describe(sql)
	case *pgproto3.Execute:
		s.execute(s.portals[m.Portal][0], s.portals[m.Portal][1], false)
	case *pgproto3.Flush:
		s.Flush()
	case *pgproto3.Sync:
		s.ready()
	default:
		return false
	}
	return true
}

func (s *fakeSession) describe(sql string) {
	if strings.HasPrefix(strings.ToLower(sql), "select") {
		s.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25, TypeModifier: -1}}})
		return
	}
	s.Send(&pgproto3.NoData{})
}

func (s *fakeSession) execute(sql, argument string, simple bool) {
	word, _, _ := strings.Cut(strings.ToLower(strings.TrimRight(sql, "; ")), " ")
	tag := strings.ToUpper(word)
	switch word {
	case "":
		s.Send(&pgproto3.EmptyQueryResponse{})
		return
	case "begin":
		s.status = 'T'
	case "commit", "rollback":
		s.status = 'I'
	case "discard":
		clear(s.prepared)
	case "copy":
		tag = s.copyIn()
	case "select":
		tag = s.rows(sql, argument, simple)
	case "fail":
		s.fail("22012")
		return
	}
	if tag != "" {
		s.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
}

// rows answers a SELECT with its argument or its text.
func (s *fakeSession) rows(sql, argument string, simple bool) string {
	value := sql
	if strings.Contains(sql, "sleep") {
		<-s.cancel
		s.fail("57014")
		return ""
	}
	if strings.Contains(sql, "$1") {
		value = argument
	}
	if simple {
		s.describe(sql)
	}
	s.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return "SELECT 1"
}

func (s *fakeSession) copyIn() string {
	s.Send(&pgproto3.CopyInResponse{})
	s.Flush()
	for count := 0; ; {
		message, _ := s.Receive()
		data, more := message.(*pgproto3.CopyData)
		if !more {
			return "COPY " + strconv.Itoa(count)
		}
		count += strings.Count(string(data.Data), "\n")
	}
}
