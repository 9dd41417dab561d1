package dfcontrol

import (
	"strconv"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// statusColumns is the number of columns of a status row.
const statusColumns = 13

// rowReader parses the columns of a row and keeps the first error.
type rowReader struct {
	row [][]byte
	err error
}

func (r *rowReader) parseUint(column int, name string) uint64 {
	value, err := strconv.ParseUint(string(r.row[column]), 10, 64)
	if err != nil && r.err == nil {
		r.err = eris.Wrapf(err, "status row: %s", name)
	}
	return value
}

func parseStatus(row [][]byte) (dfgroup.Status, error) {
	if len(row) != statusColumns {
		return dfgroup.Status{}, eris.Errorf("status row: got %d columns, want %d", len(row), statusColumns)
	}
	r := &rowReader{row: row}
	status := dfgroup.Status{
		Upstream:   dfgroup.UpstreamID(row[0]),
		DataCentre: string(row[1]),
		Role:       dfgroup.Role(row[2]),
		Accepted:   dfposition.Term(r.parseUint(3, "Accepted")),
		Actor:      string(row[4]),
		LogTerm:    dfposition.Term(r.parseUint(5, "LogTerm")),
		Flushed:    dfposition.Offset(r.parseUint(6, "Flushed")),
		Applied:    dfposition.Offset(r.parseUint(7, "Applied")),
		Following:  dfgroup.UpstreamID(row[9]),
		Leaving:    string(row[11]) == "t",
		Discarded:  string(row[12]),
	}
	if r.err != nil {
		return dfgroup.Status{}, r.err
	}
	silence, err := strconv.ParseInt(string(row[10]), 10, 64)
	if err != nil {
		return dfgroup.Status{}, eris.Wrap(err, "status row: PrimarySilence")
	}
	status.PrimarySilence = dfclock.Millis(silence)
	status.History, err = dfposition.ParseHistory(string(row[8]))
	if err != nil {
		return dfgroup.Status{}, eris.Wrap(err, "status row: History")
	}
	switch status.Role {
	case dfgroup.RolePrimary, dfgroup.RoleReplica, dfgroup.RoleFenced:
		return status, nil
	}
	return dfgroup.Status{}, eris.Errorf("status row: unknown role %q", status.Role)
}
