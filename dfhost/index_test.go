package dfhost

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfconfig"
	"dragonflygrade/dfplatform"
)

// objects is an object store that counts the bytes fetched.
type objects struct {
	dfplatform.ObjectStore
	data  map[string][]byte
	bytes int
}

func (o *objects) Fetch(_ context.Context, name string) ([]byte, error) {
	data, ok := o.data[name]
	if !ok {
		return nil, dfplatform.ErrNotFound
	}
	o.bytes += len(data)
	return data, nil
}

// TestReadIndex guards against a whole index fetched for a change of one
// service, and against a host that stays behind or takes a wrong index because
// a difference is absent, damaged or of another publication.
func TestReadIndex(t *testing.T) {
	store := &objects{data: make(map[string][]byte)}
	index := dfconfig.Index{}
	for i := range 3600 {
		index = index.WithService(fmt.Sprintf("service-%04d", i), dfconfig.ContentAddress([]byte{byte(i)}))
	}
	all := []dfconfig.Index{{}}
	for version := 1; version <= maxDifferences+2; version++ {
		last := index
		index = index.WithService("service-0007", dfconfig.ContentAddress([]byte{byte(version), 1})).Next("ada", fmt.Sprint("attempt", version))
		data, err := index.Encode()
		require.NoError(t, err)
		store.data[index.Head().Index] = data
		payload, err := dfconfig.NewDifference(last, index).Encode()
		require.NoError(t, err)
		store.data[dfconfig.DifferenceObject(index.Version, index.Attempt)] = payload
		all = append(all, index)
	}
	whole := len(store.data[index.Head().Index])
	read := func(from dfconfig.Index) int {
		store.bytes = 0
		got, err := readIndex(t.Context(), store, from, index.Head())
		require.NoError(t, err)
		require.Equal(t, index, got)
		return store.bytes
	}
	require.Less(t, read(all[maxDifferences+1]), whole/100)
	require.Less(t, read(all[2]), whole/100)
	t.Logf("one version behind %d bytes, %d behind %d bytes, whole %d bytes",
		read(all[maxDifferences+1]), maxDifferences, read(all[2]), whole)
	require.Equal(t, whole, read(all[1]), "too far behind")
	require.Equal(t, whole, read(all[0]), "no version yet")
	other := all[3].WithoutService("service-0001")
	require.GreaterOrEqual(t, read(other), whole, "another base")
	object := dfconfig.DifferenceObject(5, "attempt5")
	payload := store.data[object]
	store.data[object] = payload[:len(payload)/2]
	require.GreaterOrEqual(t, read(all[3]), whole, "damaged")
	store.data[object] = store.data[dfconfig.DifferenceObject(4, "attempt4")]
	require.GreaterOrEqual(t, read(all[3]), whole, "another version")
	delete(store.data, object)
	require.GreaterOrEqual(t, read(all[3]), whole, "absent")
}
