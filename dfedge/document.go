package dfedge

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfneighbour"
)

const (
	// inlineDocument is the longest packed document that goes with an exchange, in
	// bytes: it takes 8 ms on the slowest link of the users' machines.
	inlineDocument = 10 << 10
	// documentsAtOnce bounds the long documents that a host sends at a time. More
	// would fill a slow link for so long that the exchanges fail.
	documentsAtOnce = 2
	// fetchTimeout bounds the fetch of a document.
	fetchTimeout = 2 * time.Second
)

// documentFor returns the packed document for an asker, or nil if it has to be
// fetched. The mutex is held.
func (e *Edge) documentFor(question dfneighbour.Question) []byte {
	if e.packed == nil {
		packed, err := dfneighbour.Pack(e.document)
		if err != nil {
			e.log.Error().Err(err).Msg("catalog: document not packed")
			return nil
		}
		e.packed = packed
	}
	if len(e.packed) > inlineDocument && !question.Fetch {
		return nil
	}
	return e.packed
}

// handDocument answers a fetch. A host that sends enough documents sends none; the
// asker comes back.
func (e *Edge) handDocument(conn net.Conn, question dfneighbour.Question) error {
	e.mu.Lock()
	report := dfneighbour.Report{Host: e.options.Self, Catalog: e.catalog.Version(), QuorumAgo: -1}
	if e.handing < documentsAtOnce && question.Catalog < report.Catalog {
		report.Document = e.documentFor(question)
	}
	e.handing++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.handing--
		e.mu.Unlock()
	}()
	if err := conn.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return eris.Wrap(err, "catalog: deadline")
	}
	return dfneighbour.WriteReport(conn, report)
}

// fetchNewer fetches a document that a neighbour has and that was too long for the
// exchange.
func (e *Edge) fetchNewer(address string, report dfneighbour.Report) {
	e.mu.Lock()
	wanted := report.Document == nil && report.Catalog > e.catalog.Version() && !e.fetching
	if wanted {
		e.fetching = true
	}
	question := dfneighbour.Question{Host: e.options.Self, Catalog: e.catalog.Version(), Fetch: true}
	e.mu.Unlock()
	if !wanted {
		return
	}
	go func() {
		if err := e.fetch(address, question); err != nil {
			e.log.Info().Str("Neighbour", address).Err(err).Msg("catalog: document not fetched")
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.fetching = false
	}()
}

func (e *Edge) fetch(address string, question dfneighbour.Question) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	conn, err := e.options.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "catalog: deadline")
	}
	if err := dfneighbour.WriteQuestion(conn, question); err != nil {
		return err
	}
	report, err := dfneighbour.ReadReport(conn)
	if err != nil {
		return err
	}
	e.takePacked(report)
	return nil
}

// takePacked adopts the document of a report, if it has one.
func (e *Edge) takePacked(report dfneighbour.Report) {
	if report.Document == nil {
		return
	}
	document, err := dfneighbour.Unpack(report.Document)
	if err != nil {
		e.log.Error().Str("From", report.Host.ID).Err(err).Msg("catalog: document refused")
		return
	}
	e.takeDocument(document, report.Host.ID)
}
