package dfstandinwire

import (
	"crypto/subtle"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfstandinsql"
)

// startup reads the first messages; nil without an error ends the connection.
func (c *Conn) startup() (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, eris.Wrap(err, "standin: startup")
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.socket.Started(false)
			if c.socket.Open() {
				c.server.cancel(m)
			}
			return nil, nil
		case *pgproto3.StartupMessage:
			c.user = m.Parameters["user"]
			c.control = c.user == ControlUser
			c.application = m.Parameters["application_name"]
			c.socket.Started(c.control && c.application == FaultApplication)
			if !c.socket.Open() {
				return nil, ErrStopped
			}
			return m, nil
		}
	}
}

func (s *Server) cancel(request *pgproto3.CancelRequest) {
	c := s.Host.Find(request.ProcessID)
	if c == nil || subtle.ConstantTimeCompare(c.secret, request.SecretKey) != 1 {
		return
	}
	c.CancelRunning()
}

// CancelRunning ends the running statement, if any.
func (c *Conn) CancelRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(errCancelled)
	}
}

// open sends what follows a successful authentication.
func (c *Conn) open(startup *pgproto3.StartupMessage) {
	settings := map[string]string{"transaction_isolation": "serializable", "default_transaction_read_only": "off",
		"idle_session_timeout": "0", "idle_in_transaction_session_timeout": "0", "statement_timeout": "0"}
	for name, value := range reported {
		settings[strings.ToLower(name)] = value
	}
	for name, value := range startup.Parameters {
		settings[strings.ToLower(name)] = value
	}
	c.session = dfstandinsql.NewSession(c.server.Database, c.server.Host.Environment(c), settings)
	for name := range reported {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: settings[strings.ToLower(name)]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
