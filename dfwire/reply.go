package dfwire

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"dragonflygrade/dfresult"
)

// SQLSTATE codes that have no result code, because PostgreSQL defines them.
const (
	stateAborted         = "25P02"
	stateIdle            = "57P05"
	stateTransactionIdle = "25P03"
)

// resultOf finds the result code of an error. An unexpected error is internal.
func resultOf(err error) *dfresult.Error {
	return dfresult.FromError(err, dfresult.Internal)
}

// errorResponse formats a result for drivers.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	result := resultOf(err)
	detail := fmt.Sprintf("DF%04d, outcome: %s", result.Code, result.Code.Outcome())
	if result.Detail != "" {
		detail += ": " + result.Detail
	}
	response := plainError(severity, result.Code.SQLState(), result.Code.Text())
	response.Detail = detail
	if result.RetryAfter > 0 {
		response.Hint = "Retry after " + result.RetryAfter.String() + "."
	}
	return response
}

func plainError(severity, state, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                state,
		Message:             message,
	}
}

// encodable is a message that the server writes itself.
type encodable interface {
	Encode(dst []byte) ([]byte, error)
}

// write buffers messages of the server.
func (c *caller) write(messages ...encodable) error {
	for _, message := range messages {
		encoded, err := message.Encode(c.scratch[:0])
		if err != nil {
			return err
		}
		c.scratch = encoded
		if err := c.writer.Raw(encoded); err != nil {
			return err
		}
	}
	return nil
}

// fatal tells the caller why its connection ends.
func (c *caller) fatal(response *pgproto3.ErrorResponse) {
	if c.write(response) != nil || c.writer.Flush() != nil {
		return
	}
	c.linger()
}
