package dflink

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// chunk is what one write or one read brought.
type chunk struct {
	data []byte
	due  time.Time
	// err ends the stream after the data.
	err error
}

// queue holds the bytes of one direction until they are due.
type queue struct {
	delay  Delay
	random *rand.Rand

	mu     sync.Mutex
	chunks []chunk
	// bytes is the sum of the chunks; at most queueBytes, or one chunk.
	bytes int
	last  time.Time
	// readBy and writeBy bound pop and push; zero is no bound.
	readBy  time.Time
	writeBy time.Time
	changed chan struct{}
}

func newQueue(delay Delay, seed, stream uint64) *queue {
	return &queue{delay: delay, random: rand.New(rand.NewPCG(seed, stream)), changed: make(chan struct{})}
}

// notify wakes waiting calls. The caller holds mu.
func (q *queue) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *queue) setReadBy(deadline time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.readBy = deadline
	q.notify()
}

func (q *queue) setWriteBy(deadline time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writeBy = deadline
	q.notify()
}

// push adds a chunk and waits while the queue is full. Due times never fall,
// so a delayed chunk holds up those behind it, as in TCP.
func (q *queue) push(data []byte, err error, ended <-chan struct{}) error {
	for {
		q.mu.Lock()
		if q.bytes == 0 || q.bytes+len(data) <= queueBytes {
			break
		}
		changed, deadline := q.changed, q.writeBy
		q.mu.Unlock()
		if failure := await(changed, deadline, ended); failure != nil {
			return failure
		}
	}
	defer q.mu.Unlock()
	due := time.Now().Add(q.delay.sample(q.random))
	if due.Before(q.last) {
		due = q.last
	}
	q.last = due
	q.chunks = append(q.chunks, chunk{data: data, due: due, err: err})
	q.bytes += len(data)
	q.notify()
	return nil
}

// pop waits for the next chunk that is due.
func (q *queue) pop(ended <-chan struct{}) (chunk, error) {
	for {
		q.mu.Lock()
		changed, until := q.changed, q.readBy
		if len(q.chunks) > 0 {
			head := q.chunks[0]
			if !head.due.After(time.Now()) && !passed(until) {
				q.chunks = q.chunks[1:]
				q.bytes -= len(head.data)
				q.notify()
				q.mu.Unlock()
				return head, nil
			}
			if !passed(until) && (until.IsZero() || head.due.Before(until)) {
				q.mu.Unlock()
				if err := await(changed, head.due, ended); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
					return chunk{}, err
				}
				continue
			}
		}
		q.mu.Unlock()
		if err := await(changed, until, ended); err != nil {
			return chunk{}, err
		}
	}
}

func passed(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(time.Now())
}

// await returns nil after a change, and an error at the deadline or the end.
func await(changed <-chan struct{}, deadline time.Time, ended <-chan struct{}) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-ended:
		return net.ErrClosed
	}
}

// conn is one connection over a link.
type conn struct {
	network *Network
	pair    pair
	inner   net.Conn
	out     *queue
	in      *queue
	// ready has what crossed the link and waits for Read.
	ready *queue
	// silent is guarded by the network's lock.
	silent bool
	// closed is closed by Close, abandoned when nothing more is to be carried.
	closed    chan struct{}
	abandoned chan struct{}
	closeOnce sync.Once
	endOnce   sync.Once

	readMu sync.Mutex
	// rest is what the last chunk had beyond the reader's buffer.
	rest []byte
	end  error
}

// Each connection has two random streams besides the one of its dial.
const streamStride = 1 << 32

func newConn(n *Network, link pair, inner net.Conn, delay Delay, seed, number uint64) *conn {
	c := &conn{network: n, pair: link, inner: inner, closed: make(chan struct{}), abandoned: make(chan struct{}),
		out: newQueue(delay, seed, number+streamStride), in: newQueue(delay, seed, number+2*streamStride),
		ready: newQueue(Delay{}, 0, 0)}
	go c.send()
	go c.deliver()
	go c.receive()
	return c
}

// await waits while the link is cut; false means that the data is dropped.
func (c *conn) await(ended <-chan struct{}) bool {
	for {
		cut, silent, changed := c.network.state(c)
		if silent {
			return false
		}
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}

// send carries written chunks to the peer. Close travels behind them, and over
// a silent link it never arrives.
func (c *conn) send() {
	for {
		next, err := c.out.pop(c.abandoned)
		if err != nil {
			return
		}
		if !c.await(c.abandoned) {
			continue
		}
		if next.err != nil {
			c.forget()
			return
		}
		if _, err := c.inner.Write(next.data); err != nil {
			c.forget()
			return
		}
	}
}

func (c *conn) forget() {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	_ = c.inner.Close()
	c.abandon()
}

func (c *conn) abandon() {
	c.endOnce.Do(func() { close(c.abandoned) })
}

// deliver carries chunks that are due to the reader.
func (c *conn) deliver() {
	for {
		next, err := c.in.pop(c.abandoned)
		if err != nil {
			return
		}
		if !c.await(c.abandoned) {
			continue
		}
		if c.ready.push(next.data, next.err, c.closed) != nil || next.err != nil {
			return
		}
	}
}

func (c *conn) receive() {
	buffer := make([]byte, 64<<10)
	for {
		count, err := c.inner.Read(buffer)
		if pushed := c.in.push(append([]byte(nil), buffer[:count]...), err, c.abandoned); pushed != nil || err != nil {
			return
		}
	}
}

// Read returns data that is due.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for len(c.rest) == 0 {
		if c.end != nil {
			return 0, c.end
		}
		next, err := c.ready.pop(c.closed)
		if err != nil {
			return 0, err
		}
		c.rest, c.end = next.data, next.err
	}
	count := copy(p, c.rest)
	c.rest = c.rest[count:]
	return count, nil
}

// Write queues the data.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.abandoned:
		return 0, net.ErrClosed
	default:
	}
	if err := c.out.push(append([]byte(nil), p...), nil, c.closed); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close sends the end behind the data that is under way and returns at once.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.out.push(nil, net.ErrClosed, c.abandoned)
	})
	return nil
}

// LocalAddr returns the address of this side.
func (c *conn) LocalAddr() net.Addr { return c.inner.LocalAddr() }

// RemoteAddr returns the address of the other side.
func (c *conn) RemoteAddr() net.Addr { return c.inner.RemoteAddr() }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(deadline time.Time) error {
	c.ready.setReadBy(deadline)
	c.out.setWriteBy(deadline)
	return nil
}

// SetReadDeadline bounds present and future reads.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.ready.setReadBy(deadline)
	return nil
}

// SetWriteDeadline bounds present and future writes.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.out.setWriteBy(deadline)
	return nil
}
