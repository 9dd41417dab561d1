// Package dfstandin is a stand-in for an upstream: a server of the PostgreSQL
// protocol over a small SQL engine, with asynchronous replication, terms,
// faults on command and a record of what it committed. It serves tests, the
// demo and the load tool.
package dfstandin

import (
	"context"
	"net"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfstandinwire"
)

// ControlUser is the user of control connections, which the connection limit
// does not count.
const ControlUser = dfstandinwire.ControlUser

// FaultApplication is the application name of control connections that work on
// in a pause or partition, so that these can be ended.
const FaultApplication = dfstandinwire.FaultApplication

// Defaults and bounds.
const (
	// DefaultConnectionLimit is the smaller of the two users' limits.
	DefaultConnectionLimit = 20
	// heartbeat is how long a primary holds an answer to a replica without news;
	// hosts suspect a primary after several times as long.
	heartbeat = 50 * dfclock.Millisecond
	// linkBound is how long a replica waits for its primary before it dials again.
	linkBound = 500 * dfclock.Millisecond
	// fetchLimit bounds the entries of one answer to a replica.
	fetchLimit = 512
)

// Peer is another upstream of the same group.
type Peer struct {
	ID         dfgroup.UpstreamID
	DataCentre string
	Address    string
}

// Dial opens a connection, for example over a link with delays.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options describe one upstream.
type Options struct {
	ID         dfgroup.UpstreamID
	DataCentre string
	// Listen is "ip:port"; port 0 takes a free one, which a restart keeps.
	Listen string
	// Peers are the group's other upstreams; SetPeers changes them later.
	Peers []Peer
	// Following is the first primary; empty makes this upstream the first primary.
	Following dfgroup.UpstreamID
	// ConnectionLimit bounds ordinary connections.
	ConnectionLimit int
	// ConnectTime is spent in each startup of an ordinary connection.
	ConnectTime dfclock.Millis
	// StatementTime is spent in each statement of an ordinary connection, so
	// that the connections bound the throughput.
	StatementTime dfclock.Millis
	// FlushDelay lies between receipt and flush of an entry on a replica.
	FlushDelay dfclock.Millis
	// ApplyDelay lies between flush and application of an entry on a replica.
	ApplyDelay dfclock.Millis
	// Passwords by user, ControlUser among them; an empty map trusts every user.
	Passwords map[string]string
	// Dial opens connections to peers; nil dials directly.
	Dial Dial
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.ConnectionLimit == 0 {
		o.ConnectionLimit = DefaultConnectionLimit
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}

// Deployment has the figures of one user of the system.
type Deployment struct {
	DataCentres       []string
	BetweenCentres    dfclock.Millis
	ToCallers         dfclock.Millis
	Databases         int
	UpstreamsPerGroup int
	Slots             int
	ConnectionLimit   int
	ConnectTime       dfclock.Millis
}

// Consortium is the deployment with three slots per database.
func Consortium() Deployment {
	return Deployment{DataCentres: []string{"Catania", "Palermo", "Trapani"}, BetweenCentres: 3, ToCallers: 3,
		Databases: 3, UpstreamsPerGroup: 3, Slots: 3, ConnectionLimit: 20, ConnectTime: 12}
}

// Kovacik is the deployment with five slots per database.
func Kovacik() Deployment {
	return Deployment{DataCentres: []string{"Trnava", "Nitra", "Senica"}, BetweenCentres: 5, ToCallers: 3,
		Databases: 3, UpstreamsPerGroup: 3, Slots: 5, ConnectionLimit: 55, ConnectTime: 27}
}
