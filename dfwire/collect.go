package dfwire

import (
	"bytes"
	"encoding/binary"

	"dragonflygrade/dfframe"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// collector copies the messages of a batch into one buffer.
type collector struct {
	messages []dfunit.Message
	arena    []byte
}

func (c *collector) empty() bool {
	return len(c.messages) == 0
}

// add copies the body, which the reader will overwrite.
func (c *collector) add(messageType byte, body []byte, statement *dfunit.Statement) {
	start := len(c.arena)
	c.arena = append(c.arena, body...)
	kept := c.arena[start:len(c.arena):len(c.arena)]
	c.messages = append(c.messages, dfunit.Message{Type: messageType, Body: kept, Statement: statement})
}

// reset forgets the batch and keeps the buffers unless they are large.
func (c *collector) reset() {
	clear(c.messages)
	c.messages = c.messages[:0]
	c.arena = c.arena[:0]
	if cap(c.arena) > keepArenaBytes {
		c.arena = nil
	}
}

// prepared has the statements of one caller.
type prepared struct {
	named   map[string]*dfunit.Statement
	unnamed *dfunit.Statement
	// parses and closes are the changes of the batch that is collected.
	parses, closes []change
}

// change is the effect of a Parse or Close message, which is taken back if the
// upstream does not carry the message out.
type change struct {
	name string
	// before is the statement of that name before the message, or nil.
	before *dfunit.Statement
}

// settle takes back the changes that were not carried out, and begins a batch.
func (p *prepared) settle(parsed, closed int) {
	p.takeBack(p.parses, parsed)
	p.takeBack(p.closes, closed)
	p.parses, p.closes = p.parses[:0], p.closes[:0]
}

func (p *prepared) takeBack(changes []change, done int) {
	for i := len(changes) - 1; i >= done; i-- {
		if changes[i].name == "" {
			continue
		}
		if changes[i].before == nil {
			delete(p.named, changes[i].name)
			continue
		}
		p.named[changes[i].name] = changes[i].before
	}
}

// parse stores the statement of a Parse message, unless its name is taken. An
// equal statement is reused.
func (p *prepared) parse(body []byte) (statement *dfunit.Statement, duplicate bool, err error) {
	name, rest, ok := dfframe.CutString(body)
	if !ok {
		return nil, false, malformed("Parse")
	}
	sql, rest, ok := dfframe.CutString(rest)
	if !ok || len(rest) < 2 || len(rest) != 2+4*int(binary.BigEndian.Uint16(rest)) {
		return nil, false, malformed("Parse")
	}
	oids := rest[2:]
	known := p.find(name)
	if len(name) > 0 {
		p.parses = append(p.parses, change{name: string(name), before: known})
	} else {
		p.parses = append(p.parses, change{})
	}
	if known != nil && sameStatement(known, sql, oids) {
		return known, len(name) > 0, nil
	}
	statement = &dfunit.Statement{SQL: string(sql), ParameterOIDs: make([]uint32, len(oids)/4)}
	for i := range statement.ParameterOIDs {
		statement.ParameterOIDs[i] = binary.BigEndian.Uint32(oids[4*i:])
	}
	if len(name) == 0 {
		p.unnamed = statement
		return statement, false, nil
	}
	if known != nil {
		return statement, true, nil
	}
	if len(p.named) >= maxStatements {
		return nil, false, dfresult.NewError(dfresult.MessageTooLarge, "more than %d prepared statements", maxStatements)
	}
	p.named[string(name)] = statement
	return statement, false, nil
}

func sameStatement(known *dfunit.Statement, sql, oids []byte) bool {
	if len(known.ParameterOIDs)*4 != len(oids) || known.SQL != string(sql) {
		return false
	}
	for i, oid := range known.ParameterOIDs {
		if binary.BigEndian.Uint32(oids[4*i:]) != oid {
			return false
		}
	}
	return true
}

// find returns nil for an unknown name.
func (p *prepared) find(name []byte) *dfunit.Statement {
	if len(name) == 0 {
		return p.unnamed
	}
	return p.named[string(name)]
}

// bind returns the statement of a Bind message.
func (p *prepared) bind(body []byte) (*dfunit.Statement, error) {
	_, rest, ok := dfframe.CutString(body)
	if !ok {
		return nil, malformed("Bind")
	}
	name, _, ok := dfframe.CutString(rest)
	if !ok {
		return nil, malformed("Bind")
	}
	return p.find(name), nil
}

// target returns the statement that a Describe or Close message names.
func (p *prepared) target(messageType byte, body []byte) (*dfunit.Statement, error) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' || body[len(body)-1] != 0 {
		return nil, malformed("Describe or Close")
	}
	if body[0] == 'P' {
		if messageType == 'C' {
			p.closes = append(p.closes, change{})
		}
		return nil, nil
	}
	name := body[1 : len(body)-1]
	statement := p.find(name)
	if messageType == 'C' {
		p.closes = append(p.closes, change{name: string(name), before: statement})
		p.forget(name)
		return nil, nil
	}
	return statement, nil
}

