// Package dflink gives TCP connections the delays, losses and faults of links
// between sites. A site is a data centre or a host. Delays keep the order of
// the bytes and do not bound the throughput.
package dflink

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
)

const (
	// retransmission is the extra delay of a lost segment, TCP's least timeout on common systems.
	retransmission = 200 * time.Millisecond
	// queueBytes bounds the bytes under way in one direction of a connection;
	// it carries 400 MB/s over 10 ms.
	queueBytes = 4 << 20
	// DefaultDialBound is how long a dial across a partition takes to fail.
	DefaultDialBound = 2 * dfclock.Second
)

// Delay describes a link between two sites, the same in both directions.
type Delay struct {
	OneWay dfclock.Millis
	// Jitter is the upper bound of an extra delay with uniform distribution.
	Jitter dfclock.Millis
	// Loss is the share of writes that are sent again after 200 ms.
	Loss float64
}

type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// Network holds sites, the delays between them and the faults in force.
type Network struct {
	seed uint64

	mu        sync.Mutex
	sites     map[string]string
	delays    map[pair]Delay
	otherwise Delay
	cut       map[pair]bool
	isolated  map[string]bool
	dialBound time.Duration
	dials     uint64
	conns     map[*conn]bool
	// changed is closed and replaced when a fault changes.
	changed chan struct{}
}

// New returns a network without delays. The seed decides jitter and losses.
func New(seed uint64) *Network {
	return &Network{seed: seed, sites: map[string]string{}, delays: map[pair]Delay{}, cut: map[pair]bool{},
		isolated: map[string]bool{}, conns: map[*conn]bool{}, changed: make(chan struct{}),
		dialBound: time.Duration(DefaultDialBound) * time.Millisecond}
}

// Register tells at which site an address "ip:port" listens.
func (n *Network) Register(site, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = site
}

// SetDelay sets the delay between two sites for connections opened later.
func (n *Network) SetDelay(a, b string, delay Delay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[pairOf(a, b)] = delay
}

// SetDefaultDelay sets the delay between different sites that have none of
// their own. Within a site there is none unless SetDelay names it.
func (n *Network) SetDefaultDelay(delay Delay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.otherwise = delay
}

// SetDialBound sets how long a dial across a partition takes to fail.
func (n *Network) SetDialBound(bound dfclock.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialBound = time.Duration(bound) * time.Millisecond
}

// Partition cuts the link between two sites: dials fail after their bound and
// open connections carry nothing until the link is healed.
func (n *Network) Partition(a, b string) {
	n.change(func() { n.cut[pairOf(a, b)] = true })
}

// Heal ends the partition between two sites. What waited is delivered.
func (n *Network) Heal(a, b string) {
	n.change(func() { delete(n.cut, pairOf(a, b)) })
}

// Isolate cuts a site from all other sites.
func (n *Network) Isolate(site string) {
	n.change(func() { n.isolated[site] = true })
}

// HealAll ends all partitions.
func (n *Network) HealAll() {
	n.change(func() {
		clear(n.cut)
		clear(n.isolated)
	})
}

// Silence makes the open connections between two sites carry nothing more,
// for good. New connections work. An empty name stands for every site.
func (n *Network) Silence(a, b string) {
	n.change(func() {
		for c := range n.conns {
			if matches(c.pair, a, b) || matches(c.pair, b, a) {
				c.silent = true
			}
		}
	})
}

func matches(p pair, a, b string) bool {
	return (a == "" || p.a == a) && (b == "" || p.b == b)
}

// Close closes all connections, also those that faults kept open.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.abandon()
		_ = c.inner.Close()
	}
	clear(n.conns)
}

func (n *Network) change(set func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) isCut(p pair) bool {
	return n.cut[p] || (p.a != p.b && (n.isolated[p.a] || n.isolated[p.b]))
}

func (n *Network) delay(p pair) Delay {
	if delay, known := n.delays[p]; known {
		return delay
	}
	if p.a == p.b {
		return Delay{}
	}
	return n.otherwise
}

// state returns whether a link is cut, whether the connection is silent, and a
// channel that is closed when either may have changed.
func (n *Network) state(c *conn) (cut, silent bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCut(c.pair), c.silent, n.changed
}

// Dialer opens connections from one site.
type Dialer struct {
	network *Network
	from    string
}

// Dialer returns the dialer of a site.
func (n *Network) Dialer(from string) *Dialer {
	return &Dialer{network: n, from: from}
}

// Dial opens a connection to an address; one that was not registered counts
// as being at the dialer's site. The handshake takes a round trip.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n := d.network
	n.mu.Lock()
	site, known := n.sites[address]
	if !known {
		site = d.from
	}
	link := pairOf(d.from, site)
	delay, bound := n.delay(link), n.dialBound
	n.dials++
	number := n.dials
	n.mu.Unlock()
	random := rand.New(rand.NewPCG(n.seed, number))
	if err := n.handshake(ctx, link, delay.sample(random)+delay.sample(random), bound); err != nil {
		return nil, eris.Wrapf(err, "link: dial %s from %s", address, d.from)
	}
	inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := newConn(n, link, inner, delay, n.seed, number)
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	return c, nil
}

// handshake waits for the round trip, and at a cut link until it heals or the
// bound passes.
func (n *Network) handshake(ctx context.Context, link pair, roundTrip, bound time.Duration) error {
	limit := time.NewTimer(bound)
	defer limit.Stop()
	for {
		n.mu.Lock()
		cut, changed := n.isCut(link), n.changed
		n.mu.Unlock()
		var done <-chan time.Time
		if !cut {
			timer := time.NewTimer(roundTrip)
			defer timer.Stop()
			done, changed = timer.C, nil
		}
		select {
		case <-done:
			return nil
		case <-changed:
		case <-limit.C:
			return os.ErrDeadlineExceeded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sample returns one delay.
func (d Delay) sample(random *rand.Rand) time.Duration {
	delay := time.Duration(d.OneWay) * time.Millisecond
	if d.Jitter > 0 {
		delay += time.Duration(random.Int64N(int64(d.Jitter) * int64(time.Millisecond)))
	}
	if d.Loss > 0 && random.Float64() < d.Loss {
		delay += retransmission
	}
	return delay
}
