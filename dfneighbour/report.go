// Package dfneighbour lets hosts tell each other what they know: versions of the
// desired state and of the list of upstreams, who leads, and proved log
// positions. It keeps a host current that the platform turns away.
package dfneighbour

import (
	"encoding/binary"
	"io"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfposition"
)

const (
	// maxFrame bounds one message; the desired state is the largest content.
	maxFrame = 4 << 20
	// AliveSpan is the silence after which a neighbour counts as out of reach:
	// three rounds of exchange. A failed question counts at once.
	AliveSpan = 3200 * dfclock.Millisecond
	// forgetSpan is how long an unreachable neighbour is still tried.
	forgetSpan = 90 * dfclock.Second
)

// Lead is what a host knows of a service's leader. Fields are encoded by place,
// because these messages are most of what hosts send each other.
type Lead struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Leader  dffleet.ID
	// HeardAgo is the time since the leader answered the host.
	HeardAgo dfclock.Millis
	// Suspected is true if the leader does not answer the host's probes.
	Suspected bool
	// ProvedAgo is the age of Position, or negative if there is none.
	ProvedAgo dfclock.Millis
	Position  dfposition.Position
	// BackIn is when the host that changes the leader expects the next one, or zero.
	BackIn dfclock.Millis
	// Connections counts the host's connections to each upstream.
	Connections map[dffleet.ID]int
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
}

// Report answers a question.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Host    dfmember.Host
	Catalog uint64
	Fleet   uint64
	Leads   []Lead
	// Hosts are those that the host knows, if the asker knows others.
	Hosts []dfmember.Host
	// Document and Upstreams are sent to an asker whose versions are lower.
	Document  []byte
	Upstreams []dffleet.Upstream
}

// WriteQuestion sends a question.
func WriteQuestion(w io.Writer, question Question) error {
	return writeFrame(w, question)
}

// ReadQuestion receives a question.
func ReadQuestion(r io.Reader) (Question, error) {
	var question Question
	return question, readFrame(r, &question)
}

// WriteReport sends a report.
func WriteReport(w io.Writer, report Report) error {
	return writeFrame(w, report)
}

// ReadReport receives a report.
func ReadReport(r io.Reader) (Report, error) {
	var report Report
	return report, readFrame(r, &report)
}

// writeFrame sends the length of a message and the message.
func writeFrame(w io.Writer, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "neighbour: encode")
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

