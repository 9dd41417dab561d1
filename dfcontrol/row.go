package dfcontrol

import (
	"strconv"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// columns is the number of columns of a status row.
const columns = 13

// reader reads the columns of a row and keeps the first error.
type reader struct {
	row [][]byte
	err error
}

func (r *reader) number(column int, name string) uint64 {
	value, err := strconv.ParseUint(string(r.row[column]), 10, 64)
	if err != nil && r.err == nil {
		r.err = eris.Wrapf(err, "status row: %s", name)
	}
	return value
}

// parseStatus reads a status row.
func parseStatus(row [][]byte) (dfgroup.Status, error) {
	if len(row) != columns {
		return dfgroup.Status{}, eris.Errorf("status row: %d columns instead of %d", len(row), columns)
	}
	r := &reader{row: row}
	status := dfgroup.Status{
		Upstream:   dfgroup.UpstreamID(row[0]),
		DataCentre: string(row[1]),
		Role:       dfgroup.Role(row[2]),
		Accepted:   dfposition.Term(r.number(3, "Accepted")),
		Actor:      string(row[4]),
		LogTerm:    dfposition.Term(r.number(5, "LogTerm")),
		Flushed:    dfposition.Offset(r.number(6, "Flushed")),
		Applied:    dfposition.Offset(r.number(7, "Applied")),
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
	return dfgroup.Status{}, eris.Errorf("status row: role %q is not known", status.Role)
}
