package dfhost

import (
	"encoding/binary"
	"strconv"
	"strings"

	"dragonflygrade/dfclassify"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfunit"
)

// Frontend message types that planning looks at.
const (
	messageQuery    = 'Q'
	messageParse    = 'P'
	messageBind     = 'B'
	messageExecute  = 'E'
	messageSync     = 'S'
	messageFlush    = 'H'
	messageFunction = 'F'
	messageDescribe = 'D'
	messageClose    = 'C'
)

// plan is what a batch asks for, before it has an upstream.
type plan struct {
	class   dfunit.Class
	control dfclassify.Control
	// executes is true if the batch runs a statement, as opposed to preparing one.
	executes bool
	// local is the setting that the host answers itself, if isLocal is true.
	local   dfclassify.Setting
	isLocal bool
	// settings are the changes of the session's settings, in order.
	settings []dfclassify.Setting
	// empty is true if the batch asks for nothing but ReadyForQuery.
	empty    bool
	maxAge   dfclock.Millis
	strong   bool
	priority int
	noRepeat bool
	// text is the first statement, for logs and refusals.
	text string
}

// makePlan classifies the statements of a batch under the rules of a service.
func makePlan(classifier *dfclassify.Classifier, service dfconfig.Service, batch dfunit.Batch) plan {
	p := plan{class: dfunit.ClassRead, empty: true, maxAge: service.SessionMaxAge, priority: service.Priorities.Read}
	first := true
	for _, message := range batch.Messages {
		if message.Type != messageSync && message.Type != messageFlush {
			p.empty = false
		}
		text, executed := statementText(message)
		p.executes = p.executes || executed || message.Type == messageExecute
		if message.Type == messageFunction {
			p.class, p.executes = dfunit.ClassWrite, true
		}
		if text == "" {
			continue
		}
		statement := classifier.Classify(text)
		if first {
			p.text, p.control = text, statement.Control
			p.local, p.isLocal = localSetting(statement)
			first = false
		} else if statement.Control != dfclassify.ControlNone && statement.Control != p.control {
			p.control = dfclassify.ControlMixed
		}
		p.apply(service, statement, text)
	}
	if p.isBeginOnly() || p.control == dfclassify.ControlMixed {
		p.class = dfunit.ClassWrite
	}
	if p.class == dfunit.ClassWrite {
		p.priority = service.Priorities.Write
	}
	return p
}

// isBeginOnly reports whether the batch opens a transaction that may write.
func (p plan) isBeginOnly() bool {
	return p.control == dfclassify.ControlBegin
}

// apply tightens the plan by one statement: the strictest rule of all holds.
func (p *plan) apply(service dfconfig.Service, statement *dfclassify.Statement, text string) {
	if statement.Class == dfunit.ClassWrite {
		p.class = dfunit.ClassWrite
	}
	for _, part := range statement.Parts {
		if statement.Effects&dfclassify.EffectSetting != 0 || part.Setting.Verb == dfclassify.VerbResetAll {
			p.settings = append(p.settings, part.Setting)
		}
	}
	query := dfconfig.Query{Text: text, Tables: statement.Tables, Fingerprint: strconv.FormatUint(statement.Fingerprint, 16)}
	freshness := service.Freshness(query)
	p.strong = p.strong || freshness.Strong
	p.maxAge = freshness.MaxAge
	p.priority = freshness.Priority
	p.noRepeat = p.noRepeat || !service.MayRepeat(query)
}

// statementText returns the SQL text that a message names and whether the
// message runs it.
func statementText(message dfunit.Message) (text string, executed bool) {
	switch message.Type {
	case messageQuery:
		return strings.TrimRight(string(message.Body), "\x00"), true
	case messageParse, messageBind:
		if message.Statement != nil {
			return message.Statement.SQL, false
		}
	}
	return "", false
}

// parameterPrefix marks the settings that hosts keep themselves.
const parameterPrefix = "dragonflygrade."

// localSetting returns a setting that concerns the host and not the upstream.
func localSetting(statement *dfclassify.Statement) (dfclassify.Setting, bool) {
	setting, found := statement.Setting()
	if !found || !strings.HasPrefix(setting.Name, parameterPrefix) && setting.Name != parameterApplication {
		return dfclassify.Setting{}, false
	}
	return setting, true
}

// commandComplete is the body of a CommandComplete message.
func commandComplete(tag string) []byte {
	return append([]byte(tag), 0)
}

// textRow returns the bodies of a RowDescription and a DataRow with one text column.
func textRow(name, value string) (description, row []byte) {
	const oidText = 25
	description = binary.BigEndian.AppendUint16(nil, 1)
	description = append(append(description, name...), 0)
	description = binary.BigEndian.AppendUint32(description, 0)
	description = binary.BigEndian.AppendUint16(description, 0)
	description = binary.BigEndian.AppendUint32(description, oidText)
	description = binary.BigEndian.AppendUint16(description, 0xffff)
	description = binary.BigEndian.AppendUint32(description, 0xffffffff)
	description = binary.BigEndian.AppendUint16(description, 0)
	row = binary.BigEndian.AppendUint16(nil, 1)
	row = binary.BigEndian.AppendUint32(row, uint32(len(value)))
	return description, append(row, value...)
}
