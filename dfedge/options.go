// Package dfedge runs one host on machines whose platform carries out the
// promotions: it accepts callers, runs their statements on the upstreams of a
// service, and takes part in changing a service's leader.
package dfedge

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

const (
	// tick paces the decisions that depend on time alone. Detection of a dead
	// leader adds at most one tick.
	tick = 50 * time.Millisecond
	// linkPeriod paces the choice of the hosts to ask.
	linkPeriod = 200 * dfclock.Millisecond
	// neighbourSilence ends a connection whose other side asks no more.
	neighbourSilence = 10 * time.Second
	// forwardKeepAlive finds askers that are gone, whose transactions hold
	// connections: twice the time in which upstreams notice a dead caller.
	forwardKeepAlive = time.Second
	// voteSpan is how lately a host must have heard from a leader to vote for it.
	voteSpan = 500 * dfclock.Millisecond
	// currentSpan is how long a host relies on what neighbours told of versions.
	// It leaves time within the 3 s in which a version must be in force.
	currentSpan = 1500 * dfclock.Millisecond
	// listenerSpan is the same for hosts that leave the platform to the first ones
	// of their data centre: calls of all hosts during an outage would be refused
	// and charged. It leaves time within the 5 s of deployments with that many.
	listenerSpan = 3 * dfclock.Second
	// standingPause is the pause before an epoch is taken ahead of need, after the
	// start and after one was lost: the time in which claims take effect.
	standingPause = 2500 * dfclock.Millisecond
	// fullSpan is how long an upstream that was at its limit of connections is
	// asked for no more than the equal share.
	fullSpan = dfclock.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// feedWait is the longest wait of a feed; the platform allows 30 s. Silent
	// connections are found by keep-alive probes.
	feedWait = 20 * dfclock.Second
	// feedRetry is the pause after a failed call to the platform.
	feedRetry = 250 * time.Millisecond
	// membersPeriod paces reads of the table of hosts, which only helps hosts
	// whose seeds are all gone.
	membersPeriod = 20 * time.Second
	// speakerProofAge is the age of the newest proof at which the speaker beside
	// a leader asks it for another one, for all hosts. Other hosts ask at
	// proofAge, shortly before their reads would lack a proof of 1.5 s.
	speakerProofAge = 300 * dfclock.Millisecond
	proofAge        = 1200 * dfclock.Millisecond
	// demandSpan is how long after its last read a service is kept fresh.
	demandSpan = 2 * dfclock.Second
	// statusTimeout bounds a status question to a replica.
	statusTimeout = 350 * dfclock.Millisecond
	// connectTimeout bounds an opening: a lost packet is sent again after 1 s.
	connectTimeout = 1200 * dfclock.Millisecond
	// silenceFactor times the expected wait is the time after which an
	// unanswered read is sent elsewhere, but at least silenceFloor.
	silenceFactor = 6
	silenceFloor  = 300 * dfclock.Millisecond
	// admitShare is the part of a caller's aim, in percent, that the expected wait
	// may take. The rest is for the work itself and for waits that turn out longer:
	// a queue that takes the whole aim makes all of its callers late.
	admitShare dfclock.Millis = 60
	// leaderShare is the same for reads at the leader which replicas serve as a
	// rule. Under overload they leave its slots to what only the leader can run.
	leaderShare dfclock.Millis = 40
	// silenceRatio times the expected wait is the silence of a leader that its
	// load explains.
	silenceRatio = 3
	// memberPatience is the silence after which hosts that do not speak for their
	// data centre probe a leader, and every host one that has not answered yet.
	// Probes of all hosts at once would fill its slots.
	memberPatience = 700 * dfclock.Millisecond
	// connectionPatience bounds the wait for a connection to one upstream. Then
	// the statement is planned anew, because another one may lead by now.
	connectionPatience = 300 * dfclock.Millisecond
	// refusePause is the pause before a statement that an upstream refused
	// without running it is sent again.
	refusePause = 15 * dfclock.Millisecond
	// maxTries bounds the upstreams that one statement is sent to.
	maxTries = 6
	// startupTimeout bounds the first message of a caller.
	startupTimeout = 5 * time.Second
	// routePatience bounds the wait of a new session for the desired state.
	// Callers give up an answer to their startup after 2 s.
	routePatience = 1200 * dfclock.Millisecond
	// noticeSpan is the time until the entry has noticed that a host is not
	// ready: two questions, one a second, and their answers.
	noticeSpan = 2200 * dfclock.Millisecond
	// exitReserve is the end of the grace period that is left for the exit.
	exitReserve = 400 * dfclock.Millisecond
)

// Caller is the codec of a session that faces the caller.
type Caller interface {
	ReadStartup() (database string, err error)
	ReadCall() (call dfstatement.Call, ended bool, err error)
	// Pending reports whether part of a further message has arrived.
	Pending() bool
	WriteReady() error
	WriteRefusal(code dfresult.Code, detail string) error
	WriteAnswer(answer dfstatement.Answer) error
	SetReadDeadline(at time.Time) error
	Close() error
}

// Dialect makes the codecs of connections.
type Dialect interface {
	Accept(conn net.Conn) Caller
	// Open begins a session with an upstream. A refusal is a *dfresult.Error.
	Open(conn net.Conn, service, host, id string) (dfconnection.Wire, error)
}

// Platform is what the host uses of the machines' services.
type Platform interface {
	dfplatform.Table
	dfplatform.Feeds
	dfplatform.Orders
}

// Options are the checked settings of a host.
type Options struct {
	// Self has the address for neighbours.
	Self dfmember.Host
	// CallerAddress, ReadyAddress and MetricsAddress are "ip:port"; an empty
	// metrics address serves none.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// ForwardPort is the port at which hosts of the data centre take statements
	// for upstreams from each other; 0 lets no statement be forwarded.
	ForwardPort int
	Seeds       []string
	// DrainTimeout bounds new work at an upstream after its leaving is known.
	DrainTimeout dfclock.Millis
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod dfclock.Millis
	Platform    Platform
	// Fencing is how a replaced leader is kept from serving.
	Fencing dfsuccession.Fencing
	Dialect Dialect
	// Dial opens a network connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns an instant that counts the time in which the machine stood still.
	Now dfconnection.Clock
}

func (o Options) check() error {
	switch {
	case o.Self.ID == "" || o.Self.DataCentre == "":
		return eris.New("edge: a host needs a name and a data centre")
	case o.CallerAddress == "" || o.ReadyAddress == "":
		return eris.New("edge: addresses for callers and for readiness are required")
	case o.Fencing == nil:
		return eris.New("edge: it has to be said who fences replaced leaders")
	case o.Platform == nil || o.Dialect == nil || o.Dial == nil || o.Now == nil:
		return eris.New("edge: platform, dialect, dial and clock are required")
	case o.GracePeriod <= 0:
		return eris.New("edge: the grace period must be positive")
	}
	return nil
}
