package dfdemo

import (
	"context"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfaudit"
)

// verifyAudit stores the audit records of all hosts and verifies the chains in
// the object store. It returns the number of records.
func (s *Stack) verifyAudit(ctx context.Context) (int, error) {
	for _, host := range s.hosts {
		if err := host.FlushAudit(ctx); err != nil {
			return 0, eris.Wrap(err, "demo: audit")
		}
	}
	chains, err := dfaudit.Read(ctx, s.store, "")
	if err != nil {
		return 0, err
	}
	records := 0
	for _, chain := range chains {
		if chain.Fault != nil {
			return 0, eris.Wrap(chain.Fault, "demo: audit")
		}
		records += len(chain.Records)
	}
	return records, nil
}
