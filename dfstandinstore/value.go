// Package dfstandinstore holds the tables of an upstream stand-in, with their
// transactions. Committed results are serialisable: writes lock rows and unique
// values, and a commit repeats the scans that its transaction made.
package dfstandinstore

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Object identifiers of the supported types, as PostgreSQL numbers them.
const (
	OIDBool   uint32 = 16
	OIDInt8   uint32 = 20
	OIDInt4   uint32 = 23
	OIDText   uint32 = 25
	OIDFloat8 uint32 = 701
)

// SQLSTATE codes of the store and of the engine above it.
const (
	CodeFeature       = "0A000"
	CodeReadOnly      = "25006"
	CodeInTransaction = "25P02"
	CodeInvalidText   = "22P02"
	CodeInvalidBinary = "22P03"
	CodeCopyFormat    = "22P04"
	CodeNotNull       = "23502"
	CodeUnique        = "23505"
	CodeSerialization = "40001"
	CodeDeadlock      = "40P01"
	CodeSyntax        = "42601"
	CodeColumn        = "42703"
	CodeFunction      = "42883"
	CodeTable         = "42P01"
	CodeDuplicate     = "42P07"
	CodeParameter     = "42P02"
	CodeCancelled     = "57014"
)

// Error is a refusal with a SQLSTATE.
type Error struct {
	Code    string
	Message string
	Detail  string
}

// Error returns the message with its code.
func (e *Error) Error() string {
	return e.Message + " (SQLSTATE " + e.Code + ")"
}

// Errorf returns an Error with a formatted message.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Value is nil, int64, float64, bool or string.
type Value = any

// Column is a column of a table or of a result.
type Column struct {
	Name string
	OID  uint32
	// Unique columns hold each value once; null may repeat unless Primary.
	Unique  bool
	Primary bool
}

// FormatText formats a value in PostgreSQL's text format.
func FormatText(value Value) string {
	switch v := value.(type) {
	case nil:
		return ""
	case bool:
		if v {
			return "t"
		}
		return "f"
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case string:
		return v
	}
	return fmt.Sprint(value)
}

// Encode formats a value for a result column; nil is null.
func Encode(value Value, oid uint32, format int16) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	value, err := Coerce(value, oid)
	if err != nil {
		return nil, err
	}
	if format == 0 {
		return []byte(FormatText(value)), nil
	}
	switch v := value.(type) {
	case bool:
		if v {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case int64:
		if oid == OIDInt4 {
			return binary.BigEndian.AppendUint32(nil, uint32(v)), nil
		}
		return binary.BigEndian.AppendUint64(nil, uint64(v)), nil
	case float64:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(v)), nil
	case string:
		return []byte(v), nil
	}
	return nil, Errorf(CodeFeature, "type %d has no binary format", oid)
}

// Decode reads a parameter; nil is null.
func Decode(data []byte, oid uint32, format int16) (Value, error) {
	if data == nil {
		return nil, nil
	}
	if format == 0 {
		return Coerce(string(data), oid)
	}
	switch {
	case oid == OIDBool && len(data) == 1:
		return data[0] != 0, nil
	case oid == OIDInt4 && len(data) == 4:
		return int64(int32(binary.BigEndian.Uint32(data))), nil
	case oid == OIDInt8 && len(data) == 8:
		return int64(binary.BigEndian.Uint64(data)), nil
	case oid == OIDFloat8 && len(data) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(data)), nil
	case oid == OIDText:
		return string(data), nil
	}
	return nil, Errorf(CodeInvalidBinary, "incorrect binary data format for type %d", oid)
}

// Coerce converts a value to the type of a column.
func Coerce(value Value, oid uint32) (Value, error) {
	if value == nil {
		return nil, nil
	}
	text := FormatText(value)
	switch oid {
	case OIDInt4, OIDInt8:
		if number, ok := value.(int64); ok {
			return number, nil
		}
		bits := 64
		if oid == OIDInt4 {
			bits = 32
		}
		number, err := strconv.ParseInt(strings.TrimSpace(text), 10, bits)
		if err != nil {
			return nil, Errorf(CodeInvalidText, "invalid input syntax for type integer: %q", text)
		}
		return number, nil
	case OIDFloat8:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, Errorf(CodeInvalidText, "invalid input syntax for type double precision: %q", text)
		}
		return number, nil
	case OIDBool:
		switch strings.ToLower(text) {
		case "t", "true", "on", "1", "yes":
			return true, nil
		case "f", "false", "off", "0", "no":
			return false, nil
		}
		return nil, Errorf(CodeInvalidText, "invalid input syntax for type boolean: %q", text)
	}
	return text, nil
}

// Compare orders two values that are not null; numbers compare as numbers.
func Compare(left, right Value) (int, error) {
	switch l := left.(type) {
	case string:
		return strings.Compare(l, FormatText(right)), nil
	case bool:
		r, err := Coerce(right, OIDBool)
		if err != nil {
			return 0, err
		}
		return strings.Compare(FormatText(l), FormatText(r)), nil
	case int64:
		if r, ok := right.(int64); ok {
			return order(l < r, l > r), nil
		}
	}
	l, err := Coerce(left, OIDFloat8)
	if err != nil {
		return 0, err
	}
	r, err := Coerce(right, OIDFloat8)
	if err != nil {
		return 0, err
	}
	return order(l.(float64) < r.(float64), l.(float64) > r.(float64)), nil
}

func order(less, greater bool) int {
	switch {
	case less:
		return -1
	case greater:
		return 1
	}
	return 0
}

// TypeOID returns the type for a name in SQL; unknown types are text.
func TypeOID(name string) uint32 {
	switch name {
	case "int2", "int4", "integer", "serial":
		return OIDInt4
	case "int8", "bigint", "bigserial", "xid8":
		return OIDInt8
	case "float4", "float8", "numeric":
		return OIDFloat8
	case "bool":
		return OIDBool
	}
	return OIDText
}
