package dfstandinwire

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"dragonflygrade/dfstandinsql"
	"dragonflygrade/dfstandinstore"
)

func (c *Conn) copyIn(ctx context.Context, statement *dfstandinsql.Statement) (dfstandinsql.Result, error) {
	count, err := c.session.CopyColumns(statement)
	if err != nil {
		return dfstandinsql.Result{}, err
	}
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, count)})
	if err := c.backend.Flush(); err != nil {
		return dfstandinsql.Result{}, err
	}
	var data []byte
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return dfstandinsql.Result{}, err
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			return c.session.CopyIn(ctx, statement, data)
		case *pgproto3.CopyFail:
			return dfstandinsql.Result{}, dfstandinstore.Errorf(dfstandinstore.CodeCancelled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return dfstandinsql.Result{}, dfstandinstore.Errorf(codeProtocol, "unexpected message during COPY")
		}
		if len(data) > copyLimit {
			return dfstandinsql.Result{}, dfstandinstore.Errorf("54000", "COPY is larger than %d bytes", copyLimit)
		}
	}
}

func (c *Conn) copyOut(ctx context.Context, statement *dfstandinsql.Statement) (dfstandinsql.Result, error) {
	count, err := c.session.CopyColumns(statement)
	if err != nil {
		return dfstandinsql.Result{}, err
	}
	result, err := c.session.Execute(ctx, statement, nil, nil)
	if err != nil {
		return dfstandinsql.Result{}, err
	}
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, count)})
	for _, row := range result.Rows {
		c.backend.Send(&pgproto3.CopyData{Data: dfstandinsql.FormatCopy(row)})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	return dfstandinsql.Result{Tag: "COPY " + strconv.Itoa(len(result.Rows))}, nil
}
