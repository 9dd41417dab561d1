package dfupstream

import (
	"bytes"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfframe"
	"dragonflygrade/dfunit"
)

// encode writes the batch into the output buffer, prepares missing statements
// and queues the due answers. On an error nothing is queued.
func (c *Conn) encode(batch dfunit.Batch) error {
	mark := c.queue.length()
	c.out = c.out[:0]
	c.evict()
	for i := range batch.Messages {
		if i < batch.Prelude {
			c.encodePrelude(&batch.Messages[i])
			continue
		}
		if err := c.encodeMessage(&batch.Messages[i]); err != nil {
			c.queue.truncate(mark)
			c.statements.forgetPending()
			return err
		}
	}
	return nil
}

// evict closes old statements while no portal can depend on them.
func (c *Conn) evict() {
	if c.status != 'I' || c.unfinished {
		return
	}
	for range c.statements.surplus() {
		c.out = appendNamed(c.out, 'C', c.statements.evict())
		c.queue.push(expected{kind: replyClose, injected: true})
	}
	c.statements.outdated = false
}

func (c *Conn) encodeMessage(message *dfunit.Message) error {
	if c.skipping && message.Type != 'S' {
		return nil
	}
	switch message.Type {
	case 'Q':
		if c.notes() {
			c.note(string(bytes.TrimSuffix(message.Body, []byte{0})))
		}
		c.statements.hasUnnamed = false
		c.forward(message, replyQuery)
	case 'P':
		return c.encodeParse(message)
	case 'B':
		return c.encodeBind(message)
	case 'D', 'C':
		return c.encodeTarget(message)
	case 'E':
		c.noteExecute(message.Body)
		c.forward(message, replyExecute)
	case 'S':
		c.skipping = false
		c.forward(message, replySync)
	case 'F':
		c.mayEnd = true
		c.forward(message, replyFunction)
	case 'H', 'd', 'c', 'f':
		c.out = dfframe.Append(c.out, message.Type, message.Body)
	default:
		return eris.Errorf("message type %q is not known", message.Type)
	}
	return nil
}

// encodePrelude sends a query of the host, of which the caller sees only errors.
func (c *Conn) encodePrelude(message *dfunit.Message) {
	c.state = max(c.state, Reset)
	c.statements.hasUnnamed = false
	c.out = dfframe.Append(c.out, message.Type, message.Body)
	c.queue.push(expected{kind: replyQuery, injected: true})
}

// forward sends the message as it is.
func (c *Conn) forward(message *dfunit.Message, kind replyKind) {
	c.out = dfframe.Append(c.out, message.Type, message.Body)
	c.queue.push(expected{kind: kind})
}

// notes reports whether the text of statements is of interest now.
func (c *Conn) notes() bool {
	return c.config.Classify != nil || c.status != 'I' || c.batch.options.Position
}

// note records what the text may do to the session and the transaction.
func (c *Conn) note(sql string) {
	if c.config.Classify != nil {
		c.state = max(c.state, c.config.Classify(sql))
	}
	if c.status != 'I' && !c.mayEnd {
		c.mayEnd = mayEnd(sql)
	}
	if c.batch.options.Position && !c.batch.mayCopyIn {
		c.batch.mayCopyIn = mayCopyIn(sql)
	}
}

// noteExecute treats a portal that was bound in an earlier batch as one that
// may end the transaction or take COPY data, because its text is no longer known.
func (c *Conn) noteExecute(body []byte) {
	portal, rows, _ := dfframe.CutString(body)
	if !bytes.Equal(rows, allRows) {
		c.batch.partial = true
	}
	if !c.batch.bound || len(portal) > 0 {
		c.mayEnd = true
		c.batch.mayCopyIn = true
	}
}

func (c *Conn) encodeParse(message *dfunit.Message) error {
	name, _, ok := dfframe.CutString(message.Body)
	if !ok || message.Statement == nil {
		return eris.New("Parse message is malformed")
	}
	key := c.statements.key(message.Statement)
	if len(name) == 0 {
		c.statements.unnamed, c.statements.hasUnnamed = key, true
		c.out = dfframe.Append(c.out, 'P', message.Body)
		c.queue.push(expected{kind: replyParse, key: key})
		return nil
	}
	if message.Duplicate {
		c.encodeDuplicate(message.Statement)
		return nil
	}
	if known, ok := c.statements.lookup(key); ok {
		c.encodeKnown(known, message.Statement)
		return nil
	}
	c.prepare(key, message.Statement, false)
	return nil
}

