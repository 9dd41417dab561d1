package dfstandin

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandingroup"
	"dragonflygrade/dfstandinstore"
	"dragonflygrade/dfstandinwire"
)

// Counters count connections since the start.
type Counters struct {
	// LimitExceeded counts ordinary connections refused for the limit.
	LimitExceeded int64
	// MaxConnections is the highest number of ordinary connections at once.
	MaxConnections int64
	// Connects counts ordinary connections that were accepted.
	Connects int64
	// ControlConnects counts control connections that were accepted.
	ControlConnects int64
}

// Upstream is one running stand-in.
type Upstream struct {
	options Options
	group   *dfstandingroup.Group
	wire    *dfstandinwire.Server
	faults  faults

	mu       sync.Mutex
	address  string
	listener net.Listener
	peers    map[dfgroup.UpstreamID]Peer
	// sockets has all open network connections, also those before startup.
	sockets     map[*socket]bool
	connections map[uint32]*dfstandinwire.Conn
	ordinary    int64
	counters    Counters
	// stopped is set by Stop; nothing runs again after it.
	stopped bool
	// stop ends the goroutines of the present run.
	stop context.CancelFunc
	done sync.WaitGroup
}

// Start opens the listener and returns a running upstream.
func Start(options Options) (*Upstream, error) {
	options = options.withDefaults()
	u := &Upstream{options: options, group: newGroup(options), address: options.Listen,
		sockets: map[*socket]bool{}, connections: map[uint32]*dfstandinwire.Conn{}}
	u.wire = &dfstandinwire.Server{Host: u, Database: u.group.Database(), Passwords: options.Passwords,
		ConnectTime: options.ConnectTime, StatementTime: options.StatementTime}
	u.faults.cut = map[dfgroup.UpstreamID]bool{}
	u.faults.opened = make(chan struct{})
	u.SetPeers(options.Peers)
	if err := u.run(); err != nil {
		return nil, err
	}
	return u, nil
}

func newGroup(options Options) *dfstandingroup.Group {
	return dfstandingroup.New(dfstandingroup.Options{ID: options.ID, DataCentre: options.DataCentre, Following: options.Following,
		FlushDelay: options.FlushDelay, ApplyDelay: options.ApplyDelay})
}

// SetPeers replaces the group's other upstreams.
func (u *Upstream) SetPeers(peers []Peer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peers = map[dfgroup.UpstreamID]Peer{}
	for _, peer := range peers {
		u.peers[peer.ID] = peer
	}
}

// ID returns the identity.
func (u *Upstream) ID() dfgroup.UpstreamID {
	return u.options.ID
}

// Address returns "ip:port", which a restart keeps.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Peer describes this upstream to others.
func (u *Upstream) Peer() Peer {
	return Peer{ID: u.options.ID, DataCentre: u.options.DataCentre, Address: u.Address()}
}

// Counters returns the present counts.
func (u *Upstream) Counters() Counters {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counters
}

// Status returns what group_status answers.
func (u *Upstream) Status() dfgroup.Status {
	return u.group.Status()
}

// Position returns the end of the log.
func (u *Upstream) Position() dfposition.Position {
	return u.group.Position()
}

// Rows returns the applied rows of a table.
func (u *Upstream) Rows(table string) [][]dfstandinstore.Value {
	return u.group.Database().Rows(table)
}

// Fence is group_fence.
func (u *Upstream) Fence(term dfposition.Term, actor string) error {
	return u.group.Fence(term, actor)
}

// Promote is group_promote.
func (u *Upstream) Promote(term dfposition.Term, actor string) error {
	return u.group.Promote(term, actor)
}

// Follow is group_follow.
func (u *Upstream) Follow(term dfposition.Term, actor string, primary dfgroup.UpstreamID) error {
	return u.group.Follow(term, actor, primary)
}

// SetLeaving is group_leaving.
func (u *Upstream) SetLeaving(leaving bool) {
	u.group.SetLeaving(leaving)
}

// Wait is group_wait.
func (u *Upstream) Wait(ctx context.Context, want dfposition.Position, bound dfclock.Millis) dfgroup.Status {
	u.group.Wait(ctx, want, bound)
	return u.group.Status()
}

// Record returns every transaction that this upstream committed or received,
// first the surviving log in order, then what was cut.
func (u *Upstream) Record() []dfstandingroup.Committed {
	return u.group.Record()
}

