// Package dfneighbour implements the exchange of state between hosts: versions
// of the desired state and of the list of upstreams, the state of leaders, and
// proved log positions. It keeps hosts up to date that the platform refuses to
// serve.
//
// Each data centre has a speaker, selected by rendezvous hashing among the
// hosts that answer. Hosts poll their speaker, and speakers poll each other, so
// that the number of messages between data centres does not grow with the
// number of hosts.
package dfneighbour

import (
	"io"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfmessage"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfroster"
)

const (
	// LivenessTimeout is how long after its last message a neighbour counts as
	// unreachable. It covers several exchanges. A neighbour that fails to answer a
	// request counts as unreachable immediately.
	LivenessTimeout = 1600 * dfclock.Millisecond
	// speakerPeriod is how often speakers poll each other, and memberPeriod how
	// often other hosts poll their speaker. Together they keep position proofs
	// more recent than the shortest staleness bound of the two known deployments.
	speakerPeriod = 400 * dfclock.Millisecond
	memberPeriod  = 500 * dfclock.Millisecond
	// leaseSpeakerPeriod and leaseMemberPeriod are used instead where hosts use
	// leaders under a lease. Contacts must be known to the other data centres well
	// within the duration of a lease.
	leaseSpeakerPeriod = 200 * dfclock.Millisecond
	leaseMemberPeriod  = 250 * dfclock.Millisecond
	// startPeriod is used for both by a host that has just started.
	startPeriod = 150 * dfclock.Millisecond
	// forgetTimeout is how long an unreachable neighbour is still polled and listed
	// in reports.
	forgetTimeout = 90 * dfclock.Second
	// silentAfter is how long nothing was heard of a host of the host table until the
	// speaker polls it, and missingAfter until it is missing if it does not answer. That
	// covers a change of speaker and the start of a process that ended.
	silentAfter  = 1500 * dfclock.Millisecond
	missingAfter = 2500 * dfclock.Millisecond
	// remoteSilence is how much longer that takes for a host of another data centre whose
	// speaker answers. That speaker notices first.
	remoteSilence = 2500 * dfclock.Millisecond
	// unlistedTimeout is how long a host is known that is not in the host table and that
	// nobody names.
	unlistedTimeout = 10 * dfclock.Second
	// failureBackoff is how long a host that did not answer is excluded from the
	// selection of speakers and carriers.
	failureBackoff = 4 * dfclock.Second
	// cutOffFactor times the number of carriers is how many hosts of a data centre must
	// be in backoff for it to seem cut off. A failure of all carriers of one upstream
	// then does not look like it.
	cutOffFactor = 2
	// quorumTTL is how long a count of contacts is cached. It is a small part of a
	// lease.
	quorumTTL = 20 * dfclock.Millisecond
	// selectionTTL is how long the selection of speakers is cached.
	selectionTTL = 200 * dfclock.Millisecond
	// probersPerDataCentre is the number of hosts in a data centre that probe
	// leaders. One or two of them may fail or be cut off at the same time.
	probersPerDataCentre = 3
	// maxUnidentified bounds the hosts with an unknown ID that are polled at the
	// same time.
	maxUnidentified = 3
	// speakerKey is the rendezvous key for the selection of speakers. It differs
	// from the keys of other selections.
	speakerKey = "speaker"
)

// LeaderState is what a host knows of the leader of a service. Its fields are
// encoded by position to save space, because leader states are most of the
// traffic between hosts.
type LeaderState struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Leader  dffleet.ID
	// AnswerAge is the time since the leader last answered the host.
	AnswerAge dfclock.Millis
	// Suspected is true if the leader does not answer the host's probes, or its
	// statements if the host is not a prober.
	Suspected bool
	// ProofAge is the age of the proof of Position, or negative if there is none.
	ProofAge dfclock.Millis
	Position dfposition.Position
	// ExpectedIn is the time until the next leader is expected, or zero. Only a host
	// that replaces the leader sets it.
	ExpectedIn dfclock.Millis
	// AliveVotes and DeadVotes count the hosts of the data centre that recently
	// heard from the leader and those that suspect it. They are set in reports only.
	AliveVotes, DeadVotes int
	// Term is the term that Leader leads, LatestLedTerm the newest term that had a
	// leader, and MinTerm the lowest term that may lead. They are zero where the
	// platform fences.
	Term, LatestLedTerm, MinTerm dfposition.Term
	// Epoch is the highest epoch that the host has promised.
	Epoch uint64
}

