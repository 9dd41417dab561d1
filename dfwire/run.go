package dfwire

import (
	"bytes"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"dragonflygrade/dfunit"
)

// run hands the collected batch to the session and ends its answer.
func (c *caller) run() error {
	c.busy.Store(true)
	defer c.collected.reset()
	last := c.collected.messages[len(c.collected.messages)-1].Type
	if c.failed {
		return c.runFailed(last)
	}
	if c.takeDeallocate() {
		return c.endDeallocate()
	}
	c.sentError, c.parsed, c.closed = false, 0, 0
	defer func() { c.statements.settle(c.parsed, c.closed) }()
	status, err := c.session.Run(c.ctx, dfunit.Batch{Messages: c.collected.messages}, c)
	if err != nil {
		return c.refuse(status, err, last)
	}
	if status == 0 {
		if c.copyIn && last != 'd' {
			c.copySimple = last == 'Q'
		}
		return c.writer.Flush()
	}
	return c.ready(status)
}

// takeDeallocate drops a prepared statement that a query names by DEALLOCATE.
// The upstream knows it by another name and keeps it for other callers.
func (c *caller) takeDeallocate() bool {
	first := c.collected.messages[0]
	if c.status == 'E' || len(c.collected.messages) != 1 || first.Type != 'Q' {
		return false
	}
	if body := bytes.TrimLeft(first.Body, whiteSpace); len(body) == 0 || body[0]|0x20 != 'd' {
		return false
	}
	name, ok := deallocatedName(textOf(first))
	if !ok {
		return false
	}
	if c.statements.named[name] == nil {
		return false
	}
	delete(c.statements.named, name)
	return true
}

// whiteSpace has what PostgreSQL takes for white space. Others belong to names.
const whiteSpace = " \t\n\r\f\v"

// deallocatedName returns the name in a text that is nothing but a DEALLOCATE of one
// statement.
func deallocatedName(sql string) (string, bool) {
	text := strings.TrimLeft(sql, whiteSpace)
	keyword, name, ok := cutKeyword(text)
	if !ok || !strings.EqualFold(keyword, "deallocate") {
		return "", false
	}
	name = strings.TrimRight(name, whiteSpace+";")
	if second, rest, ok := cutKeyword(name); ok && strings.EqualFold(second, "prepare") {
		name = rest
	}
	if quoted, ok := strings.CutPrefix(name, `"`); ok {
		quoted, ok = strings.CutSuffix(quoted, `"`)
		name = strings.ReplaceAll(quoted, `""`, `"`)
		return name, ok && strings.Count(quoted, `"`) == 2*strings.Count(quoted, `""`)
	}
	if name == "" || strings.ContainsAny(name, whiteSpace+`"';,.()/*-`) || strings.EqualFold(name, "all") {
		return "", false
	}
	return lowerASCII(name), true
}

// cutKeyword cuts a text after its first word. What follows has no white space in front.
func cutKeyword(text string) (keyword, rest string, ok bool) {
	end := strings.IndexAny(text, whiteSpace+`"`)
	if end < 0 {
		return "", "", false
	}
	return text[:end], strings.TrimLeft(text[end:], whiteSpace), true
}

// lowerASCII folds a name as PostgreSQL does in UTF-8, where other letters stay.
func lowerASCII(name string) string {
	folded := []byte(name)
	for i, b := range folded {
		if b >= 'A' && b <= 'Z' {
			folded[i] = b | 0x20
		}
	}
	return string(folded)
}

func (c *caller) endDeallocate() error {
	if err := c.write(&pgproto3.CommandComplete{CommandTag: []byte("DEALLOCATE")}); err != nil {
		return err
	}
	return c.ready(c.status)
}

// Send passes a reply of the session to the caller. ReadyForQuery is dropped,
// because the server writes its own after the reported parameters.
func (c *caller) Send(messageType byte, body []byte) error {
	switch messageType {
	case 'Z':
		return nil
	case 'G':
		c.copyIn = true
	case 'E':
		c.sentError = true
		c.copyIn = false
	case '1':
		c.parsed++
	case '3':
		c.closed++
	case 'C':
		c.copyIn = false
		if tag := string(body); tag == "DEALLOCATE ALL\x00" || tag == "DISCARD ALL\x00" {
			clear(c.statements.named)
		}
	}
	return c.writer.Send(messageType, body)
}

