package dfmeasure

import (
	"fmt"
	"io"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfroute"
)

// Row is one line of the table of reads.
type Row struct {
	Deployment string
	Lag        dfclock.Millis
	Policy     Policy
	Counts     Counts
}

// ReadTable measures both deployments under every policy at every lag.
func ReadTable(span dfclock.Millis, seed uint64) ([]Row, error) {
	var rows []Row
	for _, deployment := range []Deployment{Consortium(), Kovacik()} {
		for _, lag := range Lags {
			for _, policy := range []Policy{OursWithTokens, Ours, PrimaryOnly, Sticky, WaitForReplica} {
				counts, err := Run(deployment, policy, lag, span, seed)
				if err != nil {
					return nil, err
				}
				rows = append(rows, Row{Deployment: deployment.Name, Lag: lag, Policy: policy, Counts: counts})
			}
		}
	}
	return rows, nil
}

// WriteReadTable prints the rows as Markdown.
func WriteReadTable(w io.Writer, rows []Row) error {
	head := "| Deployment | Lag | Policy | Reads | Replica share | Local share | Rung 1 | Rung 2 | Rung 3 | Rung 4 | Rung 5 | Refused | Stale reads | Mean delay | Max delay |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, row := range rows {
		c := row.Counts
		line := fmt.Sprintf("| %s | %s | %s | %d | %.3f | %.3f |", row.Deployment, row.Lag, row.Policy, c.Reads, c.ReplicaShare(), c.share(c.LocalReads))
		for rung := dfroute.RungToken; rung <= dfroute.RungPrimary; rung++ {
			line += fmt.Sprintf(" %.3f |", c.share(c.Rungs[rung]))
		}
		mean := float64(c.DelaySum) / float64(max(1, c.Reads))
		line += fmt.Sprintf(" %d | %d | %.1fms | %s |\n", c.Refused, c.StaleReads, mean, c.DelayMax)
		if _, err := io.WriteString(w, line); err != nil {
			return err
		}
	}
	return nil
}

// OverloadTable measures every offered load with and without admission.
func OverloadTable(span dfclock.Millis, seed uint64) (with, without []Overload) {
	for _, multiple := range OverloadMultiples {
		with = append(with, RunOverload(multiple, true, span, seed))
		without = append(without, RunOverload(multiple, false, span, seed))
	}
	return with, without
}

// Peak returns the highest goodput.
func Peak(runs []Overload) float64 {
	peak := 0.0
	for _, run := range runs {
		peak = max(peak, run.Goodput)
	}
	return peak
}

// WriteOverloadTable prints the runs as Markdown.
func WriteOverloadTable(w io.Writer, with, without []Overload) error {
	head := "| Offered load | Admission | Goodput per second | Share of peak | p99 | Refused |\n|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for i := range with {
		for _, line := range []struct {
			name string
			run  Overload
			peak float64
		}{{"yes", with[i], Peak(with)}, {"no", without[i], Peak(without)}} {
			_, err := fmt.Fprintf(w, "| %.1f | %s | %.0f | %.3f | %s | %.3f |\n",
				line.run.Multiple, line.name, line.run.Goodput, line.run.Goodput/line.peak, line.run.P99, line.run.Refused)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// Write measures both tables and prints them as Markdown.
func Write(w io.Writer, span dfclock.Millis, seed uint64) error {
	rows, err := ReadTable(span, seed)
	if err != nil {
		return err
	}
	if err := WriteReadTable(w, rows); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\n"); err != nil {
		return err
	}
	with, without := OverloadTable(span, seed)
	return WriteOverloadTable(w, with, without)
}
