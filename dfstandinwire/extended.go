package dfstandinwire

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"dragonflygrade/dfstandinsql"
	"dragonflygrade/dfstandinstore"
)

type prepared struct {
	// statement is nil for an empty text.
	statement   *dfstandinsql.Statement
	description dfstandinsql.Description
}

type portal struct {
	prepared   *prepared
	parameters []dfstandinstore.Value
	formats    []int16
	started    bool
	result     dfstandinsql.Result
	sent       int
}

func (c *Conn) extended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return dfstandinstore.Errorf(codeProtocol, "message %T is not supported", message)
}

func (c *Conn) parse(m *pgproto3.Parse) error {
	statements, err := dfstandinsql.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return dfstandinstore.Errorf(dfstandinstore.CodeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if c.session.Status() == 'E' && len(statements) == 1 && !statements[0].EndsTransaction() {
		return errAborted()
	}
	if _, known := c.statements[m.Name]; known && m.Name != "" {
		return dfstandinstore.Errorf("42P05", "prepared statement %q already exists", m.Name)
	}
	entry := &prepared{}
	if len(statements) == 1 {
		entry.statement = statements[0]
		if entry.description, err = c.session.Describe(entry.statement, m.ParameterOIDs); err != nil {
			return err
		}
	}
	c.statements[m.Name] = entry
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func errAborted() error {
	return dfstandinstore.Errorf(dfstandinstore.CodeInTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// aborted reports whether the statement cannot run in a failed transaction.
func (c *Conn) aborted(entry *prepared) bool {
	return c.session.Status() == 'E' && (entry.statement == nil || !entry.statement.EndsTransaction())
}

func (c *Conn) bind(m *pgproto3.Bind) error {
	entry := c.statements[m.PreparedStatement]
	if entry == nil {
		return dfstandinstore.Errorf(codeStatementName, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if c.aborted(entry) {
		return errAborted()
	}
	oids := entry.description.Parameters
	if len(m.Parameters) != len(oids) {
		return dfstandinstore.Errorf(codeProtocol, "bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(oids))
	}
	bound := &portal{prepared: entry, formats: slices.Clone(m.ResultFormatCodes)}
	for i, data := range m.Parameters {
		value, err := dfstandinstore.Decode(data, oids[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		bound.parameters = append(bound.parameters, value)
	}
	c.portals[m.DestinationPortal] = bound
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *Conn) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		entry := c.statements[m.Name]
		if entry == nil {
			return dfstandinstore.Errorf(codeStatementName, "prepared statement %q does not exist", m.Name)
		}
		if c.session.Status() == 'E' && entry.description.Columns != nil {
			return errAborted()
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: entry.description.Parameters})
		c.sendDescription(entry.description.Columns, nil)
		return nil
	}
	bound := c.portals[m.Name]
	if bound == nil {
		return dfstandinstore.Errorf(codePortalName, "portal %q does not exist", m.Name)
	}
	if c.session.Status() == 'E' && bound.prepared.description.Columns != nil {
		return errAborted()
	}
	c.sendDescription(bound.prepared.description.Columns, bound.formats)
	return nil
}

func (c *Conn) sendDescription(columns []dfstandinstore.Column, formats []int16) {
	if columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(rowDescription(columns, formats))
}

func (c *Conn) executePortal(m *pgproto3.Execute) error {
	bound := c.portals[m.Portal]
	if bound == nil {
		return dfstandinstore.Errorf(codePortalName, "portal %q does not exist", m.Portal)
	}
	if bound.prepared.statement == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !bound.started {
		result, err := c.execute(bound.prepared.statement, bound.parameters, bound.prepared.description.Parameters)
		if err != nil {
			return err
		}
		bound.started, bound.result = true, result
	}
	rows := bound.result.Rows[bound.sent:]
	limited := m.MaxRows > 0 && len(rows) > int(m.MaxRows)
	if limited {
		rows = rows[:m.MaxRows]
	}
	if err := c.sendRows(bound.result.Columns, rows, bound.formats); err != nil {
		return err
	}
	bound.sent += len(rows)
	if limited {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(bound.result.Tag)})
	return nil
}
