package dfholder

import (
	"os"
	"testing"

	"github.com/phuslu/log"

	"dragonflygrade/dfupstream"
)

// TestMain makes invariant checks panic and keeps the log to errors.
func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.ErrorLevel
	dfupstream.SetStrict(true)
	os.Exit(m.Run())
}