// Surviving returns the log of the present primary, that is of the primary
// with the highest accepted term.
func Surviving(upstreams ...*Upstream) ([]dfstandingroup.Committed, bool) {
	var primary *Upstream
	for _, upstream := range upstreams {
		status := upstream.Status()
		if status.Role == dfgroup.RolePrimary && (primary == nil || status.Accepted > primary.Status().Accepted) {
			primary = upstream
		}
	}
	if primary == nil {
		return nil, false
	}
	var surviving []dfstandingroup.Committed
	for _, committed := range primary.Record() {
		if !committed.Cut {
			surviving = append(surviving, committed)
		}
	}
	return surviving, true
}

// Stop closes everything and waits for the goroutines.
func (u *Upstream) Stop() {
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	u.Heal()
	u.halt()
}

func (u *Upstream) run() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", u.address)
	if err != nil {
		return eris.Wrapf(err, "standin: listen on %s", u.address)
	}
	ctx, stop := context.WithCancel(context.Background())
	u.mu.Lock()
	if u.stopped || u.listener != nil {
		u.mu.Unlock()
		stop()
		_ = listener.Close()
		return eris.New("standin: runs already or was stopped")
	}
	u.listener, u.address, u.stop = listener, listener.Addr().String(), stop
	u.done.Add(4)
	u.mu.Unlock()
	go u.accept(ctx, listener)
	go u.pull(ctx)
	go u.pace(ctx, u.group.FlushDue)
	go u.pace(ctx, u.group.ApplyDue)
	return nil
}

// halt ends the present run, as a crash does: connections are reset, received
// entries that were not flushed are lost, and open transactions roll back.
func (u *Upstream) halt() {
	u.mu.Lock()
	if u.listener == nil {
		u.mu.Unlock()
		return
	}
	u.stop()
	_ = u.listener.Close()
	u.listener = nil
	for s := range u.sockets {
		s.reset()
	}
	for _, c := range u.connections {
		c.Interrupt(dfstandinwire.ErrStopped)
	}
	u.mu.Unlock()
	u.done.Wait()
	u.group.Crash()
}

func (u *Upstream) accept(ctx context.Context, listener net.Listener) {
	defer u.done.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := &socket{Conn: conn, upstream: u, ended: make(chan struct{})}
		u.mu.Lock()
		if u.listener != listener {
			u.mu.Unlock()
			s.reset()
			return
		}
		u.sockets[s] = true
		u.done.Add(1)
		u.mu.Unlock()
		go u.serve(ctx, s)
	}
}

func (u *Upstream) serve(ctx context.Context, s *socket) {
	defer u.done.Done()
	if err := u.wire.Serve(ctx, s); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		log.Debug().Str("Upstream", string(u.options.ID)).Err(err).Msg("standin: connection ended")
	}
	_ = s.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	if !s.silent.Load() {
		delete(u.sockets, s)
	}
}

// Admit registers a connection after startup, or refuses it for the limit.
func (u *Upstream) Admit(c *dfstandinwire.Conn) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.Control() {
		u.counters.ControlConnects++
		u.connections[c.PID()] = c
		return nil
	}
	if u.ordinary >= int64(u.options.ConnectionLimit) {
		u.counters.LimitExceeded++
		return dfstandinstore.Errorf("53300", "sorry, too many clients already")
	}
	u.ordinary++
	u.counters.Connects++
	u.counters.MaxConnections = max(u.counters.MaxConnections, u.ordinary)
	u.connections[c.PID()] = c
	return nil
}

// Release frees the place of a connection.
func (u *Upstream) Release(c *dfstandinwire.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.connections[c.PID()] != c {
		return
	}
	delete(u.connections, c.PID())
	if !c.Control() {
		u.ordinary--
	}
}

// Find returns an admitted connection, or nil.
func (u *Upstream) Find(pid uint32) *dfstandinwire.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connections[pid]
}

// pace calls a step whenever the group changes or the step's span has passed.
func (u *Upstream) pace(ctx context.Context, step func(now time.Time) time.Duration) {
	defer u.done.Done()
	for ctx.Err() == nil {
		if !u.faults.running(ctx) {
			return
		}
		changed := u.group.Changed()
		next := step(time.Now())
		if next <= 0 {
			next = time.Second
		}
		timer := time.NewTimer(next)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