func (p *prepared) forget(name []byte) {
	if len(name) == 0 {
		p.unnamed = nil
		return
	}
	delete(p.named, string(name))
}

func malformed(message string) error {
	return dfresult.NewError(dfresult.ProtocolViolation, "%s message is malformed", message)
}

// take handles one message. An error ends the connection.
func (c *caller) take(messageType byte, body []byte) error {
	if oneOf(messageType, "dcf") {
		return c.takeCopy(messageType, body)
	}
	if c.copyIn {
		return c.takeDuringCopy(messageType, body)
	}
	switch messageType {
	case 'Q':
		return c.takeQuery(body)
	case 'P', 'B', 'D', 'C', 'E', 'H', 'S':
		return c.takeExtended(messageType, body)
	case 'F':
		return dfresult.NewError(dfresult.FeatureUnsupported, "function calls by protocol message")
	}
	return dfresult.NewError(dfresult.ProtocolViolation, "message type %q is not known", messageType)
}

// takeQuery runs a Query without a copy if nothing was collected before it.
func (c *caller) takeQuery(body []byte) error {
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return malformed("Query")
	}
	if c.skipping {
		return nil
	}
	// A simple query ends the unnamed statement.
	c.statements.unnamed = nil
	if !c.collected.empty() {
		c.collected.add('Q', body, nil)
		return c.run()
	}
	c.collected.messages = append(c.collected.messages, dfunit.Message{Type: 'Q', Body: body})
	return c.run()
}

func (c *caller) takeExtended(messageType byte, body []byte) error {
	if c.skipping {
		return c.skip(messageType)
	}
	statement, duplicate, err := c.statementOf(messageType, body)
	if err != nil {
		return err
	}
	c.collected.add(messageType, body, statement)
	c.collected.messages[len(c.collected.messages)-1].Duplicate = duplicate
	if messageType == 'S' || messageType == 'H' {
		return c.run()
	}
	if len(c.collected.arena) > c.server.config.MaxBatchBytes {
		c.collected.add('H', nil, nil)
		return c.run()
	}
	return nil
}

// statementOf returns the statement that a message names, and whether it is a
// Parse whose name is taken.
func (c *caller) statementOf(messageType byte, body []byte) (statement *dfunit.Statement, duplicate bool, err error) {
	switch messageType {
	case 'P':
		return c.statements.parse(body)
	case 'B':
		statement, err = c.statements.bind(body)
	case 'D', 'C':
		statement, err = c.statements.target(messageType, body)
	case 'E':
		if bytes.IndexByte(body, 0) != len(body)-5 {
			err = malformed("Execute")
		}
	case 'S', 'H':
		if len(body) != 0 {
			err = malformed("Sync or Flush")
		}
	}
	return statement, false, err
}

// takeCopy hands COPY data over in chunks. Data after a failed COPY is dropped.
func (c *caller) takeCopy(messageType byte, body []byte) error {
	if !c.copyIn {
		return nil
	}
	c.collected.add(messageType, body, nil)
	if messageType != 'd' && c.copySimple {
		return c.run()
	}
	if messageType == 'd' && (len(c.collected.arena) >= copyChunkBytes || c.reader.Buffered() == 0) {
		return c.run()
	}
	return nil
}

// takeDuringCopy handles what is not COPY data. Sync and Flush are ignored
// before the end of the data, as PostgreSQL does.
func (c *caller) takeDuringCopy(messageType byte, body []byte) error {
	if messageType != 'S' && messageType != 'H' {
		return dfresult.NewError(dfresult.ProtocolViolation, "message type %q during COPY", messageType)
	}
	if c.collected.empty() || c.collected.messages[len(c.collected.messages)-1].Type == 'd' {
		return nil
	}
	c.collected.add(messageType, body, nil)
	return c.run()
}

func oneOf(messageType byte, types string) bool {
	for i := 0; i < len(types); i++ {
		if types[i] == messageType {
			return true
		}
	}
	return false
}
