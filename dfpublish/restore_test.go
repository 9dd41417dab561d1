package dfpublish

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfconfig"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstandinplatform"
)

// Guards against a publication that is based on a head from an older copy, which no
// host has confirmed and which may lack versions that were accepted.
func TestRestoredHeadIsNotBuiltUpon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), dfstandinplatform.NewStore(dfstandinplatform.Options{})
		publisher, err := New(store, Options{Author: "ada", Random: rand.New(rand.NewPCG(1, 2)), Sleep: sleep})
		require.NoError(t, err)
		plan, err := publisher.Plan(ctx, []dfconfig.Service{sampleService("rod", 1000)}, nil)
		require.NoError(t, err)
		_, err = publisher.Publish(ctx, plan)
		require.NoError(t, err)
		planned, err := publisher.Plan(ctx, []dfconfig.Service{sampleService("rod", 2000)}, nil)
		require.NoError(t, err)
		store.Restore(store.TakeCopy())
		before, err := store.Get(ctx, dfconfig.HeadKey)
		require.NoError(t, err)
		_, err = publisher.Publish(ctx, planned)
		require.Contains(t, requireCode(t, dfresult.PlatformUnavailable, err), "no host has confirmed the configuration")
		after, err := store.Get(ctx, dfconfig.HeadKey)
		require.NoError(t, err)
		require.Equal(t, before, after)
	})
}
