package dfhost

import (
	"context"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfconfig"
	"dragonflygrade/dfplatform"
)

// maxDifferences bounds the differences fetched one after the other. At the
// mean rate of changes they span a minute; beyond that one index is sooner.
const maxDifferences = 4

// readIndex returns the index that the head names, by differences from the
// index in force if a few lead there, else as a whole.
func readIndex(
	ctx context.Context, store dfplatform.ObjectStore, inForce dfconfig.Index, head dfconfig.Head,
) (dfconfig.Index, error) {
	if index, err := caughtUp(ctx, store, inForce, head); err == nil {
		return index, nil
	}
	data, err := store.Fetch(ctx, head.Index)
	if err != nil {
		return dfconfig.Index{}, err
	}
	return dfconfig.DecodeIndex(data)
}

// caughtUp follows the differences back from the head to the index in force
// and applies them.
func caughtUp(
	ctx context.Context, store dfplatform.ObjectStore, index dfconfig.Index, head dfconfig.Head,
) (dfconfig.Index, error) {
	if index.Version == 0 || head.Version > index.Version+maxDifferences {
		return dfconfig.Index{}, eris.Errorf("configuration: version %d is too far from version %d", head.Version, index.Version)
	}
	var chain []dfconfig.Difference
	attempt := head.Attempt
	for version := head.Version; version > index.Version; version-- {
		data, err := store.Fetch(ctx, dfconfig.DifferenceObject(version, attempt))
		if err != nil {
			return dfconfig.Index{}, err
		}
		difference, err := dfconfig.DecodeDifference(data)
		if err != nil {
			return dfconfig.Index{}, err
		}
		if difference.To != version || difference.Attempt != attempt {
			return dfconfig.Index{}, eris.Errorf("configuration: the difference to version %d leads elsewhere", version)
		}
		chain = append(chain, difference)
		attempt = difference.Previous
	}
	var err error
	for i := len(chain) - 1; i >= 0 && err == nil; i-- {
		index, err = chain[i].Apply(index)
	}
	return index, err
}