// encodeKnown answers a Parse for a statement that is prepared already. In a
// failed transaction the upstream refuses it unless it may end the transaction.
func (c *Conn) encodeKnown(known *preparedState, statement *dfunit.Statement) {
	if c.status != 'E' || mayEnd(statement.SQL) {
		c.queue.push(expected{kind: replyMade, made: '1'})
		return
	}
	c.out = appendParse(c.out, known.name, statement)
	c.queue.push(expected{kind: replyParse})
}

// duplicateKey is the key of an empty statement whose name is taken on purpose.
var duplicateKey = statementKey{}

// encodeDuplicate makes the upstream refuse a Parse because of its name, as the
// caller's connection has one of that name but this one may not.
func (c *Conn) encodeDuplicate(statement *dfunit.Statement) {
	taken, ok := c.statements.lookup(duplicateKey)
	if !ok {
		c.prepare(duplicateKey, &dfunit.Statement{}, true)
		taken, _ = c.statements.lookup(duplicateKey)
	}
	c.out = appendParse(c.out, taken.name, statement)
	c.queue.push(expected{kind: replyParse})
}

// prepare sends a Parse for a named statement.
func (c *Conn) prepare(key statementKey, statement *dfunit.Statement, injected bool) string {
	prepared := c.statements.add(key)
	c.out = appendParse(c.out, prepared.name, statement)
	c.queue.push(expected{kind: replyParse, injected: injected, key: key, named: true})
	return prepared.name
}

// upstreamName returns the name of a statement on this connection, and prepares
// the statement if it is missing.
func (c *Conn) upstreamName(name []byte, statement *dfunit.Statement) string {
	if statement == nil {
		return foreignName(name)
	}
	key := c.statements.key(statement)
	if len(name) > 0 {
		if prepared, ok := c.statements.lookup(key); ok {
			return prepared.name
		}
		return c.prepare(key, statement, true)
	}
	if !c.statements.hasUnnamed || c.statements.unnamed != key {
		c.statements.unnamed, c.statements.hasUnnamed = key, true
		c.out = appendParse(c.out, "", statement)
		c.queue.push(expected{kind: replyParse, injected: true, key: key})
	}
	return ""
}

func (c *Conn) encodeBind(message *dfunit.Message) error {
	_, rest, ok := dfframe.CutString(message.Body)
	if !ok {
		return eris.New("Bind message is malformed")
	}
	name, _, ok := dfframe.CutString(rest)
	if !ok {
		return eris.New("Bind message is malformed")
	}
	if message.Statement != nil {
		c.note(message.Statement.SQL)
	}
	c.batch.bound = true
	upstreamName := c.upstreamName(name, message.Statement)
	c.out = appendBind(c.out, message.Body, upstreamName)
	c.queue.push(expected{kind: replyBind})
	return nil
}

// encodeTarget handles Describe and Close, which name a statement or a portal.
func (c *Conn) encodeTarget(message *dfunit.Message) error {
	if len(message.Body) < 2 {
		return eris.New("message is too short")
	}
	name, _, ok := dfframe.CutString(message.Body[1:])
	if !ok {
		return eris.New("name is not terminated")
	}
	kind := replyDescribe
	if message.Type == 'C' {
		kind = replyClose
	}
	switch {
	case message.Body[0] == 'P':
		c.forward(message, kind)
	case message.Body[0] != 'S':
		return eris.New("neither a statement nor a portal is named")
	case message.Type == 'C':
		// Other callers may use the same statement, so it stays prepared.
		c.queue.push(expected{kind: replyMade, made: '3'})
	default:
		upstreamName := c.upstreamName(name, message.Statement)
		c.out = appendNamed(c.out, 'D', upstreamName)
		c.queue.push(expected{kind: replyDescribe})
	}
	return nil
}
