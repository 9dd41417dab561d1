package dfstandinstore

import (
	"maps"
	"slices"
	"sync"
)

// RowID identifies a row within its table; it is the same on all upstreams.
type RowID uint64

// Change is one effect of a transaction.
type Change struct {
	Table string
	Row   RowID
	// Values is nil for a deletion.
	Values []Value
	// Schema is set if the change creates the table.
	Schema []Column
}

// Tag records one statement of a committed transaction.
type Tag struct {
	SQL        string
	Parameters []string
	// Marker is the row's idempotency key, or else its key, as the statement gave it.
	Marker string
}

// Commit is what a transaction leaves in the log.
type Commit struct {
	XID     uint64
	Changes []Change
	Tags    []Tag
}

// Hooks join a database to its upstream. They are called with the database
// locked and must not call it.
type Hooks struct {
	// Writable refuses a write statement with an error.
	Writable func() error
	// Append logs a commit or refuses it; nothing of a refused commit remains.
	Append func(Commit) error
	// NextXID returns a fresh transaction identity.
	NextXID func() uint64
}

type version struct {
	sequence uint64
	// values is nil if the row is deleted.
	values []Value
}

// Table is used only within a step of a transaction.
type Table struct {
	name    string
	columns []Column
	// rows has the versions of each row in rising order of sequence.
	rows map[RowID][]version
	// order has the identities of all rows in rising order.
	order []RowID
	next  RowID
	// indexes maps a column's values to rows that hold or held them.
	indexes map[int]map[Value][]RowID
}

// Database is a set of tables with transactions.
type Database struct {
	hooks Hooks
	mu    sync.Mutex
	// sequence counts applied commits.
	sequence  uint64
	tables    map[string]*Table
	locks     map[string]*Transaction
	open      map[*Transaction]bool
	snapshots map[uint64]int
}

// Schema is the definition of a table.
type Schema struct {
	Name    string
	Columns []Column
}

// DefaultSchemas returns the tables that every upstream starts with.
func DefaultSchemas() []Schema {
	return []Schema{
		{Name: "orders", Columns: []Column{
			{Name: "id", OID: OIDInt8, Unique: true, Primary: true}, {Name: "caller", OID: OIDText},
			{Name: "item", OID: OIDText}, {Name: "quantity", OID: OIDInt4}, {Name: "status", OID: OIDText},
			{Name: "idempotency_key", OID: OIDText, Unique: true}}},
		{Name: "catalogue", Columns: []Column{
			{Name: "item", OID: OIDText, Unique: true, Primary: true}, {Name: "price", OID: OIDInt8},
			{Name: "available", OID: OIDInt4}}},
		{Name: "tickets", Columns: []Column{
			{Name: "id", OID: OIDInt8, Unique: true, Primary: true}, {Name: "order_id", OID: OIDInt8},
			{Name: "state", OID: OIDText}, {Name: "ink", OID: OIDInt4}, {Name: "paper", OID: OIDInt4}}},
		{Name: "kv", Columns: []Column{
			{Name: "key", OID: OIDText, Unique: true, Primary: true}, {Name: "value", OID: OIDText}}},
	}
}

// NewDatabase returns a database with the default tables.
func NewDatabase(hooks Hooks) *Database {
	db := &Database{hooks: hooks}
	db.clear()
	return db
}

func (db *Database) clear() {
	db.tables = map[string]*Table{}
	db.locks = map[string]*Transaction{}
	db.open = map[*Transaction]bool{}
	db.snapshots = map[uint64]int{}
	for _, schema := range DefaultSchemas() {
		db.tables[schema.Name] = newTable(schema.Name, schema.Columns)
	}
}

// Rebuild replaces the contents by the effects of the commits. Open
// transactions fail.
func (db *Database) Rebuild(commits []Commit) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.abortOpen(Errorf(CodeSerialization, "the log was cut"))
	db.clear()
	for _, commit := range commits {
		db.install(commit.Changes)
	}
}

// Apply installs a commit that was made elsewhere.
func (db *Database) Apply(commit Commit) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.install(commit.Changes)
}

