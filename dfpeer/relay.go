package dfpeer

import (
	"context"
	"strconv"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// drainedPrefix begins the message that ends a stream between units; the number
// of the last unit that was handled follows.
const drainedPrefix = "drained after unit "

// relaySession serves one stream at a slot holder.
type relaySession struct {
	handler Handler
	stream  grpc.BidiStreamingServer[dfproto.RelayRequest, dfproto.RelayReply]
	now     func() dfclock.Millis
	// requests carries batches from the reading goroutine.
	requests chan *dfproto.RelayRequest
	// running is the unit that Cancel reaches; owned by the serving goroutine
	// and handed to the reader through the ring cancels.
	cancels chan uint64

	// draining is closed when the stream has to end between units.
	draining <-chan struct{}
	// lastUnit is the last unit of which a message was handled.
	lastUnit uint64

	// unitID and unit belong to the open unit; unit is nil between units.
	unitID uint64
	unit   dfunit.Unit
}

func (s *relaySession) serve() error {
	ctx := s.stream.Context()
	go s.read()
	defer s.closeUnit()
	for {
		var draining <-chan struct{}
		if s.unit == nil {
			draining = s.draining
		}
		select {
		case <-ctx.Done():
			return nil
		case <-draining:
			return status.Error(codes.Aborted, drainedPrefix+strconv.FormatUint(s.lastUnit, 10))
		case <-s.cancels:
			// The batch to be cancelled has ended already.
		case request, open := <-s.requests:
			if !open {
				return nil
			}
			if err := s.handle(ctx, request); err != nil {
				return err
			}
		}
	}
}

// read moves requests into the rings until the stream ends.
func (s *relaySession) read() {
	defer close(s.requests)
	for {
		request, err := s.stream.Recv()
		if err != nil {
			return
		}
		if request.Cancel {
			select {
			case s.cancels <- request.ID:
			default:
			}
			continue
		}
		select {
		case s.requests <- request:
		case <-s.stream.Context().Done():
			return
		}
	}
}

func (s *relaySession) handle(ctx context.Context, request *dfproto.RelayRequest) error {
	s.lastUnit = request.ID
	if request.Close {
		s.closeUnit()
		return nil
	}
	if request.Open != nil {
		s.closeUnit()
		unit, err := s.handler.OpenRelayed(ctx, s.decodeOpen(request.Open), request.Open.Epoch)
		if err != nil {
			return s.fail(request, err)
		}
		s.unit, s.unitID = unit, request.ID
	}
	if s.unit == nil || s.unitID != request.ID {
		return s.fail(request, dfresult.NewError(dfresult.TransactionLost, "the unit is not open at this host"))
	}
	return s.exchange(ctx, request)
}

func (s *relaySession) exchange(ctx context.Context, request *dfproto.RelayRequest) error {
	unit := s.unit
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		s.watchCancels(unit, done)
	}()
	sink := &relaySink{stream: s.stream, id: request.ID, sequence: request.Sequence}
	result, err := unit.Exchange(ctx, decodeBatch(request), sink)
	close(done)
	<-finished
	if err != nil {
		s.closeUnit()
		if sendErr := sink.flush(); sendErr != nil {
			return sendErr
		}
		return s.fail(request, err)
	}
	sink.reply.Result = encodeResult(result)
	if ended(result) {
		s.closeUnit()
	}
	return sink.flush()
}

// ended reports whether the unit is over with the batch. Then both sides close
// it without a message.
func ended(result dfunit.Result) bool {
	return result.Status == 'I' && !result.Pinned && !result.CopyIn
}

func (s *relaySession) watchCancels(unit dfunit.Unit, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case id := <-s.cancels:
			if id == s.unitID {
				unit.Cancel()
			}
		}
	}
}

func (s *relaySession) closeUnit() {
	if s.unit != nil {
		s.unit.Close()
		s.unit = nil
	}
}

func (s *relaySession) fail(request *dfproto.RelayRequest, err error) error {
	return s.stream.Send(&dfproto.RelayReply{ID: request.ID, Sequence: request.Sequence, Error: encodeError(err)})
}

func (s *relaySession) decodeOpen(open *dfproto.RelayOpen) dfunit.Request {
	class := dfunit.ClassRead
	if open.Write {
		class = dfunit.ClassWrite
	}
	now := s.now()
	return dfunit.Request{
		ID:             open.ID,
		Service:        open.Service,
		Group:          dfgroup.ID(open.Group),
		Caller:         string(open.Caller),
		Class:          class,
		Need:           dfproto.DecodePosition(open.Need),
		TokenPresented: open.TokenPresented,
		MaxAge:         dfclock.Millis(open.MaxAgeMillis),
		Strong:         open.Strong,
		ArrivedAt:      now,
		Deadline:       now.Add(dfclock.Millis(open.RemainingMillis)),
		Priority:       int(open.Priority),
		NoRepeat:       open.NoRepeat,
	}
}

// relaySink collects answers into frames.
type relaySink struct {
	stream   grpc.BidiStreamingServer[dfproto.RelayRequest, dfproto.RelayReply]
	id       uint64
	sequence uint32
	reply    dfproto.RelayReply
	size     int
}

// Send copies one message into the frame.
func (s *relaySink) Send(messageType byte, body []byte) error {
	s.reply.Messages = append(s.reply.Messages, &dfproto.BackendMessage{
		Type: uint32(messageType), Body: append([]byte(nil), body...),
	})
	s.size += len(body)
	if s.size < frameBytes {
		return nil
	}
	return s.flush()
}

func (s *relaySink) flush() error {
	if len(s.reply.Messages) == 0 && s.reply.Result == nil {
		return nil
	}
	frame := &dfproto.RelayReply{ID: s.id, Sequence: s.sequence, Messages: s.reply.Messages, Result: s.reply.Result}
	s.reply.Messages, s.reply.Result, s.size = nil, nil, 0
	return s.stream.Send(frame)
}

func decodeBatch(request *dfproto.RelayRequest) dfunit.Batch {
	statements := make([]*dfunit.Statement, len(request.Statements))
	for i, info := range request.Statements {
		statements[i] = &dfunit.Statement{SQL: string(info.SQL), ParameterOIDs: info.ParameterOIDs}
	}
	batch := dfunit.Batch{Messages: make([]dfunit.Message, len(request.Messages))}
	for i, message := range request.Messages {
		batch.Messages[i] = dfunit.Message{Type: byte(message.Type), Body: message.Body, Duplicate: message.Type&duplicateFlag != 0}
		if message.Type&preludeFlag != 0 {
			batch.Prelude = i + 1
		}
		if message.Statement > 0 && int(message.Statement) <= len(statements) {
			batch.Messages[i].Statement = statements[message.Statement-1]
		}
	}
	return batch
}

func encodeResult(result dfunit.Result) *dfproto.RelayResult {
	return &dfproto.RelayResult{
		Status:   uint32(result.Status),
		CopyIn:   result.CopyIn,
		Pinned:   result.Pinned,
		Position: dfproto.EncodePosition(result.Position),
		Upstream: string(result.Upstream),
		Replica:  result.Replica,
		Local:    result.Local,
		Rung:     int32(result.Rung),
	}
}

// encodeError replaces what is not UTF-8 in the detail, which may quote a caller or an
// upstream. An error that cannot be encoded would end the stream.
func encodeError(err error) *dfproto.RelayError {
	failure := dfresult.FromError(err, dfresult.Internal)
	return &dfproto.RelayError{
		Code: int32(failure.Code), Detail: strings.ToValidUTF8(failure.Detail, "?"), RetryAfterMillis: int64(failure.RetryAfter),
	}
}
