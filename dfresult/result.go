// Package dfresult defines the numbered result codes that callers and operators see.
// docs/RESULTS.md describes each code.
package dfresult

import (
	"errors"
	"fmt"
	"slices"

	"dragonflygrade/dfclock"
)

// Outcome states what is known about the effect of a request.
type Outcome int

const (
	// Done means that the request ran and is durable.
	Done Outcome = iota + 1
	// NotRun means that the request had no effect and may be repeated.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Code is the number of a result. Numbers are stable and never reused.
type Code int

// Result codes. 1xxx: requests; 2xxx: sessions; 3xxx: callers and protocol;
// 4xxx: configuration; 5xxx: control.
const (
	OK Code = 0

	QueueFull       Code = 1001
	DeadlinePassed  Code = 1002
	NoPrimary       Code = 1003
	NoFreshUpstream Code = 1004
	NoConnection    Code = 1005
	NoSlotHolder    Code = 1006
	HostDraining    Code = 1007
	PeerUnreachable Code = 1008
	NeedsPrimary    Code = 1009
	ConnectionLimit Code = 1010
	WrongUpstream   Code = 1011
	OverLimit       Code = 1012
	CallerLeft      Code = 1013

	CommitUnknown     Code = 1101
	ConnectionLost    Code = 1102
	TransactionLost   Code = 1103
	RepeatRefused     Code = 1104
	NotMajority       Code = 1105
	AnswerTooLarge    Code = 1106
	PrimaryChanged    Code = 1107
	UpstreamRefused   Code = 1108
	IdempotencyReplay Code = 1109
	StatementTimeout  Code = 1110
	StatementFailed   Code = 1111
	StatementUnknown  Code = 1112
	SessionRefused    Code = 1113

	TokenMalformed    Code = 2001
	TokenSignature    Code = 2002
	TokenKeyUnknown   Code = 2003
	TokenService      Code = 2004
	PositionDiscarded Code = 2005

	AuthenticationFailed Code = 3001
	ServiceUnknown       Code = 3002
	ProtocolViolation    Code = 3003
	MessageTooLarge      Code = 3004
	FeatureUnsupported   Code = 3005
	TLSRequired          Code = 3006
	TooManyCallers       Code = 3007

	ConfigurationInvalid  Code = 4001
	ConfigurationConflict Code = 4002
	ConfigurationAbsent   Code = 4003
	ConfigurationUnknown  Code = 4004

	PlatformUnavailable Code = 5001
	LeaseLapsed         Code = 5002
	SlotLost            Code = 5003
	TermSuperseded      Code = 5004
	Internal            Code = 5999
)

// description holds the fixed properties of a result code.
type description struct {
	outcome  Outcome
	sqlstate string
	text     string
}

var descriptions = map[Code]description{
	OK:                    {Done, "00000", "done"},
	QueueFull:             {NotRun, "53400", "the queue of the service is full"},
	DeadlinePassed:        {NotRun, "57014", "the deadline passed before the request ran"},
	NoPrimary:             {NotRun, "57P03", "the database has no confirmed primary"},
	NoFreshUpstream:       {NotRun, "57P03", "no upstream is fresh enough for the read"},
	NoConnection:          {NotRun, "53300", "no connection to an upstream became free"},
	NoSlotHolder:          {NotRun, "57P03", "no host with a slot for the database is reachable"},
	HostDraining:          {NotRun, "57P01", "the host is shutting down"},
	PeerUnreachable:       {NotRun, "57P03", "the peer host could not be reached"},
	NeedsPrimary:          {NotRun, "25006", "the statement writes and a replica refused it"},
	ConnectionLimit:       {NotRun, "53300", "the upstream has reached its limit of connections"},
	WrongUpstream:         {NotRun, "57P03", "another upstream answers at the address"},
	OverLimit:             {NotRun, "53400", "the organisation has reached its limit"},
	CallerLeft:            {NotRun, "57014", "the caller closed its connection before the request ran"},
	CommitUnknown:         {Unknown, "40003", "the commit was sent and its result is not known"},
	ConnectionLost:        {Unknown, "08007", "the connection to the upstream was lost during the request"},
	TransactionLost:       {NotRun, "40001", "the transaction was rolled back because its connection was lost"},
	RepeatRefused:         {Unknown, "40003", "a request marked not to be repeated was already sent once"},
	NotMajority:           {Unknown, "40003", "no majority of upstreams confirmed the commit in time"},
	AnswerTooLarge:        {Unknown, "54000", "the answer exceeds the buffer limit"},
	PrimaryChanged:        {Unknown, "40003", "the primary changed during the commit"},
	UpstreamRefused:       {NotRun, "57P03", "the upstream refused the connection"},
	IdempotencyReplay:     {Done, "00000", "the request ran before; the first result is returned"},
	StatementTimeout:      {Unknown, "57014", "the statement did not end in time"},
	StatementFailed:       {Unknown, "58000", "the statement ran and failed"},
	StatementUnknown:      {NotRun, "26000", "no statement is prepared under the name"},
	SessionRefused:        {NotRun, "58000", "the upstream refused the values or prepared statements of the session"},
	TokenMalformed:        {NotRun, "22023", "the session token is malformed"},
	TokenSignature:        {NotRun, "22023", "the session token's signature is wrong"},
	TokenKeyUnknown:       {NotRun, "22023", "the session token was signed with a key that is not in force"},
	TokenService:          {NotRun, "22023", "the session token belongs to another service"},
	PositionDiscarded:     {NotRun, "58000", "a write that the session depends on is no longer in the log"},
	AuthenticationFailed:  {NotRun, "28P01", "authentication failed"},
	ServiceUnknown:        {NotRun, "3D000", "the service does not exist or the caller may not use it"},
	ProtocolViolation:     {NotRun, "08P01", "the message violates the protocol"},
	MessageTooLarge:       {NotRun, "54000", "the message exceeds the size limit"},
	FeatureUnsupported:    {NotRun, "0A000", "the feature is not supported through the proxy"},
	TLSRequired:           {NotRun, "28000", "the host requires TLS"},
	TooManyCallers:        {NotRun, "53300", "the host has reached its limit of caller connections"},
	ConfigurationInvalid:  {NotRun, "F0000", "the service files are invalid"},
	ConfigurationConflict: {NotRun, "F0000", "another publication changed the same service"},
	ConfigurationAbsent:   {NotRun, "57P03", "the host has no configuration yet"},
	ConfigurationUnknown:  {Unknown, "F0000", "the publication was sent and its result is not known"},
	PlatformUnavailable:   {NotRun, "58030", "the platform does not answer"},
	LeaseLapsed:           {NotRun, "57P03", "the lease lapsed"},
	SlotLost:              {NotRun, "57P03", "the host no longer holds the slot"},
	TermSuperseded:        {NotRun, "55000", "a higher term was accepted"},
	Internal:              {Unknown, "XX000", "internal error"},
}

// Outcome returns the outcome that the code implies, or zero for an unknown code.
func (c Code) Outcome() Outcome {
	return descriptions[c].outcome
}

// SQLState returns the SQLSTATE that drivers see.
func (c Code) SQLState() string {
	return descriptions[c].sqlstate
}

// Text returns the fixed message of the code.
func (c Code) Text() string {
	return descriptions[c].text
}

// Codes returns every code that has a description, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(descriptions))
	for code := range descriptions {
		codes = append(codes, code)
	}
	return codes
}