// AbortOpen rolls all open transactions back; their next statement fails with
// the reason.
func (db *Database) AbortOpen(reason error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.abortOpen(reason)
}

func (db *Database) abortOpen(reason error) {
	for tx := range db.open {
		tx.aborted = reason
		db.finish(tx)
	}
}

// InProgress reports whether an open transaction has the identity.
func (db *Database) InProgress(xid uint64) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	for tx := range db.open {
		if tx.xid == xid {
			return true
		}
	}
	return false
}

// Waiting returns how many transactions wait for another one's lock.
func (db *Database) Waiting() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	count := 0
	for tx := range db.open {
		if tx.waitsFor != nil {
			count++
		}
	}
	return count
}

// Rows returns a copy of the committed rows of a table in order of insertion.
func (db *Database) Rows(name string) [][]Value {
	db.mu.Lock()
	defer db.mu.Unlock()
	t := db.tables[name]
	if t == nil {
		return nil
	}
	var rows [][]Value
	for _, id := range t.order {
		if values := t.at(id, db.sequence).values; values != nil {
			rows = append(rows, slices.Clone(values))
		}
	}
	return rows
}

func (db *Database) install(changes []Change) {
	db.sequence++
	oldest := db.sequence
	for snapshot := range db.snapshots {
		oldest = min(oldest, snapshot)
	}
	for _, change := range changes {
		if change.Schema != nil {
			db.tables[change.Table] = newTable(change.Table, change.Schema)
			continue
		}
		db.tables[change.Table].install(change, db.sequence, oldest)
	}
}

func newTable(name string, columns []Column) *Table {
	return &Table{name: name, columns: columns, rows: map[RowID][]version{}, next: 1, indexes: map[int]map[Value][]RowID{}}
}

func (t *Table) install(change Change, sequence, oldest uint64) {
	versions, known := t.rows[change.Row]
	if !known {
		t.insertOrder(change.Row)
	}
	for len(versions) > 1 && versions[1].sequence <= oldest {
		versions = versions[1:]
	}
	t.rows[change.Row] = append(versions, version{sequence: sequence, values: change.Values})
	for column, index := range t.indexes {
		addIndex(index, change, column)
	}
}

// insertOrder keeps the order rising; commits may arrive out of the order in
// which rows were numbered.
func (t *Table) insertOrder(id RowID) {
	t.next = max(t.next, id+1)
	at, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Insert(t.order, at, id)
}

func addIndex(index map[Value][]RowID, change Change, column int) {
	if change.Values == nil || change.Values[column] == nil {
		return
	}
	value := change.Values[column]
	if !slices.Contains(index[value], change.Row) {
		index[value] = append(index[value], change.Row)
	}
}

// at returns the row's version at a sequence; the zero value is an absent row.
func (t *Table) at(id RowID, sequence uint64) version {
	versions := t.rows[id]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].sequence <= sequence {
			return versions[i]
		}
	}
	return version{}
}

// candidates returns the rows that may hold the value in the column.
func (t *Table) candidates(column int, value Value) []RowID {
	index, known := t.indexes[column]
	if !known {
		index = map[Value][]RowID{}
		for _, id := range t.order {
			for _, v := range t.rows[id] {
				addIndex(index, Change{Row: id, Values: v.values}, column)
			}
		}
		t.indexes[column] = index
	}
	return slices.Sorted(slices.Values(index[value]))
}

// choose returns the rows that may match, by an index if there are equalities.
func (t *Table) choose(equal map[int]Value) []RowID {
	best := -1
	for _, column := range slices.Sorted(maps.Keys(equal)) {
		if best < 0 || (t.columns[column].Unique && !t.columns[best].Unique) {
			best = column
		}
	}
	if best < 0 {
		return t.order
	}
	return t.candidates(best, equal[best])
}

// Columns returns the columns; they are not to be modified.
func (t *Table) Columns() []Column {
	return t.columns
}

// Name returns the name.
func (t *Table) Name() string {
	return t.name
}

// freshID returns a row identity that no statement gave as a key.
func (t *Table) freshID() RowID {
	id := t.next
	for len(t.candidates(0, int64(id))) > 0 {
		id++
	}
	return id
}
