package dfpeer

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"dragonflygrade/dfproto"
)

// DialFunc opens a connection to a peer's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Directory keeps one gRPC connection for each peer address.
type Directory struct {
	dial        DialFunc
	credentials credentials.TransportCredentials

	mu sync.Mutex
	// peers is keyed by address; entries stay until Close.
	peers  map[string]*Peer
	closed bool
}

// NewDirectory returns a directory. Without a dial function TCP is used,
// without credentials connections are not encrypted.
func NewDirectory(dial DialFunc, transport credentials.TransportCredentials) *Directory {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return &Directory{dial: dial, credentials: transport, peers: make(map[string]*Peer)}
}

// Peer returns the peer at the address. The connection opens on first use.
func (d *Directory) Peer(address string) (*Peer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, eris.New("peer: directory is closed")
	}
	if peer, found := d.peers[address]; found {
		return peer, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(d.credentials),
		grpc.WithContextDialer(d.dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialTimeout / 5, Multiplier: 1.6, Jitter: 0.2, MaxDelay: dialTimeout * 2},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s", address)
	}
	peer := &Peer{
		address: address,
		conn:    conn,
		client:  dfproto.NewPeerClient(conn),
		idle:    make(chan *relayStream, idleStreams),
	}
	d.peers[address] = peer
	return peer, nil
}

// Close ends all connections.
func (d *Directory) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, peer := range d.peers {
		peer.close()
	}
}

// Peer is another host.
type Peer struct {
	address string
	conn    *grpc.ClientConn
	client  dfproto.PeerClient
	// idle has relay streams on which no unit is open.
	idle chan *relayStream
}

// Client gives the calls that need no stream.
func (p *Peer) Client() dfproto.PeerClient {
	return p.client
}

func (p *Peer) close() {
	for {
		select {
		case stream := <-p.idle:
			stream.cancel()
		default:
			_ = p.conn.Close()
			return
		}
	}
}

// relayStream is a stream that carries one unit at a time.
type relayStream struct {
	stream grpc.BidiStreamingClient[dfproto.RelayRequest, dfproto.RelayReply]
	cancel context.CancelFunc
	// sendMu orders batches and cancels, which come from two goroutines.
	sendMu sync.Mutex
}

func (s *relayStream) send(request *dfproto.RelayRequest) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return s.stream.Send(request)
}

func (p *Peer) takeStream() (*relayStream, error) {
	for {
		select {
		case stream := <-p.idle:
			if stream.stream.Context().Err() == nil {
				return stream, nil
			}
			stream.cancel()
		default:
			return p.openStream()
		}
	}
}

func (p *Peer) openStream() (*relayStream, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := p.client.Relay(ctx)
	if err != nil {
		cancel()
		return nil, eris.Wrapf(err, "peer %s: relay", p.address)
	}
	return &relayStream{stream: stream, cancel: cancel}, nil
}

func (p *Peer) putStream(stream *relayStream) {
	select {
	case p.idle <- stream:
	default:
		stream.cancel()
	}
}