// Error is a result code with the details of one occurrence.
type Error struct {
	Code Code
	// Detail is a sentence without a final full stop, or empty.
	Detail string
	// RetryAfter is the suggested delay before a retry. Zero means no suggestion.
	RetryAfter dfclock.Millis
}

// NewError returns an error with a formatted detail.
func NewError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy with a suggested delay before a retry.
func (e *Error) WithRetryAfter(delay dfclock.Millis) *Error {
	next := *e
	next.RetryAfter = delay
	return &next
}

// Error returns the number, the fixed message and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("DF%04d %s", e.Code, e.Code.Text())
	}
	return fmt.Sprintf("DF%04d %s: %s", e.Code, e.Code.Text(), e.Detail)
}

// FromError returns the Error in err's chain, or a new one with the given code and the
// text of err.
func FromError(err error, code Code) *Error {
	var result *Error
	if errors.As(err, &result) {
		return result
	}
	return NewError(code, "%v", err)
}

// HasCode reports whether err's chain has an Error with one of the codes.
func HasCode(err error, codes ...Code) bool {
	var result *Error
	return errors.As(err, &result) && slices.Contains(codes, result.Code)
}

// IsCommitOutcomeUnknown reports whether err leaves it open whether a commit took
// effect. The transaction has ended in either case.
func IsCommitOutcomeUnknown(err error) bool {
	return HasCode(err, CommitUnknown, NotMajority, PrimaryChanged)
}
