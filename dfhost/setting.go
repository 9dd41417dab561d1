package dfhost

import (
	"strings"

	"dragonflygrade/dfclassify"
	"dragonflygrade/dfunit"
)

// parameterApplication is kept by the host: upstreams see the name that marks
// the slot's connections, by which a later holder ends them.
const parameterApplication = "application_name"

// setting is a setting of the session that differs from the upstream's default.
type setting struct {
	name, value string
}

// settingList has the settings that are set on every connection that serves the
// session, because the next unit may run on another connection.
type settingList struct {
	values []setting
	// initial has the values of the startup message, which RESET restores.
	initial []setting
	// before has the values at the begin of the open transaction.
	before []setting
	// open is true while before is valid.
	open bool
}

func newSettingList(initial []setting) settingList {
	return settingList{values: initial, initial: initial}
}

// with returns the values with one changed. The list itself is not modified.
func with(values []setting, name, value string) []setting {
	return append(without(values, name), setting{name: name, value: value})
}

func without(values []setting, name string) []setting {
	kept := make([]setting, 0, len(values)+1)
	for _, s := range values {
		if s.name != name {
			kept = append(kept, s)
		}
	}
	return kept
}

// changed takes over the settings of a batch after it ended with the status.
func (l *settingList) changed(changes []dfclassify.Setting, failed bool, status byte) {
	if !l.open && status != statusIdle {
		l.before, l.open = l.values, true
	}
	if !failed {
		for _, change := range changes {
			l.apply(change)
		}
	}
	if status == statusIdle {
		l.before, l.open = nil, false
	}
}

// rolledBack restores the settings of the begin of the transaction.
func (l *settingList) rolledBack() {
	if l.open {
		l.values, l.before, l.open = l.before, nil, false
	}
}

func (l *settingList) apply(change dfclassify.Setting) {
	switch change.Verb {
	case dfclassify.VerbSet:
		l.values = with(l.values, change.Name, change.Value)
	case dfclassify.VerbReset:
		l.reset(change.Name)
	case dfclassify.VerbResetAll:
		l.values = l.initial
	}
}

func (l *settingList) reset(name string) {
	l.values = without(l.values, name)
	for _, s := range l.initial {
		if s.name == name {
			l.values = append(l.values, s)
		}
	}
}

// prelude returns the batch with the settings set before its first message.
func (l *settingList) prelude(batch dfunit.Batch) dfunit.Batch {
	if len(l.values) == 0 {
		return batch
	}
	var sql strings.Builder
	sql.WriteString("SELECT ")
	for i, s := range l.values {
		if i > 0 {
			sql.WriteString(", ")
		}
		sql.WriteString("set_config(" + quoted(s.name) + ", " + quoted(s.value) + ", false)")
	}
	message := dfunit.Message{Type: messageQuery, Body: append([]byte(sql.String()), 0)}
	messages := append([]dfunit.Message{message}, batch.Messages...)
	return dfunit.Batch{Messages: messages, Prelude: 1}
}

// quoted is a literal that reads the same under both settings of
// standard_conforming_strings.
func quoted(text string) string {
	text = strings.ReplaceAll(strings.ReplaceAll(text, `\`, `\\`), "'", "''")
	return "E'" + text + "'"
}

// replayable reports whether a change can be repeated on another connection.
func replayable(change dfclassify.Setting) bool {
	return change.Verb != dfclassify.VerbNone && !strings.HasPrefix(change.Name, "session characteristics")
}

// errorWatch notes whether a batch failed.
type errorWatch struct {
	sink   dfunit.Sink
	failed bool
}

// Send passes a message on.
func (w *errorWatch) Send(messageType byte, body []byte) error {
	w.failed = w.failed || messageType == 'E'
	return w.sink.Send(messageType, body)
}
