package dfcapacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"

	"google.golang.org/protobuf/proto"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfspread"
)

const (
	// spreadCentres makes 400 fake hosts fill their data centres about as full
	// as 2,000 hosts fill 18.
	spreadCentres = 4
	// spreadStep is the virtual time between two rounds; a message takes one.
	spreadStep = 5 * dfclock.Millisecond
	spreadTick = 100 * dfclock.Millisecond
	// spreadChange is the span between two changes. It lies between two and
	// three periods of a poll, so that changes meet the polls at all phases.
	spreadChange = 1730 * dfclock.Millisecond
	// spreadServices is the size of the configuration that is spread.
	spreadServices = 20
	// spreadSettle lets the hosts leave the short spans of their start.
	spreadSettle = 8 * dfclock.Second
)

// letter is a message on its way.
type letter struct {
	from, to int
	// answers is set on the answer to an earlier letter.
	answers dfspread.Action
	kind    letterKind
	data    []byte
}

type letterKind int

const (
	letterAnnounce letterKind = iota
	letterAnnounced
	letterAsk
	letterAsked
	letterHead
)

// spreadHost is one fake host. Its goroutine alone touches it during a round.
type spreadHost struct {
	number   int
	id       string
	numbers  map[string]int
	spreader *dfspread.Disseminator
	adoption *dfconfig.Adoption
	// head is the platform's state; it changes only between rounds.
	head *published
	// inbox has the letters of the round, outbox what they led to.
	inbox  []letter
	outbox []letter
	rounds chan dfclock.Millis
	// adoptedAt is when the version in force was adopted.
	adoptedAt dfclock.Millis
	err       error
}

// spreadNet runs the rounds.
type spreadNet struct {
	hosts   []*spreadHost
	source  published
	now     dfclock.Millis
	flying  [][]letter
	running sync.WaitGroup
	done    sync.WaitGroup
	// letters and bytes count what hosts sent to each other, without framing.
	letters int
	bytes   int
}

func newSpreadNet(hosts int, seed uint64) (*spreadNet, error) {
	source, err := newPublished(spreadServices)
	if err != nil {
		return nil, err
	}
	n := &spreadNet{source: source, now: 1000, flying: make([][]letter, hosts)}
	numbers := make(map[string]int, hosts)
	for i := range hosts {
		numbers[hostID(i)] = i
	}
	for i := range hosts {
		host := &spreadHost{
			number: i, id: hostID(i), numbers: numbers, adoption: dfconfig.NewAdoption(),
			spreader: dfspread.NewDisseminator(hostID(i), rand.New(rand.NewPCG(seed, uint64(i)))), //nolint:gosec // repeatable, not secret
			rounds:   make(chan dfclock.Millis),
			head:     &n.source,
		}
		host.step(n.now, dfspread.LiveHosts{Hosts: fakeHosts(hosts, spreadCentres)})
		n.hosts = append(n.hosts, host)
		n.done.Go(func() {
			for now := range host.rounds {
				host.round(now)
				n.running.Done()
			}
		})
	}
	return n, nil
}

func hostID(number int) string { return fmt.Sprintf("host-%04d", number) }

// fakeHosts returns a list of its own for each host, as each host has one.
func fakeHosts(count, centres int) []dfmember.Host {
	hosts := make([]dfmember.Host, count)
	for i := range hosts {
		hosts[i] = dfmember.Host{
			ID: hostID(i), DataCentre: fmt.Sprintf("centre-%02d", i%centres),
			Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
		}
	}
	return hosts
}

func (n *spreadNet) stop() {
	for _, host := range n.hosts {
		close(host.rounds)
	}
	n.done.Wait()
}

// run lets virtual time pass. A host's goroutine wakes only for its letters and
// its tick.
func (n *spreadNet) run(span dfclock.Millis) error {
	for end := n.now.Add(span); n.now < end; n.now = n.now.Add(spreadStep) {
		for i, host := range n.hosts {
			host.inbox, n.flying[i] = n.flying[i], nil
			if len(host.inbox) == 0 && !host.ticks(n.now) {
				continue
			}
			n.running.Add(1)
			host.rounds <- n.now
		}
		n.running.Wait()
		for _, host := range n.hosts {
			if host.err != nil {
				return host.err
			}
			for _, sent := range host.outbox {
				n.flying[sent.to] = append(n.flying[sent.to], sent)
				if sent.kind != letterHead {
					n.letters++
					n.bytes += len(sent.data)
				}
			}
			host.outbox = host.outbox[:0]
		}
	}
	return nil
}

// ticks spreads the ticks of the hosts over time.
func (h *spreadHost) ticks(now dfclock.Millis) bool {
	return (now+dfclock.Millis(h.number)*spreadStep)%spreadTick == 0
}

func (h *spreadHost) round(now dfclock.Millis) {
	for _, received := range h.inbox {
		h.receive(now, received)
	}
	if h.ticks(now) {
		h.step(now, dfspread.Tick{})
	}
}

func (h *spreadHost) step(now dfclock.Millis, event dfspread.Event) {
	for _, action := range h.spreader.Step(now, event) {
		switch action := action.(type) {
		case dfspread.PollHead:
			h.outbox = append(h.outbox, letter{to: h.number, kind: letterHead})
		case dfspread.Announce:
			message := &dfproto.AnnounceRequest{Host: h.id, Version: action.Version, Hops: action.Hops}
			h.send(h.numbers[action.To.ID], letterAnnounce, action, message)
		case dfspread.Pull:
			message := &dfproto.ConfigurationRequest{Host: h.id, Version: action.Version}
			h.send(h.numbers[action.To.ID], letterAsk, action, message)
		}
	}
}

