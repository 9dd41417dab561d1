package dfhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfspread"
)

// Bounds of the adoption of configuration.
const (
	// adoptionTick is how often the spreader is told that time has passed.
	adoptionTick = 100 * time.Millisecond
	// adoptionRing bounds the events that wait for the spreader.
	adoptionRing = 256
	// fetchTimeout bounds one read of the platform.
	fetchTimeout = 2 * time.Second
	// spreadTimeout bounds one call to a peer.
	spreadTimeout = time.Second
	// startHint is when a caller of a host without a version may come back.
	startHint = 500 * dfclock.Millisecond
	// callBytes is about what a call costs beside its payload.
	callBytes = 100
)

// adoption puts configuration versions in force. One goroutine runs the
// decisions of dfspread; calls run beside it and report back.
type adoption struct {
	host     *Host
	inbox    chan dfspread.Event
	done     chan struct{}
	spreader *dfspread.Disseminator

	mu    sync.Mutex
	state *dfconfig.Adoption
	// unconfirmed is the head that this host is about to bring forward.
	unconfirmed unconfirmedHead
	current     atomic.Pointer[dfconfig.Snapshot]
}

func newAdoption(h *Host) *adoption {
	source := rand.New(rand.NewPCG(hostSeed(h.settings.ID), hash64(h.incarnation)))
	a := &adoption{
		host:     h,
		inbox:    make(chan dfspread.Event, adoptionRing),
		done:     make(chan struct{}),
		spreader: dfspread.NewDisseminator(h.settings.ID, source),
		state:    dfconfig.NewAdoption(),
	}
	a.current.Store(&dfconfig.Snapshot{})
	return a
}

func (a *adoption) inForce() dfconfig.Snapshot {
	return *a.current.Load()
}

func (a *adoption) run(ctx context.Context) {
	defer close(a.done)
	a.step(ctx, dfspread.LiveHosts{Hosts: a.host.members.contacts()})
	ticker := time.NewTicker(adoptionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-a.inbox:
			a.step(ctx, event)
		case <-ticker.C:
			a.step(ctx, dfspread.Tick{})
		}
	}
}

// post hands an event over; it waits for room.
func (a *adoption) post(event dfspread.Event) {
	select {
	case a.inbox <- event:
	case <-a.done:
	}
}

// hostsChanged passes the list of hosts on.
func (a *adoption) hostsChanged() {
	a.post(dfspread.LiveHosts{Hosts: a.host.members.contacts()})
}

func (a *adoption) step(ctx context.Context, event dfspread.Event) {
	for _, action := range a.spreader.Step(a.host.now(), event) {
		switch action := action.(type) {
		case dfspread.PollHead:
			go a.poll(ctx)
		case dfspread.Announce:
			go a.announce(ctx, action)
		case dfspread.Pull:
			go a.ask(ctx, action)
		}
	}
}

// poll reads the head and fetches what is missing for a newer version.
func (a *adoption) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	version, err := a.readHead(ctx)
	if err != nil {
		a.host.log.Debug().Err(err).Msg("configuration: platform not read")
		a.post(dfspread.HeadReadFailed{})
		return
	}
	a.post(dfspread.HeadRead{Version: version})
}

func (a *adoption) readHead(ctx context.Context) (uint64, error) {
	platform := a.host.settings.Platform
	row, err := platform.Get(ctx, dfconfig.HeadKey)
	if errors.Is(err, dfplatform.ErrNotFound) {
		return 0, a.confirmHead(ctx, dfplatform.Row{}, dfconfig.Head{})
	}
	if err != nil {
		return 0, err
	}
	head, err := dfconfig.DecodeHead(row.Value)
	if err != nil {
		return 0, err
	}
	if head.Version > a.inForce().Version() {
		return head.Version, a.fetchIndex(ctx, head)
	}
	return head.Version, a.confirmHead(ctx, row, head)
}

func (a *adoption) fetchIndex(ctx context.Context, head dfconfig.Head) error {
	index, err := readIndex(ctx, a.host.settings.Platform, a.inForce().Index(), head)
	if err != nil {
		return err
	}
	a.offer(func(state *dfconfig.Adoption) []dfconfig.Action { return state.OfferIndex(index) })
	return a.fetchMissing(ctx)
}

// fetchMissing reads the documents that the pending version lacks.
func (a *adoption) fetchMissing(ctx context.Context) error {
	a.mu.Lock()
	missing := a.state.Missing()
	a.mu.Unlock()
	for _, address := range missing {
		document, err := a.host.settings.Platform.Fetch(ctx, dfconfig.ServiceObject(address))
		if err != nil {
			return err
		}
		a.offer(func(state *dfconfig.Adoption) []dfconfig.Action { return state.Deliver(document) })
	}
	return nil
}

