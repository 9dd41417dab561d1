// Package dfhost joins the parts of a host: callers' sessions, the slots that
// the host holds, forwarding to other slot holders, configuration and drain.
package dfhost

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"hash/fnv"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfcheck"
	"dragonflygrade/dfclassify"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfpeer"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfsession"
	"dragonflygrade/dftoken"
	"dragonflygrade/dfwire"
)

// Host is one running host.
type Host struct {
	settings    Settings
	incarnation string
	log         *log.Logger
	origin      time.Time
	keys        dftoken.KeyRing
	classifier  *dfclassify.Classifier
	counters    *counters
	requests    atomic.Uint64

	adoption  *adoption
	members   *membership
	versions  versions
	slots     *slots
	peers     *peers
	directory *dfpeer.Directory
	notifier  *dfpeer.Notifier
	audit     *dfaudit.Writer

	wire       *dfwire.Server
	peerServer *dfpeer.Server
	admin      *http.Server

	randomMu sync.Mutex
	random   *mathrand.Rand

	draining atomic.Bool
	// ctx ends with the host's duties.
	ctx    context.Context
	stop   context.CancelFunc
	killed sync.Once
	duties sync.WaitGroup
}

// New returns a host that does not listen yet.
func New(settings Settings) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	watchInvariants()
	settings = settings.withDefaults()
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	keys, err := newKeyRing(settings)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings:    settings,
		incarnation: incarnation,
		log:         newLogger(settings),
		origin:      time.Now(),
		keys:        keys,
		classifier:  dfclassify.New(0),
		counters:    newCounters(settings.ID),
		random:      mathrand.New(mathrand.NewPCG(hostSeed(settings.ID), 1)),
	}
	h.directory = dfpeer.NewDirectory(settings.DialPeer, peerCredentials(settings))
	h.notifier = dfpeer.NewNotifier(h.directory, settings.ID, incarnation)
	h.audit = dfaudit.NewWriter(dfaudit.NewTrail(settings.ID, incarnation), boundedStore{settings.Platform}, unixMillis, dfplatform.Pause)
	h.adoption = newAdoption(h)
	h.members = newMembership(h)
	h.slots = newSlots(h)
	h.peers = newPeers(h)
	h.wire, err = dfwire.NewServer(dfwire.Config{
		TLS:         settings.CallerTLS,
		RequireTLS:  settings.RequireTLS,
		Credentials: &credentialStore{host: h},
		Handler:     &opener{host: h},
		Canceller:   &canceller{host: h},
		Host:        hostNumber(settings.ID),
		MaxCallers:  settings.MaxCallers,
	})
	if err != nil {
		return nil, err
	}
	h.peerServer = dfpeer.NewServer(&handler{host: h}, h.now, peerServerCredentials(settings))
	return h, nil
}

// invariantFailures counts broken invariants of all parts.
var invariantFailures = metrics.NewCounter("dragonflygrade_invariant_failures_all_total")

// watchInvariants reports broken invariants, unless a test handles them.
func watchInvariants() {
	report := func(part, invariant string) {
		invariantFailures.Inc()
		log.Error().Str("Part", part).Str("Invariant", invariant).Msg("host: broken invariant, the operation is refused")
	}
	if previous := dfcheck.SetHandler(report); previous != nil {
		dfcheck.SetHandler(previous)
	}
}

// newIncarnation tells one process from an earlier one of the same host.
func newIncarnation() (string, error) {
	var data [8]byte
	if _, err := rand.Read(data[:]); err != nil {
		return "", eris.Wrap(err, "host: random number")
	}
	return hex.EncodeToString(data[:]), nil
}

// Key identities in tokens. A key keeps its identity when it becomes the
// previous one, so the identity is derived from the key.
func newKeyRing(settings Settings) (dftoken.KeyRing, error) {
	ring, err := dftoken.NewKeyRing(tokenKey(settings.TokenKey))
	if err != nil || settings.PreviousTokenKey == "" {
		return ring, err
	}
	return ring.WithAccepted(tokenKey(settings.PreviousTokenKey))
}

