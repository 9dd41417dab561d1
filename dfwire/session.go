package dfwire

import (
	"context"
	"net"

	"github.com/xdg-go/scram"

	"dragonflygrade/dfunit"
)

// Credentials are the stored SCRAM-SHA-256 secrets of callers.
type Credentials interface {
	// Lookup returns false for an unknown service or user.
	Lookup(service, user string) (scram.StoredCredentials, bool)
}

// Opening describes an authenticated caller.
type Opening struct {
	Service string
	// Database is empty if the caller named only the service.
	Database string
	User     string
	// Caller is the user unless the caller gave a finer name.
	Caller string
	// Token is the session token presented at startup, or empty.
	Token string
	// Parameters are the other startup parameters by lower-case name.
	Parameters map[string]string
	Remote     net.Addr
	// Report sends a ParameterStatus. It may be called only while Run runs; the
	// caller gets the parameter before ReadyForQuery.
	Report func(name, value string) error
}

// Handler opens sessions.
type Handler interface {
	// Open is called after authentication. An error should be a *dfresult.Error.
	Open(ctx context.Context, opening Opening) (Session, error)
}

// Session runs the batches of one caller.
type Session interface {
	// Run passes the answers to the sink and returns the transaction status. It
	// returns zero while COPY data is due and after a batch that ends with
	// Flush. ReadyForQuery messages given to the sink are dropped; the server
	// writes its own. The batch is valid only during the call. With an error the
	// status tells whether the transaction goes on ('E') or ended ('I'); zero
	// leaves this to the server. The error should be a *dfresult.Error.
	Run(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink) (status byte, err error)
	// Cancel asks to cancel the batch that runs now. It is called by another
	// goroutine than Run, possibly after Close. The caller's cancel connection
	// is closed when it returns.
	Cancel()
	// Close is called once after the last Run.
	Close()
}

// Greeter is implemented by sessions that know what the caller is to be told at
// startup better than the server does.
type Greeter interface {
	// Greeting returns values by lower-case parameter name.
	Greeting() map[string]string
}

// Key identifies a caller connection in a cancel request.
type Key struct {
	// PID has the host's number in its upper 12 bits.
	PID    uint32
	Secret uint32
}

// Host returns the number of the host that issued the key.
func (k Key) Host() uint16 {
	return uint16(k.PID >> indexBits)
}

// indexBits is the width of the connection's number in a process number.
const indexBits = 20

// Canceller passes cancel requests on to other hosts.
type Canceller interface {
	// PassOn hands the key to the host with the number key.Host(), whose server
	// takes it by Server.Cancel.
	PassOn(ctx context.Context, key Key)
}