func readFrame(r io.Reader, message any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxFrame {
		return eris.Errorf("neighbour: frame of %d bytes", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return eris.Wrap(cbor.Unmarshal(data, message), "neighbour: decode")
}

// neighbour is one other host.
type neighbour struct {
	host dfmember.Host
	// heardAt is when it answered or asked last, or negative.
	heardAt dfclock.Millis
	// failedAt is when a question to it failed last, or negative.
	failedAt dfclock.Millis
	// knownAt is when it was first named.
	knownAt dfclock.Millis
	leads   map[string]told
}

// told is a lead with its ages as instants of this host.
type told struct {
	Lead
	heardAt dfclock.Millis
}

// Circle has the neighbours of one host. It is not safe for concurrent use.
type Circle struct {
	self       dfmember.Host
	neighbours map[string]*neighbour
}

// NewCircle returns the circle of a host that knows nobody.
func NewCircle(self dfmember.Host) *Circle {
	return &Circle{self: self, neighbours: map[string]*neighbour{}}
}

// Learn adds a host that somebody named. It reports whether it is new.
func (c *Circle) Learn(now dfclock.Millis, host dfmember.Host) bool {
	if host.Address == c.self.Address || host.Address == "" {
		return false
	}
	known := c.neighbours[host.Address]
	if known != nil {
		if known.host.ID == "" {
			known.host = host
		}
		return false
	}
	c.neighbours[host.Address] = &neighbour{host: host, heardAt: -1, failedAt: -1, knownAt: now}
	return true
}

// Heard takes a report that was asked for, or received, at an instant. Ages in
// it count from that instant.
func (c *Circle) Heard(now, since dfclock.Millis, report Report) {
	c.Learn(now, report.Host)
	known := c.neighbours[report.Host.Address]
	if known == nil {
		return
	}
	known.host, known.heardAt = report.Host, now
	known.leads = make(map[string]told, len(report.Leads))
	for _, lead := range report.Leads {
		known.leads[lead.Service] = told{Lead: lead, heardAt: since - lead.HeardAgo}
	}
	for _, host := range report.Hosts {
		c.Learn(now, host)
	}
}

// Failed notes that a question to an address had no answer.
func (c *Circle) Failed(now dfclock.Millis, address string) {
	if known := c.neighbours[address]; known != nil {
		known.failedAt = now
	}
}

// Digest tells apart circles of different hosts.
func (c *Circle) Digest() uint64 {
	var digest uint64
	for address := range c.neighbours {
		digest += xxhash.Sum64String(address)
	}
	return digest + xxhash.Sum64String(c.self.Address)
}

// Hosts returns the hosts that were heard at some time.
func (c *Circle) Hosts() []dfmember.Host {
	var hosts []dfmember.Host
	for _, known := range c.neighbours {
		if known.heardAt >= 0 {
			hosts = append(hosts, known.host)
		}
	}
	return hosts
}

// Met notes that a host asked this one.
func (c *Circle) Met(now dfclock.Millis, host dfmember.Host) {
	c.Learn(now, host)
	if known := c.neighbours[host.Address]; known != nil {
		known.host, known.heardAt = host, now
	}
}

// Addresses returns where to ask, and drops hosts that were silent for long.
func (c *Circle) Addresses(now dfclock.Millis) []string {
	var addresses []string
	for address, known := range c.neighbours {
		if now-max(known.heardAt, known.knownAt) >= forgetSpan {
			delete(c.neighbours, address)
			continue
		}
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses
}

// Live returns the hosts that were heard lately and this host itself.
func (c *Circle) Live(now dfclock.Millis) []dfmember.Host {
	live := []dfmember.Host{c.self}
	for _, known := range c.neighbours {
		if known.alive(now) {
			live = append(live, known.host)
		}
	}
	return live
}

func (n *neighbour) alive(now dfclock.Millis) bool {
	return n.heardAt > n.failedAt && now-n.heardAt < AliveSpan
}

// Votes counts live neighbours that suspect a leader and those that heard from
// it after an instant.
func (c *Circle) Votes(now dfclock.Millis, service string, leader dffleet.ID, after dfclock.Millis) (alive, dead int) {
	for _, known := range c.neighbours {
		lead, ok := known.leads[service]
		if !ok || !known.alive(now) || lead.Leader != leader {
			continue
		}
		switch {
		case lead.Suspected:
			dead++
		case lead.heardAt >= after:
			alive++
		}
	}
	return alive, dead
}

// Connections counts what live neighbours hold at an upstream.
func (c *Circle) Connections(now dfclock.Millis, service string, id dffleet.ID) int {
	total := 0
	for _, known := range c.neighbours {
		if known.alive(now) {
			total += known.leads[service].Connections[id]
		}
	}
	return total
}

// Isolated reports whether hosts of other data centres are known and none of
// them is heard.
func (c *Circle) Isolated(now dfclock.Millis) bool {
	remote := false
	for _, known := range c.neighbours {
		if known.host.DataCentre == c.self.DataCentre || known.heardAt < 0 {
			continue
		}
		if known.alive(now) {
			return false
		}
		remote = true
	}
	return remote
}

// BackAt returns the earliest instant at which a neighbour that changes the
// leader expects the next one, or zero.
func (c *Circle) BackAt(now dfclock.Millis, service string) dfclock.Millis {
	var back dfclock.Millis
	for _, known := range c.neighbours {
		lead := known.leads[service]
		if !known.alive(now) || lead.BackIn <= 0 {
			continue
		}
		if at := known.heardAt.Add(lead.BackIn); back == 0 || at < back {
			back = at
		}
	}
	return back
}
