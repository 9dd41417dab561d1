package dfstandinstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Row is a row as a transaction sees it.
type Row struct {
	ID     RowID
	Values []Value
}

// Match tells whether a row is in a scan.
type Match func(values []Value) (bool, error)

// Transaction is guarded by the lock of its database. Steps of Run work on it
// through the methods that take a table.
type Transaction struct {
	db       *Database
	readOnly bool
	// snapshot is the sequence that a read-only transaction reads.
	snapshot uint64
	// xid is zero until the transaction may write.
	xid     uint64
	overlay map[string]map[RowID][]Value
	changes []Change
	created map[string]*Table
	reads   []readSet
	tags    []Tag
	held    []string
	// aborted is set when the database rolled the transaction back.
	aborted error
	// waitsFor is the transaction whose lock this one waits for.
	waitsFor *Transaction
	ended    chan struct{}
}

// readSet is a scan of committed rows, to be repeated at commit.
type readSet struct {
	table string
	match Match
	equal map[int]Value
	// found has the sequence of each matching row.
	found map[RowID]uint64
}

// Begin opens a transaction. A read-only one sees the rows of this instant;
// another one sees the newest rows at each statement.
func (db *Database) Begin(readOnly bool) *Transaction {
	db.mu.Lock()
	defer db.mu.Unlock()
	tx := &Transaction{db: db, readOnly: readOnly, snapshot: db.sequence, ended: make(chan struct{}),
		overlay: map[string]map[RowID][]Value{}, created: map[string]*Table{}}
	db.open[tx] = true
	if readOnly {
		db.snapshots[tx.snapshot]++
	}
	return tx
}

func (db *Database) finish(tx *Transaction) {
	if !db.open[tx] {
		return
	}
	delete(db.open, tx)
	tx.waitsFor = nil
	for _, key := range tx.held {
		delete(db.locks, key)
	}
	if tx.readOnly {
		db.snapshots[tx.snapshot]--
		if db.snapshots[tx.snapshot] == 0 {
			delete(db.snapshots, tx.snapshot)
		}
	}
	close(tx.ended)
}

// Rollback ends the transaction without an effect; it may be called twice.
func (tx *Transaction) Rollback() {
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	tx.db.finish(tx)
}

// Commit ends the transaction. After an error nothing of it remains.
func (tx *Transaction) Commit() error {
	db := tx.db
	db.mu.Lock()
	defer db.mu.Unlock()
	defer db.finish(tx)
	if tx.aborted != nil {
		return tx.aborted
	}
	if err := tx.check(); err != nil || len(tx.changes) == 0 {
		return err
	}
	if err := db.hooks.Append(Commit{XID: tx.xid, Changes: tx.changes, Tags: tx.tags}); err != nil {
		return err
	}
	db.install(tx.changes)
	return nil
}

// check repeats the scans of the transaction and compares what they find.
func (tx *Transaction) check() error {
	// One scan alone is consistent; several are only if nothing changed between.
	if len(tx.changes) == 0 && len(tx.reads) < 2 {
		return nil
	}
	for _, read := range tx.reads {
		found, err := tx.db.scan(read, tx.db.sequence)
		if err != nil {
			return err
		}
		if !maps.Equal(found, read.found) {
			return Errorf(CodeSerialization, "could not serialize access due to read/write dependencies among transactions")
		}
	}
	return nil
}

// AbortReason returns why the database rolled the transaction back, or nil.
func (tx *Transaction) AbortReason() error {
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	return tx.aborted
}

// XID returns the transaction identity, or zero before the first write.
func (tx *Transaction) XID() uint64 {
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	return tx.xid
}

// Columns returns the columns of a table that the transaction sees.
func (tx *Transaction) Columns(name string) ([]Column, bool) {
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	t, found := tx.Table(name)
	if !found {
		return nil, false
	}
	return t.columns, true
}

// Columns returns the columns of a committed table.
func (db *Database) Columns(name string) ([]Column, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	t, found := db.tables[name]
	if !found {
		return nil, false
	}
	return t.columns, true
}

