package dfstandinstore

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func hooks() Hooks {
	next := uint64(0)
	return Hooks{
		Writable: func() error { return nil },
		Append:   func(Commit) error { return nil },
		NextXID:  func() uint64 { next++; return next },
	}
}

// step runs one statement on the table kv.
func step(tx *Transaction, work func(t *Table) error) error {
	return tx.Run(context.Background(), func() (Tag, error) {
		t, _ := tx.Table("kv")
		if err := tx.Writes(); err != nil {
			return Tag{}, err
		}
		return Tag{}, work(t)
	})
}

func read(tx *Transaction) error {
	return step(tx, func(t *Table) error {
		_, err := tx.Find(t, map[int]Value{0: "x"}, func(values []Value) (bool, error) { return values[0] == "x", nil })
		return err
	})
}

func replace(tx *Transaction, value string) error {
	return step(tx, func(t *Table) error {
		row := Row{ID: 1, Values: []Value{"x", value}}
		if err := tx.Lock(t, []Row{row}); err != nil {
			return err
		}
		_, err := tx.Update(t, row)
		return err
	})
}

// race lets two transactions read, then write; forget drops their scans.
func race(t *testing.T, forget bool) (*Database, []error) {
	t.Helper()
	db := NewDatabase(hooks())
	first := db.Begin(false)
	require.NoError(t, replace(first, "0"))
	require.NoError(t, first.Commit())
	both := []*Transaction{db.Begin(false), db.Begin(false)}
	for _, tx := range both {
		require.NoError(t, read(tx))
		if forget {
			tx.reads = nil
		}
	}
	var outcomes []error
	for i, tx := range both {
		require.NoError(t, replace(tx, string(rune('a'+i))))
		outcomes = append(outcomes, tx.Commit())
	}
	return db, outcomes
}

// Guards against a check at commit that never fires: with the scans forgotten
// on purpose, the second update overwrites one that its transaction never saw.
func TestScansPreventLostUpdates(t *testing.T) {
	db, outcomes := race(t, false)
	require.NoError(t, outcomes[0])
	var refused *Error
	require.ErrorAs(t, outcomes[1], &refused)
	require.Equal(t, CodeSerialization, refused.Code)
	require.Equal(t, "a", db.Rows("kv")[0][1])
	db, outcomes = race(t, true)
	require.Equal(t, []error{nil, nil}, outcomes)
	require.Equal(t, "b", db.Rows("kv")[0][1])
}

// Guards against a refused commit that leaves rows or locks behind, and
// against an aborted transaction that commits.
func TestRefusedAndAbortedCommitsLeaveNothing(t *testing.T) {
	refuse := true
	h := hooks()
	h.Append = func(Commit) error {
		if refuse {
			return Errorf(CodeReadOnly, "refused")
		}
		return nil
	}
	db := NewDatabase(h)
	tx := db.Begin(false)
	require.NoError(t, replace(tx, "1"))
	require.Error(t, tx.Commit())
	require.Empty(t, db.Rows("kv"))
	refuse = false
	tx = db.Begin(false)
	require.NoError(t, replace(tx, "2"))
	db.AbortOpen(Errorf(CodeReadOnly, "fenced"))
	require.Error(t, tx.Commit())
	require.Empty(t, db.Rows("kv"))
	tx = db.Begin(false)
	require.NoError(t, replace(tx, "3"))
	require.NoError(t, tx.Commit())
	require.Equal(t, "3", db.Rows("kv")[0][1])
}

// Guards against values that change on their way through either format.
func TestEncodingRoundTrip(t *testing.T) {
	for oid, value := range map[uint32]Value{OIDBool: true, OIDInt4: int64(-7), OIDInt8: int64(1 << 40), OIDText: "a\tb", OIDFloat8: 2.5} {
		for format := range int16(2) {
			data, err := Encode(value, oid, format)
			require.NoError(t, err)
			got, err := Decode(data, oid, format)
			require.NoError(t, err)
			require.Equal(t, value, got)
		}
	}
	_, err := Decode([]byte{1}, OIDInt4, 1)
	require.Error(t, err)
	_, err = Coerce("4294967296", OIDInt4)
	require.Error(t, err)
}
