package dfholder

import (
	"os"
	"testing"

	"github.com/phuslu/log"

	"dragonflygrade/dfupstream"
)

// TestMain makes failed invariant checks panic and sets the log level to error.
func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.ErrorLevel
	dfupstream.SetStrict(true)
	os.Exit(m.Run())
}
