package dfedge

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfneighbour"
)

const (
	// maxInlineDocument is the largest compressed document, in bytes, that is sent
	// as part of an exchange. It takes 8 ms on the slowest link of the users'
	// machines.
	maxInlineDocument = 10 << 10
	// maxDocumentSends bounds the concurrent transfers of large documents. More
	// would saturate a slow link for so long that exchanges fail.
	maxDocumentSends = 2
	fetchTimeout     = 2 * time.Second
)

// documentFor returns the compressed document for the sender of a request, or
// nil if the sender has to fetch it. e.mu must be held.
func (e *Edge) documentFor(request dfneighbour.Request) []byte {
	if e.compressedDocument == nil {
		compressed, err := dfneighbour.Compress(e.document)
		if err != nil {
			e.log.Error().Err(err).Msg("catalog: cannot compress document")
			return nil
		}
		e.compressedDocument = compressed
	}
	if len(e.compressedDocument) > maxInlineDocument && !request.Fetch {
		return nil
	}
	return e.compressedDocument
}

// sendDocument answers a fetch. If enough transfers are running, the reply has no
// document and the other host retries.
func (e *Edge) sendDocument(conn net.Conn, request dfneighbour.Request) error {
	e.mu.Lock()
	report := dfneighbour.Report{Host: e.options.Self, Catalog: e.catalog.Version(), QuorumAge: -1}
	if e.documentSends < maxDocumentSends && request.Catalog < report.Catalog {
		report.Document = e.documentFor(request)
	}
	e.documentSends++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.documentSends--
		e.mu.Unlock()
	}()
	if err := conn.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return eris.Wrap(err, "catalog: set deadline")
	}
	return dfneighbour.WriteReport(conn, report)
}

// fetchNewerDocument fetches a newer document of a neighbour that was too large
// for the exchange.
func (e *Edge) fetchNewerDocument(address string, report dfneighbour.Report) {
	e.mu.Lock()
	wanted := report.Document == nil && report.Catalog > e.catalog.Version() && !e.fetchingDocument
	if wanted {
		e.fetchingDocument = true
	}
	request := dfneighbour.Request{Host: e.options.Self, Catalog: e.catalog.Version(), Fetch: true}
	e.mu.Unlock()
	if !wanted {
		return
	}
	go func() {
		if err := e.fetchDocument(address, request); err != nil {
			e.log.Info().Str("Neighbour", address).Err(err).Msg("catalog: cannot fetch document")
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.fetchingDocument = false
	}()
}

func (e *Edge) fetchDocument(address string, request dfneighbour.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	conn, err := e.options.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "catalog: set deadline")
	}
	if err := dfneighbour.WriteRequest(conn, request); err != nil {
		return err
	}
	report, err := dfneighbour.ReadReport(conn)
	if err != nil {
		return err
	}
	e.adoptCompressedDocument(report)
	return nil
}

// adoptCompressedDocument adopts the document of a report, if it has one.
func (e *Edge) adoptCompressedDocument(report dfneighbour.Report) {
	if report.Document == nil {
		return
	}
	document, err := dfneighbour.Decompress(report.Document)
	if err != nil {
		e.log.Error().Str("From", report.Host.ID).Err(err).Msg("catalog: cannot decompress document")
		return
	}
	e.adoptDocument(document, report.Host.ID)
}
