// Package dfedge implements a proxy host for platforms that carry out promotions.
// It accepts callers, runs their statements on the upstreams of a service, and
// takes part in replacing a service's leader.
//
// Some hosts of each data centre have a role. The speaker polls the platform and
// exchanges state with the other data centres. Probers, among them the speaker,
// probe the leaders. Carriers hold the connections to an upstream that accepts
// fewer of them than there are hosts, and run statements for the other hosts; where
// connections belong to organisations, also for those of other data centres.
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
	"dragonflygrade/dfquota"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

const (
	// tickInterval is the interval of time-based decisions. It adds at most one
	// tick to the detection of a dead leader.
	tickInterval = 50 * time.Millisecond
	// neighbourSelectPeriod is how often the neighbours to poll are selected.
	neighbourSelectPeriod = 200 * dfclock.Millisecond
	// neighbourIdleTimeout closes a neighbour's connection that sends no more
	// requests.
	neighbourIdleTimeout = 10 * time.Second
	// forwardKeepAlive is the keep-alive interval that detects dead hosts whose
	// forwarded transactions hold connections. It is twice the time in which
	// upstreams detect a dead caller.
	forwardKeepAlive = time.Second
	// voteMaxAge is how recently a host must have heard from a leader to vote for
	// it.
	voteMaxAge = 500 * dfclock.Millisecond
	// versionMaxAge is how long a host relies on the versions that neighbours
	// reported. It leaves a margin within the 3 s in which a version must be in
	// force.
	versionMaxAge = 1500 * dfclock.Millisecond
	// nonProberVersionMaxAge is the same for hosts that are not among the probers
	// of their data centre and leave polling the platform to those. The platform
	// would refuse and charge for calls by all hosts during an outage. The limit
	// leaves a margin within the 5 s that apply to deployments of that size.
	nonProberVersionMaxAge = 3 * dfclock.Second
	// epochReserveDelay is the pause before an epoch is reserved, after startup and
	// after one was lost. It is the time in which claims take effect.
	epochReserveDelay = 2500 * dfclock.Millisecond
	// fullBackoff is how long this host limits itself to the equal share of
	// connections after an upstream was full.
	fullBackoff     = dfclock.Second
	exchangeTimeout = 400 * time.Millisecond
	// feedPollTimeout is the timeout of a long poll; the platform allows 30 s. Dead
	// connections are detected by keep-alive probes.
	feedPollTimeout = 20 * dfclock.Second
	// feedMaxGap is the longest time from an answer of a feed to the next long poll.
	feedMaxGap = 100 * dfclock.Millisecond
	// keyedPollTimeout is the timeout of a long poll of the catalog where keys can be
	// withdrawn, and feedSilenceTimeout the silence of all feeds after which the platform
	// may not answer this host any more.
	keyedPollTimeout   = dfclock.Second
	feedSilenceTimeout = 1600 * dfclock.Millisecond
	// strictPollTimeout is the timeout of a long poll where the revocation of keys is
	// strict. Each answer confirms the version, and the hosts that ask this one still
	// have one that is younger than versionMaxAge.
	strictPollTimeout = 400 * dfclock.Millisecond
	// feedStallTimeout is how long a connection to the platform may be dead until the
	// host notices.
	feedStallTimeout = 3 * dfclock.Second
	// suspensionGap is the time between ticks from which on the host counts as
	// suspended. A tick that load delays as long costs requests resumeTimeout at most.
	suspensionGap = dfclock.Second
	// resumeTimeout bounds how long a host that was suspended takes to read the versions
	// that arrived meanwhile from its feed or from a neighbour.
	resumeTimeout = 250 * dfclock.Millisecond
	// feedRetryDelay is the pause after a failed call to the platform.
	feedRetryDelay = 250 * time.Millisecond
	// A proof is a log position confirmed by the leader. The speaker in the
	// leader's data centre requests a new one for all hosts once the newest is
	// older than speakerProofAge. Other hosts do so at proofAge, shortly before
	// their reads would lack a proof of 1.5 s.
	speakerProofAge = 300 * dfclock.Millisecond
	proofAge        = 1200 * dfclock.Millisecond
	// demandWindow is how long after its last read a service's proof is kept fresh.
	demandWindow = 2 * dfclock.Second
	// statusTimeout bounds a status query to a replica.
	statusTimeout = 350 * dfclock.Millisecond
	// connectTimeout bounds the opening of a connection. It allows for one
	// retransmission, which takes place after 1 s.
	connectTimeout = 1200 * dfclock.Millisecond
	// An unanswered read is sent elsewhere after readTimeoutFactor times the
	// expected wait, but no sooner than minReadTimeout.
	readTimeoutFactor = 6
	minReadTimeout    = 300 * dfclock.Millisecond
	// admitWaitPercent is the part of a caller's target latency that the expected
	// wait may take. The rest is for the statement itself and for waits that turn
	// out longer: a queue that takes the whole target latency makes all of its
	// callers late.
	admitWaitPercent dfclock.Millis = 60
	// leaderWaitPercent is the same for reads at the leader that replicas normally
	// serve. Under overload they leave its slots to statements that only the leader
	// can run.
	leaderWaitPercent dfclock.Millis = 40
	// leaderSilenceFactor times the expected wait is how long the leader's load
	// explains its silence.
	leaderSilenceFactor = 3
	// nonSpeakerProbeDelay is the silence after which a host other than the speaker
	// probes a leader. It applies to every host while a leader has not answered
	// yet. Probes from all hosts at once would fill the leader's slots.
	nonSpeakerProbeDelay = 700 * dfclock.Millisecond
	// maxAcquireWait bounds the wait for a connection to one upstream. The
	// statement is planned again afterwards, because another upstream may lead by
	// then.
	maxAcquireWait = 300 * dfclock.Millisecond
	// nextCarrierWait bounds the wait at each further carrier of an organisation. It
	// allows for the opening of a connection in a queue of a few statements.
	nextCarrierWait = 75 * dfclock.Millisecond
	// maxLostCarriers is how many carriers of an organisation may not answer before a
	// statement is sent to another upstream. Each costs a time-out if the data centre is
	// cut off.
	maxLostCarriers = 2
	// refusedRetryDelay is the pause before a statement that an upstream refused
	// without running it is sent again.
	refusedRetryDelay = 15 * dfclock.Millisecond
	// maxAttempts bounds the upstreams to which one statement is sent.
	maxAttempts = 6
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 5 * time.Second
	// routeWaitTimeout bounds how long a new session waits for the desired state.
	// Callers time out their startup after 2 s.
	routeWaitTimeout = 1200 * dfclock.Millisecond
	// unreadyDetectionTime is how long the load balancer takes to notice that a
	// host is not ready: two checks, one per second, and their answers.
	unreadyDetectionTime = 2200 * dfclock.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of
	// the process.
	exitReserve = 400 * dfclock.Millisecond
)