func (h *spreadHost) send(to int, kind letterKind, about dfspread.Action, message proto.Message) {
	data, err := proto.Marshal(message)
	if err != nil {
		h.err = err
	}
	h.outbox = append(h.outbox, letter{from: h.number, to: to, answers: about, kind: kind, data: data})
}

func (h *spreadHost) receive(now dfclock.Millis, received letter) {
	version := h.adoption.Applied().Version()
	switch received.kind {
	case letterHead:
		if h.head.head.Version() > version {
			h.adopt(now, h.head.adoption.Difference(version))
		}
		h.step(now, dfspread.HeadRead{Version: h.adoption.Applied().Version()})
	case letterAnnounce:
		var message dfproto.AnnounceRequest
		h.decode(received, &message)
		h.send(received.from, letterAnnounced, received.answers, &dfproto.AnnounceReply{Version: version})
		h.step(now, dfspread.AnnouncementReceived{From: message.Host, Version: message.Version, Hops: message.Hops})
	case letterAnnounced:
		var message dfproto.AnnounceReply
		h.decode(received, &message)
		h.step(now, dfspread.AnnouncementAnswered{To: hostID(received.from), Version: message.Version, OK: true})
	case letterAsk:
		var message dfproto.ConfigurationRequest
		h.decode(received, &message)
		h.answer(received, message.Version)
	case letterAsked:
		h.asked(now, received)
	}
}

func (h *spreadHost) decode(received letter, message proto.Message) {
	if err := proto.Unmarshal(received.data, message); err != nil {
		h.err = err
	}
}

func (h *spreadHost) answer(received letter, from uint64) {
	reply := &dfproto.ConfigurationReply{Version: h.adoption.Applied().Version()}
	if from < reply.Version {
		payload, err := h.adoption.Difference(from).Encode()
		if err != nil {
			h.err = err
		}
		reply.Payload = payload
	}
	h.send(received.from, letterAsked, received.answers, reply)
}

func (h *spreadHost) asked(now dfclock.Millis, received letter) {
	var message dfproto.ConfigurationReply
	h.decode(received, &message)
	if len(message.Payload) > 0 {
		difference, err := dfconfig.DecodeDifference(message.Payload)
		if err != nil {
			h.err = err
			return
		}
		h.adopt(now, difference)
	}
	asked, ok := received.answers.(dfspread.Pull)
	h.step(now, dfspread.PullAnswered{Announced: ok && asked.Announced, Version: message.Version, OK: true})
}

func (h *spreadHost) adopt(now dfclock.Millis, difference dfconfig.Difference) {
	if difference.To <= h.adoption.Applied().Version() {
		return
	}
	h.adoption.OfferDifference(difference)
	if h.adoption.Applied().Version() == difference.To {
		h.adoptedAt = now
		h.step(now, dfspread.Adopted{Version: difference.To})
	}
}

// spreading measures the spreading of versions with nothing to spread and with
// changes.
func (m *measurement) spreading(context.Context) error {
	for _, size := range m.sizes.Hosts {
		if err := m.spread(size); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) spread(size int) error {
	before := memory()
	n, err := newSpreadNet(size, m.seed)
	if err != nil {
		return err
	}
	defer n.stop()
	if err := n.run(spreadSettle); err != nil {
		return err
	}
	m.add("spread.memory", size, (memory()-before)/float64(size))
	span := dfclock.Millis(m.sizes.Spread)
	n.letters, n.bytes = 0, 0
	started := processorTime()
	if err := n.run(span); err != nil {
		return err
	}
	hostSeconds := float64(size) * float64(span) / float64(dfclock.Second)
	m.add("spread.time", size, (processorTime()-started)/hostSeconds)
	idleLetters, idleBytes := float64(n.letters), float64(n.bytes)
	perSecond := float64(span) / float64(dfclock.Second)
	m.add("spread.calls", size, idleLetters/2/perSecond)
	m.add("spread.bytes", size, idleBytes/perSecond)
	return m.spreadChanges(n, size, idleLetters/float64(span), idleBytes/float64(span))
}

// spreadChanges publishes changes and counts what they cost beyond the idle
// hosts' calls, which are given for one millisecond.
func (m *measurement) spreadChanges(n *spreadNet, size int, idleLetters, idleBytes float64) error {
	n.letters, n.bytes = 0, 0
	var longest dfclock.Millis
	changes := max(2, m.sizes.Spread/int(spreadChange))
	for i := range changes {
		if _, err := n.source.change(i % spreadServices); err != nil {
			return err
		}
		publishedAt := n.now
		if err := n.run(spreadChange); err != nil {
			return err
		}
		for _, host := range n.hosts {
			if host.adoption.Applied().Version() != n.source.head.Version() {
				return errBehind(host.adoption.Applied().Version(), n.source.head.Version())
			}
			longest = max(longest, host.adoptedAt.Since(publishedAt))
		}
	}
	span := float64(changes) * float64(spreadChange)
	m.add("spread.changeCalls", size, (float64(n.letters)-idleLetters*span)/2/float64(changes))
	m.add("spread.changeBytes", size, (float64(n.bytes)-idleBytes*span)/float64(changes))
	m.add("spread.reach", size, float64(longest)/float64(dfclock.Second))
	runtime.KeepAlive(n)
	return nil
}
