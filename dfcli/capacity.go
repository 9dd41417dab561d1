package dfcli

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfcapacity"
)

// CapacityCommand measures the slopes behind docs/CAPACITY.md.
type CapacityCommand struct {
	Write string `help:"Page whose tables are replaced between their markers; without it the tables are printed." type:"existingfile"`
	Small bool   `help:"Use sizes that run within seconds; not for the page."`
	Seed  uint64 `help:"Seed of all choices." default:"1"`
}

// Run runs the measurements.
func (c *CapacityCommand) Run(env *environment) error {
	if c.Small && c.Write != "" {
		return usageError{eris.New("capacity: small sizes give no figures for the page")}
	}
	sizes := dfcapacity.FullSizes()
	if c.Small {
		sizes = dfcapacity.SmallSizes()
	}
	report, err := dfcapacity.Measure(env.ctx, sizes, c.Seed, func(part string) {
		fmt.Fprintln(os.Stderr, "capacity: measuring", part)
	})
	if err != nil {
		return err
	}
	if c.Write == "" {
		for _, section := range report.Sections() {
			fmt.Printf("## %s\n\n%s\n", section.Name, section.Table.Markdown())
		}
		return nil
	}
	return writePage(c.Write, report)
}

// writePage reads the page only after the run, so that edits made meanwhile stay.
func writePage(path string, report dfcapacity.Report) error {
	page, err := os.ReadFile(path) //nolint:gosec // the operator names the page
	if err != nil {
		return eris.Wrap(err, "capacity: read page")
	}
	next, err := report.Write(string(page))
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(path, []byte(next), 0o644), "capacity: write page") //nolint:gosec // a page for all readers
}
