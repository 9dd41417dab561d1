package dfload

import (
	"errors"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"dragonflygrade/dfresult"
)

// codePattern finds the result code that a host puts into its errors.
var codePattern = regexp.MustCompile(`DF(\d{4})`)

// outcomeOf tells what the error of a write says about its effect, and which
// code explains it.
func outcomeOf(err error) (dfresult.Outcome, string) {
	if err == nil {
		return dfresult.Done, ""
	}
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		if code, found := resultCode(refusal); found {
			return code.Outcome(), "DF" + strconv.Itoa(int(code))
		}
		// An upstream's own error means that it rolled the statement back.
		return dfresult.NotRun, refusal.Code
	}
	if pgconn.SafeToRetry(err) {
		return dfresult.NotRun, "connect"
	}
	return dfresult.Unknown, "lost"
}

func resultCode(refusal *pgconn.PgError) (dfresult.Code, bool) {
	for _, text := range []string{refusal.Detail, refusal.Message} {
		match := codePattern.FindStringSubmatch(text)
		if match == nil {
			continue
		}
		number, err := strconv.Atoi(match[1])
		if err == nil {
			return dfresult.Code(number), true
		}
	}
	return 0, false
}
