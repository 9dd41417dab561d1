package dfconnection

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dffleet"
	"dragonflygrade/dfstatement"
)

const (
	// historySize is how many answers a connection remembers. It covers a repeated answer
	// that arrives 300 ms late at a typical statement time of 5 ms.
	historySize = 64
	// failureHistorySize is the same for failures, which are rarer.
	failureHistorySize = 16
)

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

// errOutOfStep means that an answer belongs to another call than the one that waits.
var errOutOfStep = eris.New("connection: answer out of step")

// history has digests of the newest answers on a connection. An upstream uses no proof
// twice.
type history struct {
	// proofs are the digests of the proofs, contents those of the whole answers.
	proofs, contents [historySize]uint64
	next             int
	// failures are the digests of answers that report a failure.
	failures    [failureHistorySize]uint64
	nextFailure int
}

// addFailure remembers a failure and reports whether the same one was received before.
// It may then be a repeated answer, which has the same log position as well.
func (h *history) addFailure(answer dfstatement.Answer) (seen bool) {
	digest := xxhash.Sum64String(fmt.Sprintf("%s %c %v", answer.Detail, answer.State, answer.Position))
	if slices.Contains(h.failures[:], digest) {
		return true
	}
	h.failures[h.nextFailure] = digest
	h.nextFailure = (h.nextFailure + 1) % failureHistorySize
	return false
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
	if answer.OK() && !canAnswer(state, statement, answer) || !answer.OK() && !canFail(state, statement, answer) {
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

// canFail reports whether a failure can be the answer to a statement that was sent in a
// transaction state. Only the opening of a transaction can leave a failed one behind.
func canFail(state dfstatement.State, statement dfstatement.Statement, answer dfstatement.Answer) bool {
	_, begins := statement.(dfstatement.Begin)
	return begins || state != dfstatement.Idle || answer.State == dfstatement.Idle
}

// receive reads the answer to a call. A repeated answer is dropped: the stream is then in
// step again.
func (c *Conn) receive(statement dfstatement.Statement) (dfstatement.Answer, error) {
	for {
		answer, err := c.transport.Receive()
		if err != nil {
			return answer, eris.Wrap(err, "connection: receive")
		}
		found := c.history.check(c.state, statement, answer)
		if found == fits {
			c.recordState(statement, answer)
			c.failedAlike = !answer.OK() && c.history.addFailure(answer)
			return answer, nil
		}
		c.outOfStep = true
		reportOutOfStep(c.upstream, found, statement)
		if found == mismatched {
			return answer, errOutOfStep
		}
	}
}

// dropUnread reads the data that arrived since the newest answer. Only answers that are
// repeated may be dropped. Outside a transaction, the pool has found that nothing had
// arrived.
func (c *Conn) dropUnread() error {
	for c.transport.Pending() || c.state != dfstatement.Idle && c.hasUnread() {
		answer, err := c.transport.Receive()
		if err != nil {
			return eris.Wrap(err, "connection: receive")
		}
		c.outOfStep = true
		found := c.history.check(c.state, nil, answer)
		reportOutOfStep(c.upstream, found, nil)
		if found != repeated {
			return errOutOfStep
		}
	}
	return nil
}

// confirmFailure checks that the newest answer, a failure, is not a repeated one: the call
// may then have run. If it is, the upstream's answer to the call comes before that to the
// reset, and has another form.
func (c *Conn) confirmFailure(call dfstatement.Call) error {
	if !c.failedAlike {
		return nil
	}
	if c.state != dfstatement.Idle {
		if _, commits := call.Statement.(dfstatement.Commit); commits {
			return errOutOfStep
		}
		// The transaction is rolled back, with the same check of its answer.
		return nil
	}
	if !call.MinPosition.IsZero() {
		// A read or an opening is tried elsewhere, whether it ran or not. Nearly all repeated
		// failures are LAGGING; the reset is sent with the next statement, without a round
		// trip of its own.
		c.stateUnknown = true
		return nil
	}
	reset := dfstatement.Reset{}
	if err := c.transport.Send([]dfstatement.Call{{Statement: reset}}); err != nil {
		return eris.Wrap(err, "connection: send")
	}
	c.values, c.plans, c.stateUnknown = map[string]string{}, map[dfstatement.Plan]string{}, false
	confirmation, err := c.receive(reset)
	if err != nil {
		return err
	}
	if !confirmation.OK() {
		c.outOfStep = true
		reportOutOfStep(c.upstream, mismatched, reset)
		return errOutOfStep
	}
	return nil
}

// inStep reports whether the connection may run statements of another caller.
func (c *Conn) inStep() bool {
	return !c.outOfStep && !c.transport.Pending()
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