// ready ends a batch and tells the transaction status.
func (c *caller) ready(status byte) error {
	c.status = status
	c.copyIn = false
	c.skipping = false
	body := [1]byte{status}
	if err := c.writer.Send('Z', body[:]); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if status == 'I' {
		c.busy.Store(false)
	}
	return nil
}

// refuse answers a batch that the session could not run.
func (c *caller) refuse(status byte, cause error, last byte) error {
	if err := c.write(errorResponse("ERROR", cause)); err != nil {
		return err
	}
	if status != 'E' && status != 'I' {
		status = c.statusAfterLoss()
	}
	c.failed, c.endBound = status == 'E', false
	return c.endRefused(status, last)
}

// endRefused ends the answer at once, or skips to Sync.
func (c *caller) endRefused(status, last byte) error {
	simpleCopy := c.copyIn && c.copySimple
	c.copyIn = false
	c.status = status
	if last == 'S' || last == 'Q' || simpleCopy {
		return c.ready(status)
	}
	c.skipping = true
	return c.writer.Flush()
}

// statusAfterLoss keeps a lost transaction open for the caller until it ends
// it, unless the batch was about to do so.
func (c *caller) statusAfterLoss() byte {
	if c.status == 'I' {
		return 'I'
	}
	for _, message := range c.collected.messages {
		if endsTransaction(textOf(message)) {
			return 'I'
		}
	}
	return 'E'
}

// skip drops messages after an error until Sync.
func (c *caller) skip(messageType byte) error {
	if messageType != 'S' {
		return nil
	}
	return c.ready(c.status)
}

// textOf returns the SQL of a Query or of a Bind's statement, or nothing.
func textOf(message dfunit.Message) string {
	switch {
	case message.Type == 'Q':
		return string(bytes.TrimSuffix(message.Body, []byte{0}))
	case message.Type == 'B' && message.Statement != nil:
		return message.Statement.SQL
	}
	return ""
}

// endsTransaction reports whether the text is one statement that ends a
// transaction as a whole.
func endsTransaction(sql string) bool {
	words := strings.Fields(strings.ToLower(strings.TrimRight(sql, "; \t\r\n")))
	if len(words) == 0 || len(words) > 4 {
		return false
	}
	switch words[0] {
	case "rollback", "abort", "commit", "end":
	default:
		return false
	}
	for _, word := range words[1:] {
		switch word {
		case "work", "transaction", "and", "no", "chain":
		default:
			return false
		}
	}
	return true
}

// runFailed answers a batch inside a lost transaction. Only the end of the
// transaction is accepted, as PostgreSQL does after an error.
func (c *caller) runFailed(last byte) error {
	for _, message := range c.collected.messages {
		done, err := c.answerFailed(message)
		if err != nil {
			return err
		}
		if done {
			c.failed, c.status = false, 'I'
		}
		if c.sentError {
			c.sentError = false
			return c.endRefused(c.status, last)
		}
	}
	if last != 'S' && last != 'Q' {
		return c.writer.Flush()
	}
	return c.ready(c.status)
}

// answerFailed answers one message inside a lost transaction. It reports
// whether the transaction ended, and sets sentError after an error.
func (c *caller) answerFailed(message dfunit.Message) (bool, error) {
	switch message.Type {
	case 'Q':
		if endsTransaction(textOf(message)) {
			return true, c.write(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		}
		return false, c.abort()
	case 'P':
		if endsTransaction(message.Statement.SQL) {
			return false, c.write(&pgproto3.ParseComplete{})
		}
		return false, c.abort()
	case 'B':
		if endsTransaction(textOf(message)) {
			c.endBound = true
			return false, c.write(&pgproto3.BindComplete{})
		}
		return false, c.abort()
	case 'D':
		if message.Body[0] == 'S' {
			return false, c.write(&pgproto3.ParameterDescription{}, &pgproto3.NoData{})
		}
		return false, c.write(&pgproto3.NoData{})
	case 'E':
		if !c.endBound {
			return false, c.abort()
		}
		return true, c.write(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case 'C':
		return false, c.write(&pgproto3.CloseComplete{})
	}
	return false, nil
}

func (c *caller) abort() error {
	c.sentError = true
	return c.write(plainError("ERROR", stateAborted, "current transaction is aborted, commands ignored until end of transaction block"))
}
