package dfupstream

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfposition"
	"dragonflygrade/dfunit"
)

// identityQuery asks for the identity of the transaction, which is null before
// its first write, and for a log position behind that write.
const identityQuery = "SELECT pg_current_xact_id_if_assigned(), group_position()"

// allRows is the row count of an Execute message that takes every row.
var allRows = []byte{0, 0, 0, 0}

// Identity names an explicit transaction that has written.
type Identity struct {
	// ID is the upstream's transaction identity, or zero.
	ID uint64
	// Position is the log position that was read together with the identity.
	Position dfposition.Position
}

// Identity returns the identity of the transaction that is open, or that was
// open when the connection was lost.
func (c *Conn) Identity() Identity {
	return c.identity
}

// wantsIdentity reports whether the identity query may follow the batch. A
// simple query would end a portal that the caller goes on to read.
func (c *Conn) wantsIdentity(batch dfunit.Batch) bool {
	if !c.batch.options.Identity || c.identity.ID != 0 || !c.batch.inside || c.status != 'T' {
		return false
	}
	last := batch.Messages[len(batch.Messages)-1].Type
	return oneOf(last, "QS") && !c.skipping && !c.mayEnd && !c.batch.mayCopyIn && !c.batch.partial
}

func (c *Conn) appendIdentity() {
	c.out = appendQuery(c.out, identityQuery)
	c.statements.hasUnnamed = false
	c.queue.push(expected{kind: replyIdentity, injected: true})
}

// recordIdentity reads the row of the identity query.
func (c *Conn) recordIdentity(body []byte) error {
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil {
		return eris.Wrap(err, "identity")
	}
	if len(row.Values) != 2 {
		return eris.New("identity has not two columns")
	}
	if row.Values[0] == nil {
		return nil
	}
	id, err := strconv.ParseUint(string(row.Values[0]), 10, 64)
	if err != nil {
		return eris.Wrap(err, "identity")
	}
	position, err := dfposition.ParsePosition(string(row.Values[1]))
	if err != nil {
		return err
	}
	c.identity = Identity{ID: id, Position: position}
	return nil
}

// IsCommit reports whether the batch is nothing but a COMMIT, so that its answer
// is known without the upstream.
func IsCommit(batch dfunit.Batch) bool {
	counts := [256]int{}
	for i := range batch.Messages {
		message := &batch.Messages[i]
		counts[message.Type]++
		if !allowedInCommit(message) {
			return false
		}
	}
	if counts['Q'] == 1 {
		return len(batch.Messages) == 1
	}
	return counts['B'] == 1 && counts['E'] == 1 && counts['S'] == 1 && counts['P'] <= 1
}

// allowedInCommit reports whether a message may be part of a batch that is
// nothing but a COMMIT.
func allowedInCommit(message *dfunit.Message) bool {
	switch message.Type {
	case 'Q':
		return isCommitText(string(bytes.TrimSuffix(message.Body, []byte{0})))
	case 'B':
		return message.Statement != nil && isCommitText(message.Statement.SQL)
	case 'D':
		return len(message.Body) > 0 && message.Body[0] == 'P'
	case 'P', 'E', 'S':
		return true
	}
	return false
}

func isCommitText(sql string) bool {
	words := strings.Fields(strings.ToLower(strings.TrimRight(sql, "; \t\r\n")))
	if len(words) == 0 || len(words) > 2 || (words[0] != "commit" && words[0] != "end") {
		return false
	}
	return len(words) == 1 || words[1] == "work" || words[1] == "transaction"
}

// FinishCommit passes on what is missing of the answer to a lost COMMIT of
// which it is known that it succeeded. The batch must satisfy IsCommit, and the
// connection must have been lost with it.
func (c *Conn) FinishCommit() error {
	if err := c.flushHeld(); err != nil {
		return err
	}
	for !c.queue.empty() {
		due := *c.queue.first()
		c.queue.pop()
		if due.injected {
			continue
		}
		for _, reply := range missingReplies(due) {
			if err := c.deliver(reply.messageType, reply.body); err != nil {
				return err
			}
		}
	}
	return nil
}

// reply is one message for the caller.
type reply struct {
	messageType byte
	body        []byte
}

var (
	replyCommitted = reply{'C', []byte("COMMIT\x00")}
	replyIdle      = reply{'Z', []byte{'I'}}
)

// missingReplies returns the answer of a COMMIT for one message.
func missingReplies(due expected) []reply {
	switch due.kind {
	case replyParse:
		return []reply{{messageType: '1'}}
	case replyBind:
		return []reply{{messageType: '2'}}
	case replyDescribe:
		return []reply{{messageType: 'n'}}
	case replyExecute:
		return []reply{replyCommitted}
	case replySync:
		return []reply{replyIdle}
	case replyQuery:
		return []reply{replyCommitted, replyIdle}
	case replyMade:
		return []reply{{messageType: due.made}}
	}
	return nil
}
