// Package dfclassify classifies SQL: whether a statement reads or writes, controls a
// transaction or changes session state. It uses PostgreSQL's parser and treats
// everything that it does not recognise as a write.
//
// A statement classified as a read may still call a function that writes through a
// view, an operator, a cast or an overload of a built-in function. A replica refuses
// such a statement with SQLSTATE 25006 without executing it, and it can then be sent
// to the primary.
package dfclassify

import "dragonflygrade/dfunit"

// Control is the effect of a statement on the transaction.
type Control int

// Kinds of transaction control.
const (
	ControlNone Control = iota
	ControlBegin
	// ControlBeginReadOnly begins a transaction that a replica can execute entirely.
	ControlBeginReadOnly
	ControlCommit
	ControlRollback
	// ControlSavepoint sets, releases or rolls back to a savepoint.
	ControlSavepoint
	// ControlPrepared is a statement of two-phase commit.
	ControlPrepared
	// ControlMixed is a text of several statements of which at least one is
	// transaction control; see Statement.Parts.
	ControlMixed
)

var controlNames = [...]string{"none", "begin", "begin-read-only", "commit", "rollback", "savepoint", "prepared", "mixed"}

// String returns the lower-case name of the kind.
func (c Control) String() string {
	if c < 0 || int(c) >= len(controlNames) {
		return "invalid"
	}
	return controlNames[c]
}

// Effect is a set of changes to the session that outlive the transaction.
type Effect uint16

// Effects on the session. Those in PinningEffects tie the connection to the caller
// until the state ends or is reset. EffectCursor and EffectCopy require nothing. After
// the others the connection must be reset before another caller uses it.
const (
	// EffectSetting is SET without LOCAL, RESET or set_config.
	EffectSetting Effect = 1 << iota
	// EffectTemporary creates a temporary table, view or sequence.
	EffectTemporary
	// EffectAdvisoryLock acquires or releases a session-level advisory lock.
	EffectAdvisoryLock
	// EffectListen is LISTEN or UNLISTEN.
	EffectListen
	// EffectHoldableCursor declares a cursor WITH HOLD, which outlives the transaction.
	EffectHoldableCursor
	// EffectCursor declares, uses or closes a cursor.
	EffectCursor
	// EffectCopy is COPY, which uses the copy sub-protocol.
	EffectCopy
	// EffectPrepare is PREPARE, EXECUTE or DEALLOCATE as SQL.
	EffectPrepare
	// EffectDiscard is DISCARD.
	EffectDiscard
	// EffectUnknownFunction calls a function whose effects are not known.
	EffectUnknownFunction
	// EffectUnknown is DO, CALL, LOAD or text that could not be parsed.
	EffectUnknown
)

// PinningEffects are the effects that pin the connection to the caller.
const PinningEffects = EffectTemporary | EffectAdvisoryLock | EffectListen | EffectHoldableCursor | EffectPrepare

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

// Pins reports whether the effects pin the connection to the caller.
func (e Effect) Pins() bool {
	return e&PinningEffects != 0
}

// Verb is the operation of a statement on a setting.
type Verb int

// Operations on settings.
const (
	VerbNone Verb = iota
	VerbSet
	// VerbSetLocal sets the value until the end of the transaction.
	VerbSetLocal
	VerbReset
	// VerbResetAll is RESET ALL or DISCARD ALL.
	VerbResetAll
	VerbShow
)

var verbNames = [...]string{"none", "set", "set-local", "reset", "reset-all", "show"}

// String returns the lower-case name of the verb.
func (v Verb) String() string {
	if v < 0 || int(v) >= len(verbNames) {
		return "invalid"
	}
	return verbNames[v]
}

// Setting is one SET, RESET or SHOW, or what DISCARD ALL does to settings.
type Setting struct {
	Verb Verb
	// Name is in lower case. It is empty for VerbResetAll and "all" for SHOW ALL.
	Name string
	// Value is the new value; several values are joined by ", ".
	Value string
}

// Part is the classification of one statement within a query text.
type Part struct {
	Class   dfunit.Class
	Control Control
	Effects Effect
	Setting Setting
	// Idempotent is true if executing the statement twice has the same effect on the
	// database and the session as executing it once.
	Idempotent bool
}

// Statement is the classification of a query text, which may consist of several
// statements. It is immutable and shared between callers.
type Statement struct {
	// Class is ClassWrite if any part is a write.
	Class   dfunit.Class
	Control Control
	// Effects is the union of the effects of the parts.
	Effects Effect
	// Idempotent is true if all parts are idempotent.
	Idempotent bool
	// Parts has the statements of the text in order. It is empty if there are none or
	// the text was not parsed.
	Parts []Part
	// Tables has the sorted names of the referenced tables and views as written in the
	// text, without the names of common table expressions.
	Tables []string
	// Fingerprint is equal for texts that differ only in constants, parameters and
	// white space. It is zero if there is none.
	Fingerprint uint64
	// ParseError is the reason why the text was not parsed, or empty.
	ParseError string
}

// Setting returns the setting of a text that is a single SET, RESET, SHOW or
// DISCARD ALL.
func (s *Statement) Setting() (Setting, bool) {
	if len(s.Parts) != 1 || s.Parts[0].Setting.Verb == VerbNone {
		return Setting{}, false
	}
	return s.Parts[0].Setting, true
}
