package dfupstream_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
)

// fakeUpstream is a small upstream that answers a fixed set of statements.
type fakeUpstream struct {
	listener net.Listener
	stored   scram.StoredCredentials
	open     atomic.Int32
	peak     atomic.Int32
	opened   atomic.Int32
	offset   atomic.Int64
	mutex    sync.Mutex
	streams  map[uint32]net.Conn
	cancels  map[uint32]chan struct{}
}

func newFake(t testing.TB, password string) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeUpstream{listener: listener, stored: storedFor(t, password),
		streams: map[uint32]net.Conn{}, cancels: map[uint32]chan struct{}{}}
	t.Cleanup(func() { listener.Close(); f.closeAll() })
	go func() {
		for {
			stream, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(stream)
		}
	}()
	return f
}

func storedFor(t testing.TB, password string) scram.StoredCredentials {
	client, err := scram.SHA256.NewClient("user", password, "")
	require.NoError(t, err)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	require.NoError(t, err)
	return stored
}

// closeAll ends every connection as an administrator does.
func (f *fakeUpstream) closeAll() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	message, _ := (&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "57P01"}).Encode(nil)
	for _, stream := range f.streams {
		stream.Write(message)
		stream.Close()
	}
}

func (f *fakeUpstream) serve(stream net.Conn) {
	defer stream.Close()
	backend := pgproto3.NewBackend(stream, stream)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if request, ok := startup.(*pgproto3.CancelRequest); ok {
		f.mutex.Lock()
		if cancel := f.cancels[request.ProcessID]; cancel != nil {
			cancel <- struct{}{}
		}
		f.mutex.Unlock()
		return
	}
	pid := uint32(f.opened.Add(1))
	cancel := make(chan struct{}, 16)
	f.mutex.Lock()
	f.streams[pid], f.cancels[pid] = stream, cancel
	f.mutex.Unlock()
	now := f.open.Add(1)
	defer f.open.Add(-1)
	for peak := f.peak.Load(); now > peak && !f.peak.CompareAndSwap(peak, now); peak = f.peak.Load() {
	}
	if f.login(backend) != nil {
		return
	}
	backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{1, 2, 3, 4}})
	s := &fakeSession{fake: f, backend: backend, status: 'I', prepared: map[string]string{}, portals: map[string][2]string{}, cancel: cancel}
	s.ready()
	for s.step() == nil {
	}
}

func (f *fakeUpstream) login(backend *pgproto3.Backend) error {
	server, _ := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return f.stored, nil })
	conversation := server.NewConversation()
	backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	backend.SetAuthType(pgproto3.AuthTypeSASL)
	if err := backend.Flush(); err != nil {
		return err
	}
	message, err := backend.Receive()
	if err != nil {
		return err
	}
	answer, _ := conversation.Step(string(message.(*pgproto3.SASLInitialResponse).Data))
	backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	backend.SetAuthType(pgproto3.AuthTypeSASLContinue)
	backend.Flush()
	if message, err = backend.Receive(); err != nil {
		return err
	}
	answer, err = conversation.Step(string(message.(*pgproto3.SASLResponse).Data))
	if err != nil {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "wrong password"})
		backend.Flush()
		return err
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

type fakeSession struct {
	fake     *fakeUpstream
	backend  *pgproto3.Backend
	status   byte
	skipping bool
	prepared map[string]string
	portals  map[string][2]string
	cancel   chan struct{}
}

func (s *fakeSession) ready() {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	s.backend.Flush()
}

func (s *fakeSession) step() error {
	message, err := s.backend.Receive()
	if err != nil {
		return err
	}
	if _, isSync := message.(*pgproto3.Sync); s.skipping && !isSync {
		return nil
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		s.execute(m.String, "", true)
		s.ready()
	case *pgproto3.Parse:
		if _, taken := s.prepared[m.Name]; taken && m.Name != "" {
			s.fail("42P05")
			return nil
		}
		s.prepared[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.fail("26000")
			return nil
		}
		argument := ""
		if len(m.Parameters) > 0 {
			argument = string(m.Parameters[0])
		}
		s.portals[m.DestinationPortal] = [2]string{sql, argument}
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := s.portals[m.Name][0]
		if m.ObjectType == 'S' {
			sql = s.prepared[m.Name]
			s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make25(strings.Count(sql, "$"))})
		}
		s.describe(sql)
	case *pgproto3.Execute:
		s.execute(s.portals[m.Portal][0], s.portals[m.Portal][1], false)
	case *pgproto3.Close:
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return s.backend.Flush()
	case *pgproto3.Sync:
		s.skipping = false
		s.ready()
	case *pgproto3.Terminate:
		return errors.New("terminated")
	}
	return nil
}

func make25(n int) []uint32 {
	oids := make([]uint32, n)
	for i := range oids {
		oids[i] = 25
	}
	return oids
}

func (s *fakeSession) fail(code string) {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: "failed"})
	s.skipping = true
	if s.status == 'T' {
		s.status = 'E'
	}
}

func (s *fakeSession) describe(sql string) {
	if !strings.HasPrefix(strings.ToLower(sql), "select") {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}})
}

func (s *fakeSession) execute(sql, argument string, simple bool) {
	if simple {
		defer func() { s.skipping = false }()
	}
	words := strings.Fields(strings.ToLower(strings.TrimRight(sql, "; ")))
	if len(words) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	tag := strings.ToUpper(words[0])
	switch words[0] {
	case "begin":
		s.status = 'T'
	case "commit", "rollback":
		s.status = 'I'
	case "insert":
		s.fake.offset.Add(1)
		tag = "INSERT 0 1"
	case "discard":
		clear(s.prepared)
		tag = "DISCARD ALL"
	case "fail":
		s.fail("22012")
		return
	case "copy":
		s.backend.Send(&pgproto3.CopyInResponse{})
		s.backend.Flush()
		tag = s.copyIn()
		if tag == "" {
			s.fail("57014")
			return
		}
	case "select":
		if !s.rows(sql, argument, simple) {
			return
		}
		tag = "SELECT 1"
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// rows answers a SELECT with its argument or its text.
func (s *fakeSession) rows(sql, argument string, simple bool) bool {
	value := sql
	if strings.Contains(sql, "$1") {
		value = argument
	}
	switch {
	case strings.Contains(sql, "group_position"):
		value = "1:" + itoa(s.fake.offset.Load())
	case strings.Contains(sql, "sleep"):
		s.backend.Flush()
		select {
		case <-s.cancel:
			s.fail("57014")
			return false
		case <-time.After(2 * time.Second):
		}
	case strings.Contains(sql, "large"):
		value = strings.Repeat("x", 100000)
	}
	if simple {
		s.describe(sql)
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return true
}

func (s *fakeSession) copyIn() string {
	count := int64(0)
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return ""
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			count += int64(strings.Count(string(m.Data), "\n"))
		case *pgproto3.CopyDone:
			return "COPY " + itoa(count)
		case *pgproto3.CopyFail:
			return ""
		}
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}
