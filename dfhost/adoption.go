package dfhost

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
)

// Bounds of the adoption of configuration.
const (
	// headPeriod separates reads of the head by the hosts chosen for it.
	headPeriod = 500 * dfclock.Millisecond
	// fetchTimeout bounds one read of the platform.
	fetchTimeout = 2 * time.Second
)

// adoption puts configuration versions in force.
type adoption struct {
	host *Host

	mu      sync.Mutex
	state   *dfconfig.Adoption
	current atomic.Pointer[dfconfig.Snapshot]
}

func newAdoption(h *Host) *adoption {
	a := &adoption{host: h, state: dfconfig.NewAdoption()}
	a.current.Store(&dfconfig.Snapshot{})
	return a
}

func (a *adoption) inForce() dfconfig.Snapshot {
	return *a.current.Load()
}

func (a *adoption) run(ctx context.Context) {
	for {
		a.poll(ctx)
		if !sleep(ctx, a.host.jitter(headPeriod)) {
			return
		}
	}
}

// poll reads the head and fetches what is missing for a newer version.
func (a *adoption) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	platform := a.host.settings.Platform
	row, err := platform.Get(ctx, dfconfig.HeadKey)
	if err != nil {
		a.failed("head", err)
		return
	}
	head, err := dfconfig.DecodeHead(row.Value)
	if err != nil || head.Version <= a.inForce().Version() {
		return
	}
	data, err := platform.Fetch(ctx, head.Index)
	if err != nil {
		a.failed("index", err)
		return
	}
	index, err := dfconfig.DecodeIndex(data)
	if err != nil {
		a.failed("index", err)
		return
	}
	a.offer(func(state *dfconfig.Adoption) []dfconfig.Action { return state.OfferIndex(index) })
	a.fetchMissing(ctx, platform)
}

func (a *adoption) fetchMissing(ctx context.Context, store dfplatform.ObjectStore) {
	a.mu.Lock()
	missing := a.state.Missing()
	a.mu.Unlock()
	for _, address := range missing {
		document, err := store.Fetch(ctx, dfconfig.ServiceObject(address))
		if err != nil {
			a.failed("service document", err)
			return
		}
		a.offer(func(state *dfconfig.Adoption) []dfconfig.Action { return state.Deliver(document) })
	}
}

func (a *adoption) failed(what string, err error) {
	if errors.Is(err, dfplatform.ErrNotFound) {
		return
	}
	a.host.log.Debug().Err(err).Str("What", what).Msg("configuration: platform not read")
}

// offer runs one step of the decision and carries out its actions.
func (a *adoption) offer(step func(*dfconfig.Adoption) []dfconfig.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range step(a.state) {
		if adopt, ok := action.(dfconfig.Adopt); ok {
			a.adopt(adopt.Snapshot)
		}
	}
}

func (a *adoption) adopt(snapshot dfconfig.Snapshot) {
	previous := a.inForce().Version()
	a.current.Store(&snapshot)
	a.host.counters.version.Store(snapshot.Version())
	a.host.log.Info().Uint64("Version", snapshot.Version()).Msg("configuration: version in force")
	a.host.record(dfaudit.Entry{
		Who:     snapshot.Index().Author,
		Kind:    dfaudit.KindAdoption,
		From:    strconv.FormatUint(previous, 10),
		To:      strconv.FormatUint(snapshot.Version(), 10),
		Outcome: "in force",
	})
}

// answer returns what a peer at an older version lacks.
func (a *adoption) answer(request *dfproto.ConfigurationRequest) *dfproto.ConfigurationReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	version := a.state.InForce().Version()
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
func (a *adoption) announced(*dfproto.AnnounceRequest) *dfproto.AnnounceReply {
	return &dfproto.AnnounceReply{Version: a.inForce().Version()}
}
