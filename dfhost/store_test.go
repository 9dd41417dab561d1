package dfhost

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfstandinplatform"
)

// TestSilentStore guards against an audit trail that a single call without an
// answer stops for good.
func TestSilentStore(t *testing.T) {
	store := dfstandinplatform.NewStore(dfstandinplatform.Options{})
	store.SetFaults(dfstandinplatform.Faults{Outage: dfstandinplatform.OutageSilent})
	require.Error(t, boundedStore{store}.Put(context.Background(), "audit/a/1/1", nil))
	store.SetFaults(dfstandinplatform.Faults{})
	require.NoError(t, boundedStore{store}.Put(context.Background(), "audit/a/1/1", nil))
}