// blocked reports that a step has to wait for another transaction.
type blocked struct {
	holder *Transaction
}

// Error names the condition; Run handles it by waiting.
func (b *blocked) Error() string {
	return "lock is held by another transaction"
}

// Run calls a step with the database locked. If the step needs a lock of
// another transaction, Run waits for its end and calls the step again, so a
// step must take its locks before it changes rows. The step's tag goes into
// the record. The wait ends with the context.
func (tx *Transaction) Run(ctx context.Context, step func() (Tag, error)) error {
	for {
		err := tx.attempt(step)
		var wait *blocked
		if !errors.As(err, &wait) {
			return err
		}
		select {
		case <-wait.holder.ended:
		case <-ctx.Done():
			return Errorf(CodeCancelled, "canceling statement: %s", context.Cause(ctx))
		}
	}
}

func (tx *Transaction) attempt(step func() (Tag, error)) error {
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	tx.waitsFor = nil
	if tx.aborted != nil {
		return tx.aborted
	}
	reads := len(tx.reads)
	tag, err := step()
	var wait *blocked
	if errors.As(err, &wait) {
		// The step runs again after the wait and sees newer rows.
		tx.reads = tx.reads[:reads]
		tx.waitsFor = wait.holder
	}
	if err == nil {
		tx.tags = append(tx.tags, tag)
	}
	return err
}

func (tx *Transaction) lock(key string) error {
	holder := tx.db.locks[key]
	if holder == tx {
		return nil
	}
	if holder == nil {
		tx.db.locks[key] = tx
		tx.held = append(tx.held, key)
		return nil
	}
	for waiting := holder; waiting != nil; waiting = waiting.waitsFor {
		if waiting == tx {
			return Errorf(CodeDeadlock, "deadlock detected")
		}
	}
	return &blocked{holder: holder}
}

// Writes checks that the transaction may write and gives it an identity.
func (tx *Transaction) Writes() error {
	if tx.readOnly {
		return Errorf(CodeReadOnly, "cannot write in a read-only transaction")
	}
	if err := tx.db.hooks.Writable(); err != nil {
		return err
	}
	if tx.xid == 0 {
		tx.xid = tx.db.hooks.NextXID()
	}
	return nil
}

// Table returns a table that the transaction sees.
func (tx *Transaction) Table(name string) (*Table, bool) {
	if created := tx.created[name]; created != nil {
		return created, true
	}
	t, found := tx.db.tables[name]
	return t, found
}

// Create adds a table.
func (tx *Transaction) Create(name string, columns []Column) error {
	if _, found := tx.Table(name); found {
		return Errorf(CodeDuplicate, "relation %q already exists", name)
	}
	if err := tx.lock("table/" + name); err != nil {
		return err
	}
	tx.created[name] = newTable(name, columns)
	tx.changes = append(tx.changes, Change{Table: name, Schema: columns})
	return nil
}

// Find returns the rows that the transaction sees, by identity, and remembers
// the scan for the check at commit. Equal gives values that matching rows have
// in columns, for the choice of an index.
func (tx *Transaction) Find(t *Table, equal map[int]Value, match Match) ([]Row, error) {
	read := readSet{table: t.name, equal: equal, match: match}
	sequence := tx.db.sequence
	if tx.readOnly {
		sequence = tx.snapshot
	}
	committed, err := tx.db.scan(read, sequence)
	if err != nil {
		return nil, err
	}
	if !tx.readOnly {
		read.found = committed
		tx.reads = append(tx.reads, read)
	}
	own := tx.overlay[t.name]
	ids := slices.Concat(slices.Collect(maps.Keys(committed)), slices.Collect(maps.Keys(own)))
	slices.Sort(ids)
	var rows []Row
	for _, id := range slices.Compact(ids) {
		values, changed := own[id]
		if !changed {
			values = t.at(id, sequence).values
		}
		if values == nil {
			continue
		}
		matched, err := match(values)
		if err != nil {
			return nil, err
		}
		if matched {
			rows = append(rows, Row{ID: id, Values: values})
		}
	}
	return rows, nil
}

