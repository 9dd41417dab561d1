package dfupstream

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"dragonflygrade/dfframe"
	"dragonflygrade/dfunit"
)

// namePrefix begins the names that the proxy gives to prepared statements.
const namePrefix = "dfg_"

// statementKey identifies a statement by a hash of its text and OIDs.
type statementKey [16]byte

// preparedState tells whether a Parse was answered.
type preparedState struct {
	// name is namePrefix and the key in hexadecimal.
	name string
	// confirmed is set by ParseComplete.
	confirmed bool
	// used orders statements for the choice which to close.
	used uint64
}

// statements are the prepared statements of one connection.
type statements struct {
	named map[statementKey]*preparedState
	// unnamed is the key of the unnamed statement, valid if hasUnnamed.
	unnamed    statementKey
	hasUnnamed bool
	clock      uint64
	scratch    []byte
	// outdated is true if the upstream refused to run a prepared statement; all
	// are then closed before the next batch outside of a transaction.
	outdated bool
}

func newStatements() statements {
	return statements{named: map[statementKey]*preparedState{}}
}

// forget drops everything after DISCARD ALL or DEALLOCATE ALL.
func (s *statements) forget() {
	clear(s.named)
	s.hasUnnamed = false
	s.outdated = false
}

// refusesPrepared reports whether the SQLSTATE means that a prepared statement
// is gone (26000), or that its result type changed with a table (0A000). Without
// the proxy, the caller's own Parse would have made a new one.
func refusesPrepared(code string) bool {
	return code == "26000" || code == "0A000"
}

// surplus is the number of statements to close before the next batch.
func (s *statements) surplus() int {
	if s.outdated {
		return len(s.named)
	}
	return max(0, len(s.named)-MaxPrepared)
}

// forgetPending drops statements whose Parse was skipped after an error.
func (s *statements) forgetPending() {
	for key, prepared := range s.named {
		if !prepared.confirmed {
			delete(s.named, key)
		}
	}
	s.hasUnnamed = false
}

func (s *statements) key(statement *dfunit.Statement) statementKey {
	s.scratch = s.scratch[:0]
	for _, oid := range statement.ParameterOIDs {
		s.scratch = binary.BigEndian.AppendUint32(s.scratch, oid)
	}
	s.scratch = binary.BigEndian.AppendUint32(s.scratch, uint32(len(statement.ParameterOIDs)))
	s.scratch = append(s.scratch, statement.SQL...)
	sum := sha256.Sum256(s.scratch)
	return statementKey(sum[:len(statementKey{})])
}

// lookup returns the statement if it was sent, and marks it as used.
func (s *statements) lookup(key statementKey) (*preparedState, bool) {
	prepared, ok := s.named[key]
	if ok {
		s.clock++
		prepared.used = s.clock
	}
	return prepared, ok
}

func (s *statements) add(key statementKey) *preparedState {
	s.clock++
	prepared := &preparedState{name: namePrefix + hex.EncodeToString(key[:]), used: s.clock}
	s.named[key] = prepared
	return prepared
}

// evict removes the statement that was not used for longest.
func (s *statements) evict() string {
	var oldest statementKey
	var found *preparedState
	for key, prepared := range s.named {
		if found == nil || prepared.used < found.used {
			oldest, found = key, prepared
		}
	}
	delete(s.named, oldest)
	return found.name
}

func appendParse(buffer []byte, name string, statement *dfunit.Statement) []byte {
	size := len(name) + 1 + len(statement.SQL) + 1 + 2 + 4*len(statement.ParameterOIDs)
	buffer = dfframe.AppendHeader(buffer, 'P', size)
	buffer = append(buffer, name...)
	buffer = append(buffer, 0)
	buffer = append(buffer, statement.SQL...)
	buffer = append(buffer, 0)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(len(statement.ParameterOIDs)))
	for _, oid := range statement.ParameterOIDs {
		buffer = binary.BigEndian.AppendUint32(buffer, oid)
	}
	return buffer
}

// appendBind replaces the statement's name in a Bind message.
func appendBind(buffer, body []byte, name string) []byte {
	portal, rest, _ := dfframe.CutString(body)
	_, rest, _ = dfframe.CutString(rest)
	buffer = dfframe.AppendHeader(buffer, 'B', len(portal)+1+len(name)+1+len(rest))
	buffer = append(buffer, portal...)
	buffer = append(buffer, 0)
	buffer = append(buffer, name...)
	buffer = append(buffer, 0)
	return append(buffer, rest...)
}

// appendNamed writes a Describe or Close message for a statement.
func appendNamed(buffer []byte, messageType byte, name string) []byte {
	buffer = dfframe.AppendHeader(buffer, messageType, 1+len(name)+1)
	buffer = append(buffer, 'S')
	buffer = append(buffer, name...)
	return append(buffer, 0)
}

func appendQuery(buffer []byte, sql string) []byte {
	buffer = dfframe.AppendHeader(buffer, 'Q', len(sql)+1)
	buffer = append(buffer, sql...)
	return append(buffer, 0)
}

// foreignName returns the name under which an unknown statement is asked for.
// It differs from every name that the proxy gives.
func foreignName(name []byte) string {
	if strings.HasPrefix(string(name), namePrefix) {
		return "_" + string(name)
	}
	return string(name)
}
