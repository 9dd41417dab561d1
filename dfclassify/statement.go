// Package dfclassify tells what a statement may do: read or write, control a
// transaction, change session state. It uses PostgreSQL's own parser and takes
// everything that it does not know for a write.
//
// A read may still reach a function that writes through a view, an operator, a
// cast or an overload of a built-in function. A replica refuses such a
// statement with SQLSTATE 25006 and nothing happens; it can then be sent to the
// primary.
package dfclassify

import "dragonflygrade/dfunit"

// Control tells how a statement affects the transaction.
type Control int

// Kinds of transaction control.
const (
	ControlNone Control = iota
	ControlBegin
	// ControlBeginReadOnly begins a transaction that a replica can serve as a whole.
	ControlBeginReadOnly
	ControlCommit
	ControlRollback
	// ControlSavepoint sets, releases or returns to a savepoint.
	ControlSavepoint
	// ControlPrepared is a statement of two-phase commit.
	ControlPrepared
	// ControlMixed is a text of several statements with transaction control
	// among them; see Parts.
	ControlMixed
)

var controlNames = [...]string{"none", "begin", "begin-read-only", "commit", "rollback", "savepoint", "prepared", "mixed"}

// String names the kind.
func (c Control) String() string {
	if c < 0 || int(c) >= len(controlNames) {
		return "invalid"
	}
	return controlNames[c]
}

// Effect is a set of changes to the session that outlive the transaction.
type Effect uint16

// Effects on the session. Setting, Unknown and Function need a reset of the
// connection before another caller uses it; the others tie the connection to
// the caller until the state ends or is reset.
const (
	// EffectSetting is SET without LOCAL, RESET or set_config.
	EffectSetting Effect = 1 << iota
	// EffectTemporary creates a temporary table, view or sequence.
	EffectTemporary
	// EffectAdvisory takes or releases an advisory lock of the session.
	EffectAdvisory
	// EffectListen is LISTEN or UNLISTEN.
	EffectListen
	// EffectHold declares a cursor that outlives the transaction.
	EffectHold
	// EffectCursor declares, uses or closes a cursor.
	EffectCursor
	// EffectCopy transfers data outside of the usual sequence of messages.
	EffectCopy
	// EffectPrepare is PREPARE, EXECUTE or DEALLOCATE as SQL.
	EffectPrepare
	// EffectDiscard is DISCARD.
	EffectDiscard
	// EffectFunction calls a function that is not known.
	EffectFunction
	// EffectUnknown is DO, CALL, LOAD or text that could not be parsed.
	EffectUnknown
)

// EffectsThatPin tie the connection to the caller.
const EffectsThatPin = EffectTemporary | EffectAdvisory | EffectListen | EffectHold | EffectPrepare

var effectNames = [...]string{
	"setting", "temporary", "advisory", "listen", "hold", "cursor", "copy", "prepare", "discard", "function", "unknown",
}

// String lists the effects, joined by "+".
func (e Effect) String() string {
	text := ""
	for i, name := range effectNames {
		if e&(1<<i) == 0 {
			continue
		}
		if text != "" {
			text += "+"
		}
		text += name
	}
	if text == "" {
		return "none"
	}
	return text
}

// Pins reports whether the connection belongs to the caller from now on.
func (e Effect) Pins() bool {
	return e&EffectsThatPin != 0
}

// Verb is what a statement does with a setting.
type Verb int

// Verbs on settings.
const (
	VerbNone Verb = iota
	VerbSet
	// VerbSetLocal is in force until the end of the transaction.
	VerbSetLocal
	VerbReset
	VerbResetAll
	VerbShow
)

var verbNames = [...]string{"none", "set", "set-local", "reset", "reset-all", "show"}

// String names the verb.
func (v Verb) String() string {
	if v < 0 || int(v) >= len(verbNames) {
		return "invalid"
	}
	return verbNames[v]
}

// Setting is one SET, RESET or SHOW.
type Setting struct {
	Verb Verb
	// Name is in lower case, empty for RESET ALL, "all" for SHOW ALL.
	Name string
	// Value is the new value; several values are joined by ", ".
	Value string
}

// Part is one statement of a text.
type Part struct {
	Class   dfunit.Class
	Control Control
	Effects Effect
	Setting Setting
	// Repeatable is true if running the statement twice differs from once
	// neither for the database nor for the session.
	Repeatable bool
}

// Statement is the classification of one text. It is immutable and shared
// between callers.
type Statement struct {
	// Class is write if any part is a write.
	Class   dfunit.Class
	Control Control
	// Effects joins the effects of the parts.
	Effects Effect
	// Repeatable is true if all parts are.
	Repeatable bool
	// Parts are the statements of the text in order; empty if it has none or
	// could not be parsed.
	Parts []Part
	// Tables are the tables and views touched, sorted, as written, without
	// names of common table expressions.
	Tables []string
	// Fingerprint is equal for texts that differ in constants, parameters and
	// white space only. Zero means that there is none.
	Fingerprint uint64
	// Fault says why the text was not parsed, or is empty.
	Fault string
}

// Setting returns the setting of a text that is a single SET, RESET or SHOW.
func (s *Statement) Setting() (Setting, bool) {
	if len(s.Parts) != 1 || s.Parts[0].Setting.Verb == VerbNone {
		return Setting{}, false
	}
	return s.Parts[0].Setting, true
}