// Caller encodes and decodes the messages of one caller's session.
type Caller interface {
	// ReadStartup returns the name that the caller connects to, and its key, or "" if
	// it has none.
	ReadStartup() (database, key string, err error)
	ReadCall() (call dfstatement.Call, ended bool, err error)
	// Pending reports whether part of another message has arrived.
	Pending() bool
	WriteReady() error
	WriteRefusal(code dfresult.Code, detail string) error
	WriteAnswer(answer dfstatement.Answer) error
	SetReadDeadline(at time.Time) error
	Close() error
}

// Dialect creates the codecs of connections.
type Dialect interface {
	Accept(conn net.Conn) Caller
	// Open starts a session with an upstream. identity is the name of the organisation
	// whose statements will run, or the ID of this host. A refusal is returned as a
	// *dfresult.Error.
	Open(conn net.Conn, service, identity, id string) (dfconnection.Transport, error)
}

// Platform has the platform services that a host uses.
type Platform interface {
	dfplatform.Table
	dfplatform.Feeds
	dfplatform.Orders
	// Era returns the latest era that was seen in the store's answers, or 0. It rises each
	// time that the store comes back from an older copy.
	Era() uint64
}

// Options are the settings of a host. New validates them.
type Options struct {
	// Self.Address is the address for neighbours.
	Self dfmember.Host
	// CallerAddress, ReadyAddress and MetricsAddress are "ip:port". Metrics are not
	// served if MetricsAddress is empty.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// ForwardPort is the port on which hosts accept forwarded statements from each
	// other; 0 disables forwarding.
	ForwardPort int
	Seeds       []string
	// DrainTimeout bounds new work on an upstream once it is known to be leaving.
	DrainTimeout dfclock.Millis
	// GracePeriod is the time from the stop request until the process is killed.
	GracePeriod dfclock.Millis
	// If StrictRevocation is true, a host that could not confirm for RevokeTimeout that
	// its version of the desired state is the newest refuses callers with keys.
	StrictRevocation bool
	RevokeTimeout    dfclock.Millis
	// OutlierEjection sets upstreams aside that answer worse than the others of their
	// service, and paces those that start or recover.
	OutlierEjection bool
	// LimitTolerance is how far organisations may exceed their limits. It is the
	// default if its window is zero.
	LimitTolerance dfquota.Tolerance
	Platform       Platform
	// Fencing is how a replaced leader is kept from serving.
	Fencing dfsuccession.Fencing
	Dialect Dialect
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time of a clock that also advances while the machine is
	// suspended.
	Now dfconnection.Clock
}

func (o Options) check() error {
	switch {
	case o.Self.ID == "" || o.Self.DataCentre == "":
		return eris.New("edge: host ID and data centre are required")
	case o.CallerAddress == "" || o.ReadyAddress == "":
		return eris.New("edge: caller and readiness addresses are required")
	case o.Fencing == nil:
		return eris.New("edge: fencing mode is required")
	case o.Platform == nil || o.Dialect == nil || o.Dial == nil || o.Now == nil:
		return eris.New("edge: platform, dialect, dial and clock are required")
	case o.GracePeriod <= 0:
		return eris.New("edge: the grace period must be positive")
	case o.StrictRevocation && o.RevokeTimeout <= 0:
		return eris.New("edge: strict revocation needs a positive timeout")
	}
	return nil
}
