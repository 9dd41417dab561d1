package dfhost

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dragonflygrade/dfresult"
)

// startingTimeout bounds the exchange with a caller that is refused because the
// host has no configuration yet.
const startingTimeout = 2 * time.Second

// startingListener refuses callers with the reason while the host has no
// configuration; without one it knows no caller and could not tell a wrong
// password from a right one.
type startingListener struct {
	net.Listener
	host *Host
}

// Accept returns the next caller that the host can serve.
func (l *startingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.host.configuration().Version() > 0 {
			return conn, err
		}
		go refuseStarting(conn)
	}
}

func refuseStarting(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(startingTimeout)) != nil {
		return
	}
	backend := pgproto3.NewBackend(conn, conn)
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
			continue
		case *pgproto3.CancelRequest:
			return
		}
		refusal := dfresult.NewError(dfresult.ConfigurationAbsent, "the host has just started").WithRetryAfter(startHint)
		backend.Send(&pgproto3.ErrorResponse{
			Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: refusal.Code.SQLState(), Message: refusal.Error(),
		})
		_ = backend.Flush()
		return
	}
}
