// Package dfmessage encodes and decodes the messages that hosts send each other.
// A message is a CBOR value preceded by its length, a 32-bit big-endian integer.
package dfmessage

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxMessageSize bounds the encoded size of a message, in bytes. The desired
// state is the largest content.
const maxMessageSize = 4 << 20

// ErrTooLarge means that a message was not sent because it exceeds the limit.
var ErrTooLarge = eris.New("message: exceeds 4 MiB")

// decoder accepts texts that are not valid UTF-8: texts of callers and upstreams are
// bytes. The encoder writes them as they are. The size of a message bounds its arrays.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxMessageSize}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Write encodes a message and sends it with its length. It sends nothing and returns
// ErrTooLarge if the message exceeds the limit.
func Write(w io.Writer, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "message: encode")
	}
	if len(data) > maxMessageSize {
		return eris.Wrapf(ErrTooLarge, "message of %d bytes", len(data))
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// Read receives a message and decodes it into the value that message points to.
func Read(r io.Reader, message any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxMessageSize {
		return eris.Errorf("message: length of %d bytes exceeds 4 MiB", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return eris.Wrap(decoder.Unmarshal(data, message), "message: decode")
}
