package dfhost

import (
	"context"

	"dragonflygrade/dfplatform"
)

// boundedStore ends calls without an answer, so that one call that was made
// during an outage does not stop the audit trail for good.
type boundedStore struct {
	dfplatform.Platform
}

// Put stores an object within the bound of a fetch.
func (s boundedStore) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.Platform.Put(ctx, name, data)
}
