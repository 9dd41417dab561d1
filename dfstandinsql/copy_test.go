package dfstandinsql

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfstandinstore"
)

// Guards against a stand-in that removes more than the line end from a COPY line, and so
// cannot tell whether a host altered it. PostgreSQL refuses carriage returns elsewhere.
func TestCopyKeepsText(t *testing.T) {
	for _, each := range [][2]string{
		{"rod\t1\t2\n", "rod"}, {"rod\t1\t2\r\n", "rod"}, {" rod \t1\t2", " rod "},
		{`rod\r` + "\t1\t2\n", "rod\r"}, {`rod\r\n` + "\t1\t2\n", "rod\r\n"},
		{"rod\t1\t2\r\r\n", "22P04"}, {"rod\r\t1\t2\n", "22P04"}, {"rod\t1\t2\r", "22P04"},
	} {
		data, want := each[0], each[1]
		db := dfstandinstore.NewDatabase((&ledger{}).hooks())
		session := NewSession(db, bare{}, map[string]string{})
		statements, err := Parse("COPY catalogue FROM STDIN")
		require.NoError(t, err)
		if _, err = session.CopyIn(context.Background(), statements[0], []byte(data)); err == nil {
			err = session.Finish()
		}
		var failure *dfstandinstore.Error
		if err != nil {
			require.ErrorAs(t, err, &failure, "%q", data)
			require.Equal(t, want, failure.Code, "%q", data)
			continue
		}
		require.Equal(t, want, db.Rows("catalogue")[0][0], "%q", data)
	}
}
