package dfneighbour

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDocument bounds an unpacked document, in bytes: several times the largest
// that the platform's store accepts.
const maxDocument = 16 << 20

// errDocumentTooLong tells that a neighbour sent more than any document has.
var errDocumentTooLong = eris.New("neighbour: document exceeds 16 MiB")

// Pack makes a document short for slow links. Desired states repeat the same
// words for each route.
func Pack(document []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "neighbour: pack")
	}
	if _, err := writer.Write(document); err != nil {
		return nil, eris.Wrap(err, "neighbour: pack")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "neighbour: pack")
	}
	return packed.Bytes(), nil
}

// Unpack restores a document.
func Unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	document, err := io.ReadAll(io.LimitReader(reader, maxDocument+1))
	if err != nil {
		return nil, eris.Wrap(err, "neighbour: unpack")
	}
	if len(document) > maxDocument {
		return nil, errDocumentTooLong
	}
	return document, nil
}