// Contact is the last contact with a host. A host that sends a request has
// received the previous report of the reporting host, so the contact dates from
// when that report was sent.
type Contact struct {
	_ struct{} `cbor:",toarray"`
	// Host is the hash of the host's address.
	Host uint32
	Age  dfclock.Millis
}

// Request asks a neighbour for a report.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Host is the sender. It is set only in the first request of a connection.
	Host dfmember.Host
	// Catalog and Fleet are the sender's versions of the desired state and of the
	// list of upstreams.
	Catalog uint64
	Fleet   dfrevision.Revision
	// HostsDigest is the digest of the hosts that the sender knows, but for those of the
	// host table where it is used.
	HostsDigest uint64
	// Roster is the revision of the store that the sender's host table reflects.
	Roster dfrevision.Revision
	// Leaders are the sender's votes, for the speaker of its data centre.
	Leaders []LeaderState
	// Fetch requests the document of the desired state, however large it is.
	Fetch bool
	// Notice revokes the leadership of a leader. The report then has only a Reply.
	Notice *dfrevocation.Notice
	// Hold stops writes to a leader. The report then has only a HoldReply.
	Hold *dfrevocation.HoldNotice
	// Holds are the holds that the host knows.
	Holds []dfrevocation.Hold
}

// Report is the answer to a Request.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Host    dfmember.Host
	Catalog uint64
	Fleet   dfrevision.Revision
	Leaders []LeaderState
	// CurrentAge is the time since the host was last known to have the newest
	// desired state.
	CurrentAge dfclock.Millis
	// RemoteReachable is true if other data centres recently answered the host.
	RemoteReachable bool
	// Isolated is true if the host considers its data centre cut off. IsolationKnown
	// is false if the host has not been up for long enough to tell.
	Isolated, IsolationKnown bool
	// Hosts has the hosts that the host knows. It is empty if the digest in the
	// request is the same.
	Hosts []dfmember.Host
	// Roster is the revision of the store that the host table reflects. RosterEntries has
	// the table if it changed after the requester's, and RosterAge the time since the
	// store confirmed it, or a negative value.
	Roster        dfrevision.Revision
	RosterEntries []dfroster.Entry
	RosterAge     dfclock.Millis
	// Document is the compressed desired state, and Upstreams the list of
	// upstreams. Each is sent only if the requester has a lower version. A large
	// document is sent only to a requester that fetches it, because it would delay
	// the other content of the exchange.
	Document  []byte
	Upstreams []dffleet.Upstream
	// Drains has the upstreams that drain for a known time.
	Drains []dffleet.Drain
	// Contacts has the contacts with the hosts of the data centre. It is sent only
	// to other data centres.
	Contacts []Contact
	// QuorumAge is the time since the host was in contact with a majority of the
	// hosts, or negative if it never was.
	QuorumAge dfclock.Millis
	// ClaimsLoaded is true if the host knows every promotion order that may still
	// take effect.
	ClaimsLoaded bool
	// Reply is the answer to a Notice.
	Reply *dfrevocation.Reply
	// HoldReply answers a HoldNotice.
	HoldReply *dfrevocation.HoldReply
	// Holds are the holds that the host knows. HoldsLoaded is true if it knows those that
	// were accepted before it started.
	Holds       []dfrevocation.Hold
	HoldsLoaded bool
}

// WriteRequest sends a request.
func WriteRequest(w io.Writer, request Request) error {
	return dfmessage.Write(w, request)
}

// ReadRequest receives a request.
func ReadRequest(r io.Reader) (Request, error) {
	var request Request
	return request, dfmessage.Read(r, &request)
}

// WriteReport sends a report.
func WriteReport(w io.Writer, report Report) error {
	return dfmessage.Write(w, report)
}

// ReadReport receives a report.
func ReadReport(r io.Reader) (Report, error) {
	var report Report
	return report, dfmessage.Read(r, &report)
}