func (db *Database) scan(read readSet, sequence uint64) (map[RowID]uint64, error) {
	found := map[RowID]uint64{}
	t := db.tables[read.table]
	if t == nil {
		return found, nil
	}
	for _, id := range t.choose(read.equal) {
		v := t.at(id, sequence)
		if v.values == nil {
			continue
		}
		matched, err := read.match(v.values)
		if err != nil {
			return nil, err
		}
		if matched {
			found[id] = v.sequence
		}
	}
	return found, nil
}

// Lock takes rows for change. It also takes their unique values, so that a row
// that made an insertion skip stays until that transaction ends.
func (tx *Transaction) Lock(t *Table, rows []Row) error {
	for _, row := range rows {
		if err := tx.LockUnique(t, row.Values); err != nil {
			return err
		}
		if err := tx.lock(fmt.Sprintf("row/%s/%d", t.name, row.ID)); err != nil {
			return err
		}
	}
	return nil
}

// LockUnique takes the unique values of a row that is to be written.
func (tx *Transaction) LockUnique(t *Table, values []Value) error {
	for at, column := range t.columns {
		if !column.Unique || values[at] == nil {
			continue
		}
		if err := tx.lock(fmt.Sprintf("unique/%s/%s/%s", t.name, column.Name, FormatText(values[at]))); err != nil {
			return err
		}
	}
	return nil
}

// Insert adds a row whose unique values are locked. It returns the column
// whose value another row holds, if any; then nothing changed. A missing value
// of a first column named id is filled in.
func (tx *Transaction) Insert(t *Table, values []Value) (Row, string, error) {
	row := Row{ID: t.next, Values: values}
	if t.columns[0].Name == "id" && values[0] == nil && t.columns[0].OID == OIDInt8 {
		row.ID = t.freshID()
		values[0] = int64(row.ID)
	}
	column, err := tx.Update(t, row)
	if err == nil && column == "" {
		t.next = max(t.next, row.ID+1)
	}
	return row, column, err
}

// Update replaces a row that is locked. It returns the column whose value
// another row holds, if any; then nothing changed.
func (tx *Transaction) Update(t *Table, row Row) (string, error) {
	column, err := tx.duplicate(t, row)
	if err == nil && column == "" {
		tx.write(t, row)
	}
	return column, err
}

// Delete removes a row that is locked.
func (tx *Transaction) Delete(t *Table, row Row) {
	tx.write(t, Row{ID: row.ID})
}

func (tx *Transaction) write(t *Table, row Row) {
	if tx.overlay[t.name] == nil {
		tx.overlay[t.name] = map[RowID][]Value{}
	}
	tx.overlay[t.name][row.ID] = row.Values
	tx.changes = append(tx.changes, Change{Table: t.name, Row: row.ID, Values: row.Values})
}

func (tx *Transaction) duplicate(t *Table, row Row) (string, error) {
	for at, column := range t.columns {
		value := row.Values[at]
		if column.Primary && value == nil {
			return "", Errorf(CodeNotNull, "null value in column %q violates not-null constraint", column.Name)
		}
		if column.Unique && value != nil && tx.holds(t, row.ID, at, value) {
			return column.Name, nil
		}
	}
	return "", nil
}

// holds reports whether a visible row other than the given one has the value.
func (tx *Transaction) holds(t *Table, except RowID, at int, value Value) bool {
	own := tx.overlay[t.name]
	for other, values := range own {
		if other != except && values != nil && values[at] == value {
			return true
		}
	}
	for _, other := range t.candidates(at, value) {
		if _, changed := own[other]; changed || other == except {
			continue
		}
		if values := t.at(other, tx.db.sequence).values; values != nil && values[at] == value {
			return true
		}
	}
	return false
}