func tokenKey(secret string) dftoken.Key {
	return dftoken.Key{ID: byte(hash64(secret)), Secret: []byte(secret)}
}

func hash64(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

func hostSeed(id string) uint64 {
	return hash64(id)
}

// hostNumber is the number in cancel keys. Two hosts may share one; a cancel is
// then offered to both, and its secret decides.
func hostNumber(id string) uint16 {
	const numbers = 1 << 12
	return uint16(hash64(id) % numbers)
}

func newLogger(settings Settings) *log.Logger {
	logger := log.DefaultLogger
	logger.Context = log.NewContext(nil).Str("Host", settings.ID).Value()
	return &logger
}

func peerCredentials(settings Settings) credentials.TransportCredentials {
	if settings.PeerClientTLS == nil {
		return nil
	}
	return credentials.NewTLS(settings.PeerClientTLS)
}

func peerServerCredentials(settings Settings) credentials.TransportCredentials {
	if settings.PeerServerTLS == nil {
		return nil
	}
	return credentials.NewTLS(settings.PeerServerTLS)
}

// Start listens and runs the host's duties. It returns once callers can connect.
func (h *Host) Start(ctx context.Context) error {
	listeners, err := h.listen(ctx)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.ctx, h.stop = runCtx, cancel
	h.slots.keeper.begin()
	h.duties.Go(func() { _ = h.peerServer.Serve(listeners.peer) })
	h.duties.Go(func() { _ = h.wire.Serve(&startingListener{Listener: listeners.caller, host: h}) })
	h.admin = &http.Server{Handler: h.adminHandler(), ReadHeaderTimeout: adminTimeout}
	if h.settings.AdminTLS != nil {
		listeners.admin = tls.NewListener(listeners.admin, h.settings.AdminTLS)
	}
	h.duties.Go(func() { _ = h.admin.Serve(listeners.admin) })
	h.duties.Go(func() { _ = h.audit.Run(runCtx) })
	h.duties.Go(func() { h.adoption.run(runCtx) })
	h.duties.Go(func() { h.members.run(runCtx) })
	h.duties.Go(func() { h.slots.keeper.run(runCtx) })
	h.duties.Go(func() { h.slots.runRows(runCtx) })
	h.duties.Go(func() { h.peers.run(runCtx) })
	h.duties.Go(func() { h.peers.watch(runCtx) })
	h.record(dfaudit.Entry{Who: h.settings.ID, Kind: dfaudit.KindHost, To: h.incarnation, Outcome: "started"})
	h.log.Info().Str("Callers", h.CallerAddress()).Str("Peers", h.PeerAddress()).Msg("host: started")
	return nil
}

// listeners has the sockets of a host.
type listeners struct {
	caller, peer, admin net.Listener
}

func (h *Host) listen(ctx context.Context) (listeners, error) {
	var config net.ListenConfig
	var all listeners
	for _, socket := range []struct {
		name     string
		address  *string
		listener *net.Listener
	}{
		{"callers", &h.settings.CallerAddress, &all.caller},
		{"peers", &h.settings.PeerAddress, &all.peer},
		{"operators", &h.settings.AdminAddress, &all.admin},
	} {
		listener, err := config.Listen(ctx, "tcp", *socket.address)
		if err != nil {
			return listeners{}, eris.Wrapf(err, "host: listen for %s at %s", socket.name, *socket.address)
		}
		*socket.listener = listener
		*socket.address = listener.Addr().String()
	}
	return all, nil
}

// CallerAddress is where callers connect.
func (h *Host) CallerAddress() string {
	return h.settings.CallerAddress
}

// PeerAddress is where other hosts connect.
func (h *Host) PeerAddress() string {
	if h.settings.AdvertisedPeerAddress != "" {
		return h.settings.AdvertisedPeerAddress
	}
	return h.settings.PeerAddress
}

// AdminAddress is where operators read state and metrics.
func (h *Host) AdminAddress() string {
	return h.settings.AdminAddress
}

// Shutdown stops the host gracefully: no new callers, running transactions
// finish within the drain timeout, then slots and lease are released. It returns
// the number of requests that were cut.
func (h *Host) Shutdown(ctx context.Context) int {
	h.draining.Store(true)
	quietAt := h.now().Add(dfsession.LeaseTTL + dfsession.ClockMargin)
	h.record(dfaudit.Entry{Who: h.settings.ID, Kind: dfaudit.KindHost, From: h.incarnation, Outcome: "draining"})
	h.slots.plan()
	h.log.Info().Msg("host: draining")
	drainCtx, cancel := context.WithTimeout(ctx, h.settings.DrainTimeout)
	defer cancel()
	cut := h.wire.Shutdown(drainCtx)
	h.peers.drain(drainCtx)
	h.slots.release(ctx)
	// Peers wait for this host's answers until the leases that it holds end.
	sleep(drainCtx, max(quietAt.Since(h.now()), 0))
	h.drainPeers(ctx)
	h.record(dfaudit.Entry{Who: h.settings.ID, Kind: dfaudit.KindHost, From: h.incarnation, Outcome: "stopped"})
	h.Kill()
	closeCtx, cancelClose := context.WithTimeout(ctx, auditCloseTimeout)
	defer cancelClose()
	if closeErr := h.audit.Close(closeCtx, "graceful shutdown"); closeErr != nil {
		h.log.Warn().Err(closeErr).Msg("audit: last records not stored")
	}
	h.log.Info().Int("Cut", cut).Msg("host: stopped")
	return cut
}

// drainPeers ends the streams of other hosts.
func (h *Host) drainPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerDrainTimeout)
	defer cancel()
	h.peerServer.Drain(ctx)
}

