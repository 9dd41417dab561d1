package dfneighbour

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDocumentSize bounds a decompressed document, in bytes. It is several times
// the largest document that the platform's store accepts.
const maxDocumentSize = 16 << 20

// errDocumentTooLong means that a neighbour sent an impossibly large document.
var errDocumentTooLong = eris.New("neighbour: document exceeds 16 MiB")

// Compress compresses a document for slow links. Desired states repeat the same
// words for each route.
func Compress(document []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "neighbour: compress document")
	}
	if _, err := writer.Write(document); err != nil {
		return nil, eris.Wrap(err, "neighbour: compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "neighbour: compress document")
	}
	return compressed.Bytes(), nil
}

// Decompress reverses Compress.
func Decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "neighbour: decompress document")
	}
	if len(document) > maxDocumentSize {
		return nil, errDocumentTooLong
	}
	return document, nil
}
