package dfstandin

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their upstream.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
