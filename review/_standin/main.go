// The program of the scripts in review/: it stands in for the platform, the backends and
// the clients, starts hosts as the deploy file says, and checks one rule.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
)

// setting is where and how a case runs.
type setting struct {
	record  *record
	program string
	dir     string
	// trouble is false if the disruption is left out.
	trouble bool
	// network is the first two octets of the addresses of this run.
	network string
}

func (s setting) address(third, fourth int) string {
	return fmt.Sprintf("%s.%d.%d", s.network, third, fourth)
}

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

func main() {
	name := flag.String("case", "", "which case to run")
	program := flag.String("program", "target/dragonflygrade", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "the file to write")
	flag.Parse()
	cases := map[string]func(setting) (verdict, error){"accept": runAccept, "leave": runLeave, "drain": runDrain}
	run := cases[*name]
	absolute, err := filepath.Abs(*program)
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name, err)
		os.Exit(int(notRun))
	}
	os.Exit(int(play(run, absolute, *recordPath)))
}

func play(run func(setting) (verdict, error), program, recordPath string) verdict {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	s := setting{
		record: r, program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		network: fmt.Sprintf("127.%d", 20+rand.IntN(200)),
	}
	result, err := run(s)
	if err != nil {
		r.say("not run: %v", err)
		return notRun
	}
	return result
}
