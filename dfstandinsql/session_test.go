package dfstandinsql

import (
	"bufio"
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfstandinstore"
)

const patience = 20 * time.Second

// bare is an environment without functions.
type bare struct{}

func (bare) FunctionOID(string) (uint32, bool) { return 0, false }
func (bare) Call(_ context.Context, name string, _ []dfstandinstore.Value) (dfstandinstore.Value, error) {
	return nil, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s does not exist", name)
}
func (bare) RelationColumns(string) ([]dfstandinstore.Column, bool) { return nil, false }
func (bare) Relation(context.Context, string, []dfstandinstore.Value) ([][]dfstandinstore.Value, error) {
	return nil, nil
}
func (bare) Changed(string, string) {}

// ledger numbers and keeps commits.
type ledger struct {
	mu      sync.Mutex
	next    uint64
	commits []dfstandinstore.Commit
}

func (l *ledger) hooks() dfstandinstore.Hooks {
	return dfstandinstore.Hooks{
		Writable: func() error { return nil },
		Append: func(commit dfstandinstore.Commit) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.commits = append(l.commits, commit)
			return nil
		},
		NextXID: func() uint64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.next++
			return l.next
		},
	}
}

// run executes one statement as an implicit transaction and formats the answer.
func run(s *Session, sql string) string {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	result, err := execute(ctx, s, sql)
	if err == nil {
		err = s.Finish()
	}
	if err != nil {
		s.Fail()
		var refused *dfstandinstore.Error
		if errors.As(err, &refused) {
			return "! " + refused.Code
		}
		return "! " + err.Error()
	}
	var parts []string
	for _, row := range result.Rows {
		fields := make([]string, len(row))
		for i, value := range row {
			fields[i] = dfstandinstore.FormatText(value)
		}
		parts = append(parts, strings.Join(fields, "|"))
	}
	return "= " + strings.Join(append(parts, result.Tag), ", ")
}

func execute(ctx context.Context, s *Session, sql string) (Result, error) {
	statements, err := Parse(sql)
	if err != nil {
		return Result{}, err
	}
	return s.Execute(ctx, statements[0], nil, nil)
}

// Guards against wrong answers and against anomalies between transactions; the
// scripts name the cases.
func TestScripts(t *testing.T) {
	for _, name := range []string{"statements", "transactions"} {
		t.Run(name, func(t *testing.T) { runScript(t, "testdata/"+name+".txt") })
	}
}

func runScript(t *testing.T, path string) {
	file, err := os.Open(path)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	db := dfstandinstore.NewDatabase((&ledger{}).hooks())
	sessions, pending := map[string]*Session{}, map[string]chan string{}
	got, scanner := "", bufio.NewScanner(file)
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		if line[0] == '=' || line[0] == '!' {
			require.Equal(t, line, got, "line %d", number)
			continue
		}
		name, sql := line[:1], strings.TrimSpace(line[2:])
		if sessions[name] == nil {
			sessions[name] = NewSession(db, bare{}, map[string]string{})
		}
		switch line[1] {
		case ':':
			got = run(sessions[name], sql)
		case '&':
			answer := make(chan string, 1)
			pending[name] = answer
			go func() { answer <- run(sessions[name], sql) }()
			require.Eventually(t, func() bool { return db.Waiting() > 0 }, patience, time.Millisecond)
		case '?':
			got = <-pending[name]
		}
	}
}

// Guards against lost updates between sessions that read, then write, and
// against a replica that differs from its primary.
func TestConcurrentCountersAndReplay(t *testing.T) {
	log := &ledger{}
	db := dfstandinstore.NewDatabase(log.hooks())
	first := NewSession(db, bare{}, map[string]string{})
	require.Equal(t, "= INSERT 0 1", run(first, "INSERT INTO catalogue VALUES ('rod', 0, 0)"))
	const workers, rounds = 4, 50
	var group sync.WaitGroup
	var mu sync.Mutex
	committed := int64(0)
	for range workers {
		group.Go(func() {
			s := NewSession(db, bare{}, map[string]string{})
			for range rounds {
				if increment(s) {
					mu.Lock()
					committed++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	require.Equal(t, committed, db.Rows("catalogue")[0][2])
	require.Positive(t, committed)
	replica := dfstandinstore.NewDatabase(dfstandinstore.Hooks{})
	for _, commit := range log.commits {
		replica.Apply(commit)
	}
	require.Equal(t, db.Rows("catalogue"), replica.Rows("catalogue"))
	replica.Rebuild(log.commits[:1])
	require.Equal(t, int64(0), replica.Rows("catalogue")[0][2])
}

func increment(s *Session) bool {
	run(s, "BEGIN")
	value := strings.TrimSuffix(strings.TrimPrefix(run(s, "SELECT available FROM catalogue WHERE item = 'rod'"), "= "), ", SELECT 1")
	run(s, "UPDATE catalogue SET available = 1 + "+value+" WHERE item = 'rod'")
	return run(s, "COMMIT") == "= COMMIT"
}
