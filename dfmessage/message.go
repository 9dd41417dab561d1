// Package dfmessage writes and reads the messages that hosts send each other: a
// length and a CBOR value.
package dfmessage

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxFrame bounds one message; the desired state is the largest content.
const maxFrame = 4 << 20

// Write sends the length of a message and the message.
func Write(w io.Writer, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "message: encode")
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// Read receives a message.
func Read(r io.Reader, message any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxFrame {
		return eris.Errorf("message: %d bytes", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return eris.Wrap(cbor.Unmarshal(data, message), "message: decode")
}
