package dfcli

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
)

// AuditCommand prints the audit trail and verifies its chains.
type AuditCommand struct {
	OperatorFlags
	Service string `help:"Only records of this service, or of this database as service/database."`
	Kind    string `help:"Only records of this kind: publication, adoption, promotion, discarded, slot, host, upstream or session." enum:",publication,adoption,promotion,discarded,slot,host,upstream,session" default:""`
	Who     string `help:"Only records of this person, host or caller."`
	Since   string `help:"Only records from this instant on, as 2006-01-02T15:04:05Z, or a span back from now such as 2h."`
	Until   string `help:"Only records before this instant, in the same forms."`
	JSON    bool   `help:"Print one JSON object a line."`
}

// Run prints the records.
func (c *AuditCommand) Run(env *environment) error {
	filter := dfaudit.Filter{Service: c.Service, Who: c.Who, Kind: dfaudit.Kind(c.Kind)}
	var err error
	if filter.Since, err = instant(c.Since, time.Now()); err != nil {
		return usageError{err}
	}
	if filter.Until, err = instant(c.Until, time.Now()); err != nil {
		return usageError{err}
	}
	platform, err := c.platform()
	if err != nil {
		return err
	}
	defer func() { _ = platform.Close() }()
	chains, err := dfaudit.Read(env.ctx, platform, "")
	if err != nil {
		return err
	}
	for _, record := range filter.Select(dfaudit.Merge(chains)) {
		if err := c.print(env, record); err != nil {
			return err
		}
	}
	return brokenChains(chains)
}

// instant reads an instant or a span back from now; zero is none.
func instant(text string, now time.Time) (dfclock.Millis, error) {
	if text == "" {
		return 0, nil
	}
	if span, err := time.ParseDuration(text); err == nil {
		return dfclock.Millis(now.Add(-span).UnixMilli()), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, eris.Errorf("%q is neither an instant such as 2006-01-02T15:04:05Z nor a span such as 2h", text)
	}
	return dfclock.Millis(at.UnixMilli()), nil
}

func (c *AuditCommand) print(env *environment, record dfaudit.Record) error {
	if c.JSON {
		return json.NewEncoder(env.out).Encode(record)
	}
	_, err := fmt.Fprintln(env.out, recordLine(record))
	return err
}

func recordLine(record dfaudit.Record) string {
	at := time.UnixMilli(int64(record.When)).UTC().Format("2006-01-02T15:04:05.000Z")
	line := fmt.Sprintf("%s  %-11s  %-12s  %s", at, record.Kind, record.Who, record.Outcome)
	for _, field := range []struct{ name, value string }{
		{"service", record.Service}, {"from", record.From}, {"to", record.To}, {"why", record.Why}, {"at", record.Host},
	} {
		if field.value != "" {
			line += fmt.Sprintf("  %s=%s", field.name, field.value)
		}
	}
	return line
}

// brokenChains fails if a record is missing or altered.
func brokenChains(chains []dfaudit.Chain) error {
	var broken []string
	for _, chain := range chains {
		if chain.Fault != nil {
			broken = append(broken, chain.Fault.Error())
		}
	}
	if len(broken) > 0 {
		return violationError{eris.Errorf("%d of %d chains are broken: %s", len(broken), len(chains), strings.Join(broken, "; "))}
	}
	return nil
}
