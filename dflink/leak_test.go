package dflink

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their network.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