// peerDrainTimeout bounds the wait for streams that have no open unit.
const peerDrainTimeout = time.Second

// auditCloseTimeout bounds the last write of the audit trail.
const auditCloseTimeout = 2 * time.Second

// Kill ends the host at once, as a crash would: callers are cut and nothing is
// released.
func (h *Host) Kill() {
	h.killed.Do(h.kill)
}

func (h *Host) kill() {
	h.stop()
	h.peerServer.Stop()
	_ = h.admin.Close()
	cutCtx, cancel := context.WithCancel(context.Background())
	cancel()
	h.wire.Shutdown(cutCtx)
	h.notifier.Close()
	h.slots.closeAll()
	h.directory.Close()
	h.duties.Wait()
}

// configuration returns the snapshot in force.
func (h *Host) configuration() dfconfig.Snapshot {
	return h.adoption.inForce()
}

// now is the host's clock: it never goes back and starts above zero.
func (h *Host) now() dfclock.Millis {
	return dfclock.Millis(time.Since(h.origin).Milliseconds()) + dfclock.Second
}

// unixMillis is the wall clock, used for records that people read.
func unixMillis() dfclock.Millis {
	return dfclock.Millis(time.Now().UnixMilli())
}

func (h *Host) nextRequest() uint64 {
	return h.requests.Add(1)
}

// choose returns a random number below the count.
func (h *Host) choose(count int) int {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return h.random.IntN(count)
}

// jitter spreads a pause over half to one and a half of its length.
func (h *Host) jitter(span dfclock.Millis) dfclock.Millis {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return span/2 + dfclock.Millis(h.random.Int64N(int64(span)+1))
}

// FlushAudit stores the audit records that wait for others to fill a segment.
func (h *Host) FlushAudit(ctx context.Context) error {
	return h.audit.Flush(ctx)
}

func (h *Host) record(entry dfaudit.Entry) {
	if err := h.audit.Add(entry); err != nil {
		h.log.Warn().Err(err).Msg("audit: record refused")
	}
}
