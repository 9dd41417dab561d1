package dfstandinwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"dragonflygrade/dfstandinstore"
)

func rowDescription(columns []dfstandinstore.Column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, column := range columns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{Name: []byte(column.Name),
			DataTypeOID: column.OID, DataTypeSize: typeSize(column.OID), TypeModifier: -1, Format: formatOf(formats, i)})
	}
	return description
}

func typeSize(oid uint32) int16 {
	switch oid {
	case dfstandinstore.OIDBool:
		return 1
	case dfstandinstore.OIDInt4:
		return 4
	case dfstandinstore.OIDInt8, dfstandinstore.OIDFloat8:
		return 8
	}
	return -1
}

// formatOf applies the protocol's rule: none is text, one holds for all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func (c *Conn) sendRows(columns []dfstandinstore.Column, rows [][]dfstandinstore.Value, formats []int16) error {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, value := range row {
			encoded, err := dfstandinstore.Encode(value, columns[i].OID, formatOf(formats, i))
			if err != nil {
				return err
			}
			values[i] = encoded
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
	}
	return nil
}
