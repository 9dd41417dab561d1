package dfcompat

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// Guards against answers that differ between an upstream and hosts in order,
// type, rows, tag, SQLSTATE or transaction status.
func TestScripts(t *testing.T) {
	s := newSite(t)
	for i, script := range readScripts(t, "testdata/messages.txt") {
		t.Run(script.name, func(t *testing.T) { compare(t, s, script, fmt.Sprintf("m%03d", i)) })
	}
}

// compare runs a script over every path with a fresh table of its own.
func compare(t *testing.T, s *site, script script, table string) {
	t.Helper()
	create := "Q CREATE TABLE {t}(id bigint primary key, name text, n int)"
	fill := "Q INSERT INTO {t} VALUES (1, 'a', 10), (2, 'b', 20), (3, 'c', 30), (4, NULL, 40)"
	script.lines = append([]string{create, fill}, script.lines...)
	var wanted []string
	for i, path := range s.paths() {
		got := talk(t, path, script, fmt.Sprintf("%s_%c", table, 'a'+i))
		if i == 0 {
			wanted = got
			continue
		}
		if !slices.Equal(wanted, got) {
			t.Errorf("%s differs from direct:\n%s", path.name, difference(wanted, got))
		}
	}
}

// difference shows the answers around the first one that differs.
func difference(wanted, got []string) string {
	at := 0
	for at < len(wanted) && at < len(got) && wanted[at] == got[at] {
		at++
	}
	window := func(answers []string) string {
		return strings.Join(answers[max(0, min(at, len(answers))-10):min(at+5, len(answers))], "\n")
	}
	return fmt.Sprintf("answer %d, direct:\n%s\n-- hosts:\n%s", at, window(wanted), window(got))
}

// seeds is the number of random scripts.
const seeds = 60

// Guards against differences that appear only after unusual sequences of
// transactions, errors, pipelines and prepared statements.
func TestRandomScripts(t *testing.T) {
	s := newSite(t)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			compare(t, s, randomScript(seed), fmt.Sprintf("r%03d", seed))
		})
	}
}

// fragments are parts of random scripts. {id} is a random key, and {s} and {p}
// a random statement and portal.
var fragments = []string{
	"Q SELECT id, name FROM {t} WHERE id = {id}",
	"Q SELECT count(*) FROM {t}",
	"Q INSERT INTO {t} VALUES ({id}, 'x', 1)",
	"Q UPDATE {t} SET n = n + 1 WHERE id = {id}",
	"Q DELETE FROM {t} WHERE id = {id}",
	"Q BEGIN", "Q BEGIN READ ONLY", "Q COMMIT", "Q ROLLBACK", "Q",
	"Q BEGIN; UPDATE {t} SET n = {id}; COMMIT",
	"Q SELECT 1; SELECT missing FROM {t}; SELECT 2",
	"Q INSERT INTO {t} VALUES ({id}, 'y', 2); SELECT n FROM {t} WHERE id = {id}",
	"Q SELEC 1",
	"Q SET application_name = 'a{id}'", "Q SHOW application_name", "Q RESET application_name",
	"P {s} SELECT n FROM {t} WHERE id = $1\nB {p} {s} {id}\nD P {p}\nE {p} 0\nS",
	"P - SELECT id, n FROM {t} ORDER BY id\nB - - \nD P \nE - 2\nE - 0\nS",
	"P - UPDATE {t} SET name = $1\nB - - v{id}\nE - 0\nS",
	"B {p} {s} {id}\nE {p} 0\nS",
	"D S {s}\nS", "C S {s}\nS", "C P {p}\nS", "E {p} 1\nS", "S",
	"P - SELECT missing FROM {t}\nB - - \nE - 0\nP - SELECT 1\nB - - \nE - 0\nS",
	"P - INSERT INTO {t} VALUES ($1, 'z', 3)\nB - - {id}\nE - 0\nB - - {id}\nE - 0\n+S\nP - SELECT 1\nB - - \nE - 0\nS\nwait Z",
	"P - \nB - - \nE - 0\nS",
}

// fragmentsPerScript keeps a script near what one caller sends in a minute.
const fragmentsPerScript = 40

func randomScript(seed uint64) script {
	random := rand.New(rand.NewPCG(seed, 7))
	s := script{name: fmt.Sprint(seed)}
	for range fragmentsPerScript {
		text := strings.NewReplacer(
			"{id}", fmt.Sprint(1+random.IntN(8)),
			"{s}", fmt.Sprintf("s%d", random.IntN(3)),
			"{p}", fmt.Sprintf("p%d", random.IntN(2)),
		).Replace(fragments[random.IntN(len(fragments))])
		s.lines = append(s.lines, strings.Split(text, "\n")...)
	}
	return s
}
