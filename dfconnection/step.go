package dfconnection

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"dragonflygrade/dffleet"
	"dragonflygrade/dfstatement"
)

// historySize is how many answers a connection remembers. It covers a repeated answer
// that arrives 300 ms late at a typical statement time of 5 ms.
const historySize = 64

// fit is how an answer fits the call whose answer is due. Answers carry no ID of their
// call.
type fit string

const (
	// fits means that nothing speaks against the answer.
	fits fit = "fits"
	// repeated means that the answer was received before. The next one may fit.
	repeated fit = "repeated"
	// mismatched means that the answer cannot belong to the call.
	mismatched fit = "mismatched"
	// unread means that data arrived while no answer was due.
	unread fit = "unread"
)

// history has digests of the newest answers with a proof on a connection. An upstream
// uses no proof twice.
type history struct {
	// proofs are the digests of the proofs, contents those of the whole answers.
	proofs, contents [historySize]uint64
	next             int
}

// check returns how an answer fits a call that was sent in a transaction state, and
// remembers the answer.
func (h *history) check(state dfstatement.State, statement dfstatement.Statement, answer dfstatement.Answer) fit {
	if answer.Proof != "" {
		proof, content := xxhash.Sum64String(answer.Proof), contentDigest(answer)
		for i, known := range h.proofs {
			if known != proof {
				continue
			}
			if h.contents[i] != content {
				return mismatched
			}
			return repeated
		}
		h.proofs[h.next], h.contents[h.next] = proof, content
		h.next = (h.next + 1) % historySize
	}
	if answer.OK() && !canAnswer(state, statement, answer) {
		return mismatched
	}
	return fits
}

// contentDigest returns a digest of an answer's proof and rows.
func contentDigest(answer dfstatement.Answer) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(answer.Proof)
	for _, row := range answer.Rows {
		_, _ = digest.WriteString("\r\n")
		_, _ = digest.WriteString(row)
	}
	return digest.Sum64()
}

// canAnswer reports whether a success can be the answer to a statement that was sent in
// a transaction state.
func canAnswer(state dfstatement.State, statement dfstatement.Statement, answer dfstatement.Answer) bool {
	proof, rows := answer.Proof != "", len(answer.Rows) > 0
	switch statement.(type) {
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute:
		return proof && answer.State == state
	case dfstatement.Commit:
		return proof && !rows && answer.State == dfstatement.Idle
	case dfstatement.Begin:
		return !proof && !rows && answer.State == dfstatement.InTransaction
	case dfstatement.Rollback:
		return !proof && !rows && answer.State == dfstatement.Idle
	case dfstatement.Set, dfstatement.Prepare, dfstatement.Reset:
		return !proof && !rows && answer.State == state
	case dfstatement.Status, dfstatement.Demote:
		return !proof && rows && answer.State == state
	}
	return true
}

// reportInterval bounds the log lines about answers out of step.
const reportInterval = time.Second

// lastReport is the time of the last such line, in Unix nanoseconds.
var lastReport atomic.Int64

// reportOutOfStep counts an answer out of step of an upstream, and logs one per
// reportInterval.
func reportOutOfStep(upstream dffleet.ID, cause fit, statement dfstatement.Statement) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dragonflygrade_connection_out_of_step_total{cause=%q,upstream=%q}", cause, upstream)).Inc()
	now, last := time.Now().UnixNano(), lastReport.Load()
	if now-last < int64(reportInterval) || !lastReport.CompareAndSwap(last, now) {
		return
	}
	log.Warn().Str("upstream", string(upstream)).Str("cause", string(cause)).Str("statement", fmt.Sprintf("%T", statement)).
		Msg("connection: answer out of step")
}
