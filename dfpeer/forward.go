package dfpeer

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

var lateReplies = metrics.NewCounter("dragonflygrade_peer_late_replies_total")

// Forwarder opens units at one slot holder.
type Forwarder struct {
	peer *Peer
	// epoch is the epoch of the holder's slot as this host knows it.
	epoch uint64
	now   func() dfclock.Millis
}

// NewForwarder returns an executor that forwards units to the peer.
func NewForwarder(peer *Peer, epoch uint64, now func() dfclock.Millis) *Forwarder {
	return &Forwarder{peer: peer, epoch: epoch, now: now}
}

// unitIDs numbers the units that this process forwards.
var unitIDs atomic.Uint64

// Open reserves a stream. The holder admits the request together with the
// first batch, which saves a round trip.
func (f *Forwarder) Open(_ context.Context, request dfunit.Request) (dfunit.Unit, error) {
	stream, err := f.peer.takeStream()
	if err != nil {
		return nil, dfresult.NewError(dfresult.PeerUnreachable, "%s", f.peer.address)
	}
	return &forwardedUnit{
		peer:   f.peer,
		stream: stream,
		id:     unitIDs.Add(1),
		open:   f.openMessage(request),
	}, nil
}

func (f *Forwarder) openMessage(request dfunit.Request) *dfproto.RelayOpen {
	return &dfproto.RelayOpen{
		ID:              request.ID,
		Service:         request.Service,
		Group:           string(request.Group),
		Caller:          []byte(request.Caller),
		Write:           request.Class == dfunit.ClassWrite,
		Need:            dfproto.EncodePosition(request.Need),
		TokenPresented:  request.TokenPresented,
		MaxAgeMillis:    int64(request.MaxAge),
		Strong:          request.Strong,
		RemainingMillis: int64(request.Deadline.Since(f.now())),
		Priority:        int32(request.Priority),
		NoRepeat:        request.NoRepeat,
		Epoch:           f.epoch,
	}
}

// forwardedUnit is a unit that runs at another host.
type forwardedUnit struct {
	peer   *Peer
	stream *relayStream
	// id identifies the unit on the stream; replies with another id are late.
	id       uint64
	sequence uint32
	// open is sent with the first batch and nil afterwards.
	open *dfproto.RelayOpen
	// busy is true from the send of a batch until its end arrived.
	busy atomic.Bool
	// broken is true when the stream can't be reused.
	broken bool
	// ended is true when the holder has closed the unit.
	ended bool
}

// Exchange sends one batch and passes the answers on.
func (u *forwardedUnit) Exchange(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink) (dfunit.Result, error) {
	u.sequence++
	request := encodeBatch(batch)
	request.ID, request.Sequence, request.Open = u.id, u.sequence, u.open
	u.open = nil
	stop := context.AfterFunc(ctx, u.stream.cancel)
	defer stop()
	u.busy.Store(true)
	defer u.busy.Store(false)
	if err := u.stream.send(request); err != nil {
		// The reason why the stream ended is read from it.
		_, err = u.stream.stream.Recv()
		return dfunit.Result{}, u.streamEnded(ctx, err)
	}
	for {
		reply, err := u.stream.stream.Recv()
		if err != nil {
			return dfunit.Result{}, u.streamEnded(ctx, err)
		}
		if reply.ID != u.id || reply.Sequence != u.sequence {
			lateReplies.Inc()
			continue
		}
		for _, message := range reply.Messages {
			if err := sink.Send(byte(message.Type), message.Body); err != nil {
				u.broken = true
				return dfunit.Result{}, err
			}
		}
		if reply.Error != nil {
			u.broken = true
			return dfunit.Result{}, decodeError(reply.Error)
		}
		if reply.Result != nil {
			result := decodeResult(reply.Result)
			u.ended = ended(result)
			return result, nil
		}
	}
}

// streamEnded ends the unit after the end of its stream. If the holder drained and
// handled nothing of this unit, the batch did not run.
func (u *forwardedUnit) streamEnded(ctx context.Context, err error) error {
	end, ok := status.FromError(err)
	if !ok || end.Code() != codes.Aborted || ctx.Err() != nil {
		return u.lost(ctx)
	}
	last, found := strings.CutPrefix(end.Message(), drainedPrefix)
	if !found || last == strconv.FormatUint(u.id, 10) {
		return u.lost(ctx)
	}
	u.broken = true
	return dfresult.NewError(dfresult.HostDraining, "host %s", u.peer.address)
}

// lost ends the unit after a failure of its stream. The batch may have reached
// the holder, so its outcome is unknown.
func (u *forwardedUnit) lost(ctx context.Context) error {
	u.broken = true
	if ctx.Err() != nil {
		return dfresult.NewError(dfresult.ConnectionLost, "the deadline passed while %s had the request", u.peer.address)
	}
	return dfresult.NewError(dfresult.ConnectionLost, "the stream to host %s ended", u.peer.address)
}

// Cancel asks the holder to cancel the batch that runs.
func (u *forwardedUnit) Cancel() {
	if u.busy.Load() {
		_ = u.stream.send(&dfproto.RelayRequest{ID: u.id, Cancel: true})
	}
}

// Close ends the unit. An intact stream is kept for the next unit.
func (u *forwardedUnit) Close() {
	if u.broken {
		u.stream.cancel()
		return
	}
	if u.ended {
		u.peer.putStream(u.stream)
		return
	}
	if err := u.stream.send(&dfproto.RelayRequest{ID: u.id, Close: true}); err != nil {
		u.stream.cancel()
		return
	}
	u.peer.putStream(u.stream)
}

// preludeFlag marks the messages of a batch's prelude beside their type.
const preludeFlag = 1 << 8

// duplicateFlag marks a Parse that has to be refused.
const duplicateFlag = 1 << 9

func encodeBatch(batch dfunit.Batch) *dfproto.RelayRequest {
	request := &dfproto.RelayRequest{Messages: make([]*dfproto.FrontendMessage, len(batch.Messages))}
	indexes := make(map[*dfunit.Statement]uint32)
	for i, message := range batch.Messages {
		encoded := &dfproto.FrontendMessage{Type: uint32(message.Type), Body: message.Body}
		if i < batch.Prelude {
			encoded.Type |= preludeFlag
		}
		if message.Duplicate {
			encoded.Type |= duplicateFlag
		}
		if statement := message.Statement; statement != nil {
			index, found := indexes[statement]
			if !found {
				request.Statements = append(request.Statements, &dfproto.StatementInfo{
					SQL: []byte(statement.SQL), ParameterOIDs: statement.ParameterOIDs,
				})
				index = uint32(len(request.Statements))
				indexes[statement] = index
			}
			encoded.Statement = index
		}
		request.Messages[i] = encoded
	}
	return request
}

func decodeError(failure *dfproto.RelayError) error {
	err := &dfresult.Error{Code: dfresult.Code(failure.Code), Detail: failure.Detail}
	return err.WithRetryAfter(dfclock.Millis(failure.RetryAfterMillis))
}

func decodeResult(result *dfproto.RelayResult) dfunit.Result {
	return dfunit.Result{
		Status:   byte(result.Status),
		CopyIn:   result.CopyIn,
		Pinned:   result.Pinned,
		Position: dfproto.DecodePosition(result.Position),
		Upstream: dfgroup.UpstreamID(result.Upstream),
		Replica:  result.Replica,
		Local:    result.Local,
		Rung:     int(result.Rung),
	}
}
