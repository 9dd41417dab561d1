// Package dfneighbour lets hosts tell each other what they know: versions of the
// desired state and of the list of upstreams, who leads, and proved log
// positions. It keeps a host current that the platform turns away.
//
// Each data centre has a speaker, chosen by rendezvous hashing among the hosts
// that answer. Hosts ask their speaker, and speakers ask each other, so that the
// messages between data centres do not grow with the number of hosts.
package dfneighbour

import (
	"io"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfmessage"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfrevocation"
)

const (
	// AliveSpan is the silence after which a neighbour counts as out of reach:
	// several rounds of exchange. A failed question counts at once.
	AliveSpan = 1600 * dfclock.Millisecond
	// speakerPeriod and memberPeriod pace the questions of speakers to each other
	// and of other hosts to their speaker. Together they keep proofs of positions
	// younger than the shortest staleness of the two users.
	speakerPeriod = 400 * dfclock.Millisecond
	memberPeriod  = 500 * dfclock.Millisecond
	// leaseSpeakerPeriod and leaseMemberPeriod are the same where hosts lease the
	// leaders: contact has to travel well within the span of a lease.
	leaseSpeakerPeriod = 200 * dfclock.Millisecond
	leaseMemberPeriod  = 250 * dfclock.Millisecond
	// forgetSpan is how long an unreachable neighbour is still named and tried.
	forgetSpan = 90 * dfclock.Second
	// passOverSpan is how long a host that did not answer is no speaker.
	passOverSpan = 4 * dfclock.Second
	// countSpan is how long a count of the hosts in touch is kept: a small part of
	// a lease.
	countSpan = 20 * dfclock.Millisecond
	// speakersSpan is how long a choice of speakers is kept.
	speakersSpan = 200 * dfclock.Millisecond
	// probers is the number of hosts of a data centre that probe leaders: enough
	// that one or two of them may fail or be cut off at the same time.
	probers = 3
	// strangers bounds the hosts of unknown name that are asked at once.
	strangers = 3
	// speakerKey makes the choice of speakers differ from other choices.
	speakerKey = "speaker"
)

// Lead is what a host knows of a service's leader. Fields are encoded by place,
// because these messages are most of what hosts send each other.
type Lead struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Leader  dffleet.ID
	// HeardAgo is the time since the leader answered the host.
	HeardAgo dfclock.Millis
	// Suspected is true if the leader does not answer the host's probes, or the
	// requests of a host that does not probe.
	Suspected bool
	// ProvedAgo is the age of Position, or negative if there is none.
	ProvedAgo dfclock.Millis
	Position  dfposition.Position
	// BackIn is when the host that changes the leader expects the next one, or zero.
	BackIn dfclock.Millis
	// Alive and Dead count the hosts of the data centre that heard from the
	// leader lately and that suspect it. Only speakers fill them in.
	Alive, Dead int
	// Term is the one that Leader leads, Led the newest that had a leader, and
	// Floor the lowest that may lead. They are zero where the platform fences.
	Term, Led, Floor dfposition.Term
	// Epoch is the highest one that the host promised.
	Epoch uint64
}

// Touch tells how long ago a host knew what the reporting host told it.
type Touch struct {
	_ struct{} `cbor:",toarray"`
	// Host is the hash of its address.
	Host uint32
	Ago  dfclock.Millis
}

// Question asks a neighbour for its report.
type Question struct {
	_ struct{} `cbor:",toarray"`
	// Host is the asker; it is empty behind the first question of a connection.
	Host dfmember.Host
	// Catalog and Fleet are the versions that the asker has.
	Catalog uint64
	Fleet   uint64
	// Circle is the digest of the hosts that the asker knows.
	Circle uint64
	// Leads are the asker's own, for the votes of its data centre.
	Leads []Lead
	// Fetch asks for the document of the desired state, however long it is.
	Fetch bool
	// Notice takes a leader's lead away; the answer has only the reply then.
	Notice *dfrevocation.Notice
}

// Report answers a question.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Host    dfmember.Host
	Catalog uint64
	Fleet   uint64
	Leads   []Lead
	// CurrentAgo is the time since the host knew that it missed no version of
	// the desired state.
	CurrentAgo dfclock.Millis
	// Remote is true if the host heard from other data centres lately.
	Remote bool
	// CutOff is true if the host judges its data centre to be cut off. Judged is
	// false if it has not been up for long enough to tell.
	CutOff, Judged bool
	// Hosts are those that the host knows, if the asker knows others.
	Hosts []dfmember.Host
	// Document, packed, and Upstreams are sent to an asker whose versions are lower.
	// A long document is sent only to those that fetch it, because it would keep
	// them from hearing anything else.
	Document  []byte
	Upstreams []dffleet.Upstream
	// Touches are those of the hosts of the data centre. They are sent to other
	// data centres only.
	Touches []Touch
	// QuorumAgo is the time since the host was in touch with a majority of the
	// hosts, or negative if it never was.
	QuorumAgo dfclock.Millis
	// Informed is true if the host knows of every order that may still take effect.
	Informed bool
	// Reply answers a notice.
	Reply *dfrevocation.Reply
}

// WriteQuestion sends a question.
func WriteQuestion(w io.Writer, question Question) error {
	return dfmessage.Write(w, question)
}

// ReadQuestion receives a question.
func ReadQuestion(r io.Reader) (Question, error) {
	var question Question
	return question, dfmessage.Read(r, &question)
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
