package dfpublish

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfresult"
)

// newPublisher returns a publisher with an audit trail, and its platform client without
// message loss.
func newPublisher(t *testing.T, store *store, author string) (*Publisher, *client) {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(len(author)), uint64(author[0])))
	platform := &client{store: store, random: random}
	now := func() dfclock.Millis { return 1000 }
	audit := dfaudit.NewWriter(NewTrail(author, "1"), platform, now, sleep)
	publisher, err := New(platform, Options{Author: author, Reason: "spring sale", Random: random, Sleep: sleep, Audit: audit})
	require.NoError(t, err)
	return publisher, platform
}

// requireCode checks the result code of an error and returns its detail.
func requireCode(t *testing.T, code dfresult.Code, err error) string {
	t.Helper()
	var failure *dfresult.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, code, failure.Code, failure.Error())
	return failure.Detail
}

// TestConflict guards against conflict errors that do not tell who changed the service
// and how, against rebasing over another operator's change of the same service, and
// against rejected publications without an audit record.
func TestConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), newStore(nil)
		ada, platform := newPublisher(t, store, "ada")
		bo, _ := newPublisher(t, store, "bo")
		plan, err := ada.Plan(ctx, []dfconfig.Service{sampleService("rod", 1000), sampleService("cork", 1000)}, nil)
		require.NoError(t, err)
		_, err = ada.Publish(ctx, plan)
		require.NoError(t, err)

		adaPlan, err := ada.Plan(ctx, []dfconfig.Service{sampleService("rod", 2000)}, nil)
		require.NoError(t, err)
		boPlan, err := bo.Plan(ctx, []dfconfig.Service{sampleService("rod", 3000)}, nil)
		require.NoError(t, err)
		removal, err := bo.Plan(ctx, nil, []string{"cork"})
		require.NoError(t, err)
		require.Contains(t, adaPlan.String(), "rod changed\n  ~ SessionMaxAge = \"1s\" -> \"2s\"\n")
		require.Contains(t, removal.String(), "cork removed")

		published, err := ada.Publish(ctx, adaPlan)
		require.NoError(t, err)
		require.Equal(t, uint64(2), published.Version)
		published, err = bo.Publish(ctx, removal)
		require.NoError(t, err)
		require.Equal(t, Published{Version: 3, Attempt: published.Attempt, Rebased: 1}, published)
		// The difference of the rebased publication starts at the version before it.
		payload, err := platform.Fetch(ctx, dfconfig.DifferenceObject(3, published.Attempt))
		require.NoError(t, err)
		difference, err := dfconfig.DecodeDifference(payload)
		require.NoError(t, err)
		require.Equal(t, []string{"cork"}, difference.Removed)
		require.Empty(t, difference.Changed)
		require.Equal(t, uint64(2), difference.From)
		_, err = bo.Publish(ctx, boPlan)
		detail := requireCode(t, dfresult.ConfigurationConflict, err)
		require.Contains(t, detail, "rod was changed by ada in version 2")
		require.Contains(t, detail, "~ SessionMaxAge = \"2s\" -> \"3s\"")

		published, err = ada.Publish(ctx, adaPlan)
		require.NoError(t, err)
		require.True(t, published.Unchanged)

		_, err = bo.Check(ctx, []dfconfig.File{{Name: "x.toml", Data: []byte("Servce = 1\n")}})
		require.Contains(t, requireCode(t, dfresult.ConfigurationInvalid, err), "x.toml:1: Servce: unknown key; write Service")

		chains, err := dfaudit.Read(ctx, platform, "publish-bo")
		require.NoError(t, err)
		require.NoError(t, chains[0].Fault)
		require.Len(t, chains[0].Records, 3)
		require.Contains(t, chains[0].Records[0].Outcome, "accepted as version 3")
		require.Contains(t, chains[0].Records[1].Outcome, "refused: DF4002")
		require.Contains(t, chains[0].Records[2].Why, "unknown key")
	})
}

// commitDropper is a platform client whose commits never arrive.
type commitDropper struct{ *client }

func (d commitDropper) Commit(context.Context, string, ...dfplatform.Write) error {
	return eris.Wrap(dfplatform.ErrUnavailable, "dropped")
}

// TestUnknown guards against a publication reported as failed although it may still
// take effect, and against one reported as unknown although no commit was sent.
func TestUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := context.Background(), newStore(nil)
		ada, platform := newPublisher(t, store, "ada")
		plan, err := ada.Plan(ctx, []dfconfig.Service{sampleService("rod", 1000)}, nil)
		require.NoError(t, err)
		lossy, err := New(commitDropper{platform}, Options{Author: "ada", Random: platform.random, Sleep: sleep})
		require.NoError(t, err)
		_, err = lossy.Publish(ctx, plan)
		requireCode(t, dfresult.ConfigurationUnknown, err)
		platform.lossPercent = 100
		_, err = ada.Publish(ctx, plan)
		requireCode(t, dfresult.PlatformUnavailable, err)
	})
}

// TestWait guards against a wait that ends before the last data centre has applied the
// version, or that is ended by a failed query.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ada, _ := newPublisher(t, newStore(nil), "ada")
		calls := uint64(0)
		waited, err := ada.Wait(context.Background(), 7, func(context.Context) (map[string]uint64, error) {
			calls++
			if calls == 2 {
				return nil, eris.New("no answer")
			}
			return map[string]uint64{"Nitra": 7, "Senica": 3 + calls}, nil
		})
		require.NoError(t, err)
		require.Equal(t, 3*pollInterval, waited)
	})
}

// TestCollect guards against service files that are missed or read twice.
func TestCollect(t *testing.T) {
	files, err := Collect([]string{"../examples/consortium", "../examples/consortium/cork.toml", "../examples/kovacik/press.toml"})
	require.NoError(t, err)
	require.Len(t, files, 4)
	require.Equal(t, "../examples/consortium/cork.toml", files[0].Name)
	_, err = Collect([]string{"absent"})
	require.Error(t, err)
}