// announce tells a peer of the version in force.
func (a *adoption) announce(ctx context.Context, action dfspread.Announce) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	answer := dfspread.AnnouncementAnswered{To: action.To.ID}
	request := &dfproto.AnnounceRequest{Host: a.host.settings.ID, Version: action.Version, Hops: action.Hops}
	if peer, err := a.host.directory.Peer(action.To.Address); err == nil {
		reply, err := peer.Client().Announce(ctx, request)
		answer.OK, answer.Version = err == nil, reply.GetVersion()
		a.host.members.contacted(action.To.ID, err == nil)
	}
	a.post(dfspread.Traffic{Sent: callBytes, Received: callBytes})
	a.post(answer)
}

// ask asks a peer for what this host lacks.
func (a *adoption) ask(ctx context.Context, action dfspread.Pull) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	reply, err := a.askPeer(ctx, action.To)
	a.host.members.contacted(action.To.ID, err == nil)
	if err != nil {
		a.post(dfspread.PullAnswered{Announced: action.Announced})
		return
	}
	a.post(dfspread.Traffic{Sent: callBytes, Received: callBytes + len(reply.Payload)})
	if len(reply.Payload) > 0 {
		a.takePayload(ctx, reply.Payload)
	}
	a.post(dfspread.PullAnswered{Announced: action.Announced, Version: reply.Version, OK: true})
}

func (a *adoption) askPeer(ctx context.Context, to dfmember.Host) (*dfproto.ConfigurationReply, error) {
	peer, err := a.host.directory.Peer(to.Address)
	if err != nil {
		return nil, err
	}
	request := &dfproto.ConfigurationRequest{Host: a.host.settings.ID, Version: a.inForce().Version()}
	return peer.Client().Configuration(ctx, request)
}

// takePayload offers a peer's difference. What it leaves out comes from the
// object store, or from the next peer.
func (a *adoption) takePayload(ctx context.Context, payload []byte) {
	difference, err := dfconfig.DecodeDifference(payload)
	if err != nil {
		a.host.log.Warn().Err(err).Msg("configuration: difference refused")
		return
	}
	a.offer(func(state *dfconfig.Adoption) []dfconfig.Action { return state.OfferDifference(difference) })
	if err := a.fetchMissing(ctx); err != nil {
		a.host.log.Debug().Err(err).Msg("configuration: documents not read")
	}
}

// offer runs one step of the decision and carries out its actions.
func (a *adoption) offer(step func(*dfconfig.Adoption) []dfconfig.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range step(a.state) {
		switch action := action.(type) {
		case dfconfig.Adopt:
			a.adopt(action.Snapshot)
		case dfconfig.Reject:
			a.host.log.Debug().Err(action.Err).Uint64("Version", action.Version).Msg("configuration: version refused")
		}
	}
}

func (a *adoption) adopt(snapshot dfconfig.Snapshot) {
	previous := a.inForce()
	a.current.Store(&snapshot)
	a.host.counters.version.Store(snapshot.Version())
	a.host.log.Info().Uint64("Version", snapshot.Version()).Msg("configuration: version in force")
	a.host.record(dfaudit.Entry{
		Who:     snapshot.Index().Author,
		Kind:    dfaudit.KindAdoption,
		From:    strconv.FormatUint(previous.Version(), 10),
		To:      strconv.FormatUint(snapshot.Version(), 10),
		Outcome: "in force",
	})
	a.post(dfspread.Adopted{Version: snapshot.Version()})
	a.host.slots.configured(previous, snapshot)
}

// answer returns what a peer at an older version lacks.
func (a *adoption) answer(request *dfproto.ConfigurationRequest) *dfproto.ConfigurationReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	version := a.state.Applied().Version()
	reply := &dfproto.ConfigurationReply{Version: version}
	if request.Version >= version {
		return reply
	}
	payload, err := a.state.Difference(request.Version).Encode()
	if err != nil {
		a.host.log.Warn().Err(err).Msg("configuration: difference not encoded")
		return reply
	}
	reply.Payload = payload
	return reply
}

// announced takes note of a peer's newer version.
func (a *adoption) announced(request *dfproto.AnnounceRequest) *dfproto.AnnounceReply {
	a.post(dfspread.AnnouncementReceived{From: request.Host, Version: request.Version, Hops: request.Hops})
	return &dfproto.AnnounceReply{Version: a.inForce().Version()}
}
