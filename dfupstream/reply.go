package dfupstream

// replyKind is the kind of answer that a sent message gets.
type replyKind int

const (
	replyParse replyKind = iota + 1
	replyBind
	replyDescribe
	replyExecute
	replyClose
	// replySync ends with ReadyForQuery.
	replySync
	// replyQuery is any number of results and ReadyForQuery.
	replyQuery
	// replyFunction is the answer to a function call.
	replyFunction
	// replyPosition is the answer to the position query of the proxy.
	replyPosition
	// replyIdentity is the answer to the identity query of the proxy.
	replyIdentity
	// replyMade is an answer that the proxy gives itself.
	replyMade
)

// expected is an answer that is due.
type expected struct {
	kind replyKind
	// injected answers belong to messages that the caller did not send.
	injected bool
	// made is the type of an answer that the proxy gives itself.
	made byte
	// key and named identify the statement of a Parse.
	key   statementKey
	named bool
}

// ready reports whether ReadyForQuery ends the answer.
func (e expected) ready() bool {
	return e.kind >= replySync && e.kind <= replyIdentity
}

// replyQueue has the due answers in the order of their messages.
type replyQueue struct {
	items []expected
	head  int
}

func (q *replyQueue) empty() bool {
	return q.head == len(q.items)
}

func (q *replyQueue) push(item expected) {
	q.items = append(q.items, item)
}

// first returns the answer that is due next. The queue must not be empty.
func (q *replyQueue) first() *expected {
	return &q.items[q.head]
}

func (q *replyQueue) pop() {
	q.head++
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
}

// length and truncate take back messages that were not sent.
func (q *replyQueue) length() int {
	return len(q.items)
}

func (q *replyQueue) truncate(length int) {
	q.items = q.items[:min(length, len(q.items))]
}

// skipToSync drops what the upstream ignores after an error. It reports
// whether a Sync was found.
func (q *replyQueue) skipToSync() bool {
	for !q.empty() {
		if q.first().kind == replySync {
			return true
		}
		q.pop()
	}
	return false
}

// dropBehindCopy drops what the upstream ignores while it waits for COPY data.
func (q *replyQueue) dropBehindCopy() {
	if !q.empty() {
		q.items = q.items[:q.head+1]
	}
}

// accepts reports whether a reply type is allowed for the answer.
func (e expected) accepts(messageType byte) bool {
	switch e.kind {
	case replyParse:
		return messageType == '1'
	case replyBind:
		return messageType == '2'
	case replyClose:
		return messageType == '3'
	case replyDescribe:
		return messageType == 't' || messageType == 'T' || messageType == 'n'
	case replyExecute:
		return oneOf(messageType, "DCsIGHdcW")
	case replyQuery:
		return oneOf(messageType, "TDCIGHdcWZ")
	case replyPosition, replyIdentity:
		return oneOf(messageType, "TDCZ")
	case replyFunction:
		return oneOf(messageType, "VZ")
	case replySync:
		return messageType == 'Z'
	}
	return false
}

// completes reports whether the reply is the last of the answer.
func (e expected) completes(messageType byte) bool {
	switch e.kind {
	case replyDescribe:
		return messageType != 't'
	case replyExecute:
		return oneOf(messageType, "CsI")
	case replyQuery, replyPosition, replyIdentity, replyFunction:
		return messageType == 'Z'
	}
	return true
}

func oneOf(messageType byte, types string) bool {
	for i := 0; i < len(types); i++ {
		if types[i] == messageType {
			return true
		}
	}
	return false
}
