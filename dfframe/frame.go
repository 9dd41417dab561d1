// Package dfframe reads and writes messages of PostgreSQL protocol v3 as type
// and body, without decoding them.
package dfframe

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// headerSize counts the type byte and the length.
	headerSize = 5
	// bufferSize holds most messages whole, so that they are read without a copy.
	bufferSize = 16 << 10
	// growStep bounds what a length field alone makes the reader allocate.
	growStep = 64 << 10
)

// ErrTooLarge reports a message beyond the size limit.
var ErrTooLarge = eris.New("message exceeds the size limit")

// ErrMalformed reports a message whose length field is impossible.
var ErrMalformed = eris.New("message length is malformed")

// Reader reads messages from a stream. The zero value is not usable.
type Reader struct {
	buffered *bufio.Reader
	limit    int
	// pending bytes of the buffer belong to the message returned last.
	pending int
	// large holds a message that does not fit the buffer.
	large []byte
}

// NewReader returns a reader that refuses bodies larger than limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(source, bufferSize), limit: limit}
}

// Buffered returns the number of bytes that were received but not returned.
func (r *Reader) Buffered() int {
	return r.buffered.Buffered() - r.pending
}

// Next returns the next message. The body is valid until the next call.
func (r *Reader) Next() (byte, []byte, error) {
	if err := r.release(); err != nil {
		return 0, nil, err
	}
	header, err := r.buffered.Peek(headerSize)
	if err != nil {
		return 0, nil, cutShort(err, len(header))
	}
	messageType := header[0]
	size, err := bodySize(header[1:], r.limit)
	if err != nil {
		return 0, nil, err
	}
	if headerSize+size > bufferSize {
		body, err := r.nextLarge(size)
		return messageType, body, err
	}
	whole, err := r.buffered.Peek(headerSize + size)
	if err != nil {
		return 0, nil, cutShort(err, len(whole))
	}
	r.pending = headerSize + size
	return messageType, whole[headerSize:], nil
}

// Wait blocks until a message begins. After an error of a deadline it may be
// called again.
func (r *Reader) Wait() error {
	if err := r.release(); err != nil {
		return err
	}
	_, err := r.buffered.Peek(1)
	return err
}

// NextStartup returns a message without a type byte, as sent at startup.
func (r *Reader) NextStartup(limit int) ([]byte, error) {
	if err := r.release(); err != nil {
		return nil, err
	}
	header, err := r.buffered.Peek(4)
	if err != nil {
		return nil, cutShort(err, len(header))
	}
	size, err := bodySize(header, min(limit, bufferSize-4))
	if err != nil {
		return nil, err
	}
	whole, err := r.buffered.Peek(4 + size)
	if err != nil {
		return nil, cutShort(err, len(whole))
	}
	r.pending = 4 + size
	return whole[4:], nil
}

// release drops the message returned last from the buffer.
func (r *Reader) release() error {
	if cap(r.large) > growStep {
		r.large = nil
	}
	_, err := r.buffered.Discard(r.pending)
	r.pending = 0
	return err
}

// nextLarge grows the memory only as bytes arrive.
func (r *Reader) nextLarge(size int) ([]byte, error) {
	if _, err := r.buffered.Discard(headerSize); err != nil {
		return nil, err
	}
	r.large = r.large[:0]
	for len(r.large) < size {
		start := len(r.large)
		step := min(size-start, max(growStep, start))
		r.large = append(r.large, make([]byte, step)...)
		if _, err := io.ReadFull(r.buffered, r.large[start:]); err != nil {
			return nil, cutShort(err, 1)
		}
	}
	return r.large, nil
}

func bodySize(field []byte, limit int) (int, error) {
	size := int64(binary.BigEndian.Uint32(field)) - 4
	if size < 0 {
		return 0, ErrMalformed
	}
	if size > int64(limit) {
		return 0, ErrTooLarge
	}
	return int(size), nil
}

// cutShort tells the end of the stream between messages from one inside.
func cutShort(err error, got int) error {
	if eris.Is(err, io.EOF) && got > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Append appends a message to the buffer.
func Append(buffer []byte, messageType byte, body []byte) []byte {
	buffer = AppendHeader(buffer, messageType, len(body))
	return append(buffer, body...)
}

// AppendHeader appends type and length of a message whose body follows.
func AppendHeader(buffer []byte, messageType byte, size int) []byte {
	buffer = append(buffer, messageType)
	return binary.BigEndian.AppendUint32(buffer, uint32(size+4))
}

// Writer writes messages through a buffer.
type Writer struct {
	buffered *bufio.Writer
	header   [headerSize]byte
}

// NewWriter returns a writer to the stream.
func NewWriter(destination io.Writer) *Writer {
	return &Writer{buffered: bufio.NewWriterSize(destination, bufferSize)}
}

// Send buffers one message and flushes only when the buffer is full.
func (w *Writer) Send(messageType byte, body []byte) error {
	w.header[0] = messageType
	binary.BigEndian.PutUint32(w.header[1:], uint32(len(body)+4))
	if _, err := w.buffered.Write(w.header[:]); err != nil {
		return err
	}
	_, err := w.buffered.Write(body)
	return err
}

// Raw buffers bytes that are not framed.
func (w *Writer) Raw(bytes []byte) error {
	_, err := w.buffered.Write(bytes)
	return err
}

// Flush sends what is buffered.
func (w *Writer) Flush() error {
	return w.buffered.Flush()
}

// CutString splits a body at its first zero byte.
func CutString(body []byte) (text, rest []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return body[:i], body[i+1:], true
		}
	}
	return nil, nil, false
}
