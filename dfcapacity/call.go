package dfcapacity

import (
	"context"
	"fmt"
	"net"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfpeer"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfsession"
)

// databasesOfPeer is the number of databases that a holder has in common with
// a peer at five slots.
const databasesOfPeer = 9

// answering answers the calls of peers; other calls are not made.
type answering struct {
	dfpeer.Handler
}

// Lease grants everything.
func (answering) Lease(request *dfproto.LeaseRequest) *dfproto.LeaseReply {
	return granted(request)
}

func granted(request *dfproto.LeaseRequest) *dfproto.LeaseReply {
	return &dfproto.LeaseReply{Granted: request.Groups, TTLMillis: int64(dfsession.LeaseTTL), Incarnation: request.Incarnation}
}

// Notify takes the positions.
func (answering) Notify(*dfproto.NotifyRequest) *dfproto.NotifyReply {
	return &dfproto.NotifyReply{}
}

// leaseRequest renews the leases of the databases in common with one peer.
func leaseRequest(databases int) *dfproto.LeaseRequest {
	request := &dfproto.LeaseRequest{Host: hostID(17), Incarnation: incarnation}
	for i := range databases {
		request.Groups = append(request.Groups, fmt.Sprintf("service-%04d/main", i*400))
	}
	return request
}

// incarnation is as long as those of the daemon.
const incarnation = "1f8a3c5e7b9d0246"

func callerPosition() *dfproto.CallerPosition {
	return &dfproto.CallerPosition{
		Group: "service-0400/main", Caller: 1 << 60, Position: &dfproto.Position{Term: 17, Offset: 1 << 40},
	}
}

func notifyRequest(positions int) *dfproto.NotifyRequest {
	request := &dfproto.NotifyRequest{Host: hostID(17), Incarnation: incarnation}
	for range positions {
		request.Positions = append(request.Positions, callerPosition())
	}
	return request
}

// payload is the encoded size of a request and its answer.
func payload(request, reply proto.Message) float64 {
	return float64(proto.Size(request) + proto.Size(reply))
}

// calls measures calls between hosts, each waiting for the one before, as the
// few calls of an idle host do. Both ends run in this process.
func (m *measurement) calls(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	server := dfpeer.NewServer(answering{}, func() dfclock.Millis { return 1 }, nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	count := &traffic{}
	directory := dfpeer.NewDirectory(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return counted{conn, count}, err
	}, nil)
	defer directory.Close()
	peer, err := directory.Peer(listener.Addr().String())
	if err != nil {
		return err
	}
	lease := func() error { _, err := peer.Client().Lease(ctx, leaseRequest(databasesOfPeer)); return err }
	notify := func() error { _, err := peer.Client().Notify(ctx, notifyRequest(1)); return err }
	if err := m.call("call.lease", count, lease); err != nil {
		return err
	}
	if err := m.call("call.notify", count, notify); err != nil {
		return err
	}
	return m.batches(ctx, peer.Client())
}

func (m *measurement) call(key string, count *traffic, call func() error) error {
	// The first calls open the connection and fill the header tables.
	for range 20 {
		if err := call(); err != nil {
			return err
		}
	}
	for _, size := range m.sizes.Calls {
		bytes, started := count.bytes.Load(), processorTime()
		for range size {
			if err := call(); err != nil {
				return err
			}
		}
		m.add(key+"Time", size, processorTime()-started)
		m.add(key+"Bytes", size, float64(count.bytes.Load()-bytes))
	}
	return nil
}

// batchesOf are the numbers of positions in one message.
var batchesOf = []int{1, 4, 16, 64, 256}

// batches measures what further positions in one message cost.
func (m *measurement) batches(ctx context.Context, peer dfproto.PeerClient) error {
	calls := m.sizes.Calls[0] / 4
	for _, size := range batchesOf {
		request := notifyRequest(size)
		started := processorTime()
		for range calls {
			if _, err := peer.Notify(ctx, request); err != nil {
				return err
			}
		}
		m.add("notify.time", size, (processorTime()-started)/float64(calls))
		m.add("notify.bytes", size, payload(request, &dfproto.NotifyReply{}))
	}
	return nil
}

var notifyReply = &dfproto.NotifyReply{}

// headBytes is the encoded size of one read of the head.
func headBytes() float64 {
	head := dfconfig.Index{Version: 1 << 20, Author: "operator-17", Attempt: "operator-17-1f8a3c5e7b9d0246-17"}.Head()
	value, err := head.Encode()
	if err != nil {
		return 0
	}
	row := &dfproto.Row{Key: dfconfig.HeadKey, Value: value, Version: head.Version, Attempt: head.Attempt}
	return payload(&dfproto.GetRowRequest{Key: dfconfig.HeadKey}, &dfproto.GetRowReply{Row: row})
}
