package dfpeer

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"dragonflygrade/dfproto"
)

var (
	notifications      = metrics.NewCounter("dragonflygrade_peer_notifications_total")
	notificationsLost  = metrics.NewCounter("dragonflygrade_peer_notifications_lost_total")
	notificationFrames = metrics.NewCounter("dragonflygrade_peer_notification_messages_total")
)

// notification is one position on its way to a peer.
type notification struct {
	position *dfproto.CallerPosition
	answered func()
}

// Notifier sends positions to peers before writes are acknowledged. Positions
// that wait for one peer travel together.
type Notifier struct {
	directory   *Directory
	host        string
	incarnation string

	mu sync.Mutex
	// rings is keyed by peer address; each has notifySenders goroutines.
	rings  map[string]chan notification
	stop   chan struct{}
	closed bool
	group  sync.WaitGroup
}

// NewNotifier returns a notifier that names the host and its incarnation.
func NewNotifier(directory *Directory, host, incarnation string) *Notifier {
	return &Notifier{
		directory:   directory,
		host:        host,
		incarnation: incarnation,
		rings:       make(map[string]chan notification),
		stop:        make(chan struct{}),
	}
}

// Notify queues a position for the peer at the address and calls answered once
// the peer has taken it. Without an answer the function is never called.
func (n *Notifier) Notify(address string, position *dfproto.CallerPosition, answered func()) {
	ring := n.ring(address)
	if ring == nil {
		return
	}
	select {
	case ring <- notification{position: position, answered: answered}:
		notifications.Inc()
	default:
		notificationsLost.Inc()
	}
}

// Close ends the sending goroutines.
func (n *Notifier) Close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.stop)
	}
	n.mu.Unlock()
	n.group.Wait()
}

func (n *Notifier) ring(address string) chan notification {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	ring, found := n.rings[address]
	if !found {
		ring = make(chan notification, notifyRing)
		n.rings[address] = ring
		for range notifySenders {
			n.group.Go(func() { n.send(address, ring) })
		}
	}
	return ring
}

// send keeps one message in flight and lets the next one gather meanwhile. The
// order of messages does not matter, because a position never moves back.
func (n *Notifier) send(address string, ring <-chan notification) {
	for {
		select {
		case <-n.stop:
			return
		case first := <-ring:
			n.deliver(address, collect(first, ring))
		}
	}
}

func collect(first notification, ring <-chan notification) []notification {
	batch := []notification{first}
	for len(batch) < notifyBatch {
		select {
		case next := <-ring:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (n *Notifier) deliver(address string, batch []notification) {
	request := &dfproto.NotifyRequest{Host: n.host, Incarnation: n.incarnation}
	for _, item := range batch {
		request.Positions = append(request.Positions, item.position)
	}
	peer, err := n.directory.Peer(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	notificationFrames.Inc()
	if _, err := peer.client.Notify(ctx, request); err != nil {
		notificationsLost.Add(len(batch))
		return
	}
	for _, item := range batch {
		item.answered()
	}
}
