package dfframe

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestReader guards against bodies that are cut or mixed when they arrive in
// pieces, fit the buffer exactly, or exceed it.
func TestReader(t *testing.T) {
	sizes := []int{0, 1, bufferSize - headerSize - 1, bufferSize - headerSize, bufferSize - headerSize + 1, 3 * growStep, 7}
	var stream []byte
	for i, size := range sizes {
		stream = Append(stream, byte('a'+i), bytes.Repeat([]byte{byte(i)}, size))
	}
	for _, source := range []io.Reader{bytes.NewReader(stream), iotest.HalfReader(bytes.NewReader(stream))} {
		reader := NewReader(source, 1<<20)
		for i, size := range sizes {
			messageType, body, err := reader.Next()
			require.NoError(t, err)
			require.Equal(t, byte('a'+i), messageType)
			require.True(t, bytes.Equal(bytes.Repeat([]byte{byte(i)}, size), body), size)
		}
		_, _, err := reader.Next()
		require.ErrorIs(t, err, io.EOF)
	}
}

// TestReaderRefuses guards against lengths that take memory or hide a cut stream.
func TestReaderRefuses(t *testing.T) {
	cases := []struct {
		stream string
		want   error
	}{
		{"Q\x00\x00\x00\x03", ErrMalformed},
		{"Q\x00\x00\x00\x0f", ErrTooLarge},
		{"Q\xff\xff\xff\xff", ErrTooLarge},
		{"Q\x00\x00", io.ErrUnexpectedEOF},
		{"Q\x00\x00\x00\x08ab", io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		_, _, err := NewReader(bytes.NewReader([]byte(c.stream)), 10).Next()
		require.ErrorIs(t, err, c.want, "%q", c.stream)
	}
}
