package dfconfig

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// seedCount returns the number of seeds to run.
func seedCount(t *testing.T) uint64 {
	text := os.Getenv("DRAGONFLYGRADE_SEEDS")
	if text == "" {
		return 200
	}
	count, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err)
	return count
}

func sampleService(name string, age int) Service {
	return Service{
		Name: name, SessionMaxAge: dfclock.Millis(age),
		Databases: []Database{{Name: "main", Slots: 1, ConnectionLimit: 3, Upstreams: []Upstream{{ID: "a"}}}},
	}
}

// randomVersions returns snapshots with random changes, indexed by version, and all
// their documents by content address.
func randomVersions(t *testing.T, random *rand.Rand, count int) ([]Snapshot, map[string][]byte) {
	t.Helper()
	all, documents := []Snapshot{{}}, make(map[string][]byte)
	for i := 1; i <= count; i++ {
		next, name := all[i-1], fmt.Sprintf("s%d", random.IntN(5))
		if random.IntN(4) == 0 {
			next = next.WithoutService(name)
		} else {
			service := sampleService(name, i)
			document, err := Encode(service)
			require.NoError(t, err)
			documents[ContentAddress(document)] = document
			next, err = next.WithService(service)
			require.NoError(t, err)
		}
		all = append(all, next.Next("ada", fmt.Sprintf("attempt%d", i)))
	}
	return all, documents
}

// TestAdoption guards against applied versions that decrease and snapshots that differ
// from the published ones when offers and documents are reordered, lost or repeated.
func TestAdoption(t *testing.T) {
	for seed := range seedCount(t) {
		random := rand.New(rand.NewPCG(seed, 1))
		all, documents := randomVersions(t, random, 40)
		ahead, behind := NewAdoption(), NewAdoption()
		applied := uint64(0)
		for behind.Applied().Version() < 40 {
			offered := all[1+random.IntN(40)].Index()
			var actions []Action
			switch random.IntN(3) {
			case 0:
				actions = behind.OfferIndex(offered)
			case 1:
				ahead.OfferIndex(offered)
				for _, address := range ahead.Missing() {
					ahead.Deliver(documents[address])
				}
				payload, err := ahead.Difference(behind.Applied().Version()).Encode()
				require.NoError(t, err)
				if difference, err := DecodeDifference(payload); err == nil {
					actions = behind.OfferDifference(difference)
				}
			default:
				for _, address := range behind.Missing() {
					if random.IntN(2) == 0 {
						actions = behind.Deliver(documents[address])
					}
				}
			}
			for _, action := range actions {
				if adopt, ok := action.(Adopt); ok {
					require.True(t, VersionIncreases(applied, adopt.Snapshot.Version()), "seed %d", seed)
					applied = adopt.Snapshot.Version()
				}
			}
			require.Equal(t, all[behind.Applied().Version()], behind.Applied(), "seed %d", seed)
		}
	}
}

// manyServices returns an index with the given number of services, and their
// documents.
func manyServices(t testing.TB, count int) (Index, [][]byte) {
	t.Helper()
	head, documents := Snapshot{}, make([][]byte, count)
	for i := range documents {
		service := sampleService(fmt.Sprintf("service-%04d", i), 1)
		var err error
		head, err = head.WithService(service)
		require.NoError(t, err)
		documents[i], err = Encode(service)
		require.NoError(t, err)
	}
	return head.Next("ada", "attempt1").Index(), documents
}

// TestDeliver guards against deliveries that request all other missing documents
// again, which made the start of a host quadratic in the number of services, and
// against a version that waits for documents received with a rejected difference.
func TestDeliver(t *testing.T) {
	index, documents := manyServices(t, 50)
	adoption := NewAdoption()
	require.Len(t, adoption.OfferIndex(index)[0].(FetchDocuments).Addresses, 50)
	last := len(documents) - 1
	for i, document := range documents[:last] {
		require.Empty(t, adoption.Deliver(document))
		require.Empty(t, adoption.Deliver(document))
		require.Len(t, adoption.Missing(), last-i)
	}
	rejected := Difference{From: 5, To: 6, Documents: map[string]string{ContentAddress(documents[last]): string(documents[last])}}
	require.IsType(t, Reject{}, adoption.OfferDifference(rejected)[0])
	require.Empty(t, adoption.Missing())
	require.IsType(t, Adopt{}, adoption.Deliver(documents[0])[0])
	require.Zero(t, adoption.Pending())
	require.Empty(t, adoption.Missing())
}

// TestLowerOffer offers an older version, as an index and as a difference. Both must be
// rejected and the applied version must not change.
func TestLowerOffer(t *testing.T) {
	all, documents := randomVersions(t, rand.New(rand.NewPCG(1, 1)), 10)
	adoption, old := NewAdoption(), NewAdoption()
	for _, document := range documents {
		adoption.documents[ContentAddress(document)] = document
		old.documents[ContentAddress(document)] = document
	}
	require.IsType(t, Adopt{}, old.OfferIndex(all[4].Index())[0])
	require.IsType(t, Adopt{}, adoption.OfferIndex(all[9].Index())[0])
	require.IsType(t, Reject{}, adoption.OfferIndex(all[8].Index())[0])
	require.IsType(t, Reject{}, adoption.OfferDifference(old.Difference(0))[0])
	require.Equal(t, uint64(9), adoption.Applied().Version())
	require.False(t, VersionIncreases(9, 8) || VersionIncreases(9, 9))
}

// TestWrongBase guards against differences applied to a version that they do not cover
// or with a wrong digest, and against documents that do not match their address.
func TestWrongBase(t *testing.T) {
	all, documents := randomVersions(t, rand.New(rand.NewPCG(2, 1)), 10)
	adoption := NewAdoption()
	adoption.documents = documents
	adoption.OfferIndex(all[5].Index())
	difference := History{}.WithIndex(all[7].Index()).WithIndex(all[9].Index()).Difference(7)
	actions := adoption.OfferDifference(difference)
	require.IsType(t, Reject{}, actions[0])
	require.Equal(t, FetchIndex{9}, actions[1])
	difference = History{}.WithIndex(all[5].Index()).WithIndex(all[9].Index()).Difference(5)
	difference.Changed = map[string]string{"s0": ContentAddress(nil)}
	require.IsType(t, Reject{}, adoption.OfferDifference(difference)[0])
	difference = History{}.WithIndex(all[9].Index()).Difference(0)
	fresh := NewAdoption()
	for address := range documents {
		difference.Documents = map[string]string{address: "{}"}
		require.IsType(t, FetchDocuments{}, fresh.OfferDifference(difference)[0])
	}
}

// TestHistoryBound guards against a history that grows without limit, and against a
// whole index sent to a host that is one version behind.
func TestHistoryBound(t *testing.T) {
	all, _ := randomVersions(t, rand.New(rand.NewPCG(3, 1)), 3*maxHistoryVersions)
	history := History{}
	for _, snapshot := range all[1:] {
		history = history.WithIndex(snapshot.Index())
	}
	require.Len(t, history.changes, maxHistoryVersions)
	require.True(t, history.Difference(2*maxHistoryVersions-1).Whole)
	last := history.Difference(3*maxHistoryVersions - 1)
	require.False(t, last.Whole)
	require.Equal(t, 1, len(last.Changed)+len(last.Removed))
}

// TestFreshness guards against reads whose maximum age exceeds the declared one, and
// against repeats of requests that must run at most once.
func TestFreshness(t *testing.T) {
	service := sampleService("s", 5000)
	service.Priorities.Read = 5
	service.Reads = []ReadRule{
		{Pattern: Pattern{Tables: []string{"catalogue", "prices"}}, MaxAge: 30000, Priority: 7},
		{Pattern: Pattern{Tables: []string{"prices"}}, MaxAge: 10000, Priority: -1},
		{Pattern: Pattern{Tables: []string{"stock"}}, Strong: true, Priority: 2},
		{Pattern: Pattern{Statement: "select state from shipments"}, MaxAge: 1000, Priority: -1},
		{Pattern: Pattern{Fingerprint: "ab12"}, MaxAge: 2000, Priority: -1},
	}
	service.NoRepeat = []Pattern{{Statement: "insert into bookings"}}
	cases := []struct {
		query Query
		want  Freshness
	}{
		{Query{Tables: []string{"catalogue"}}, Freshness{30000, false, 7}},
		{Query{Tables: []string{"public.Catalogue"}}, Freshness{30000, false, 7}},
		{Query{Tables: []string{"catalogue", "prices"}}, Freshness{30000, false, 7}},
		{Query{Tables: []string{"prices"}}, Freshness{10000, false, 7}},
		{Query{Tables: []string{"catalogue", "orders"}}, Freshness{5000, false, 5}},
		{Query{Tables: []string{"catalogue", "stock"}}, Freshness{5000, true, 2}},
		{Query{Text: "/* x */ -- y\nSELECT  state\nFROM shipments WHERE id = 1"}, Freshness{1000, false, 5}},
		{Query{Text: "SELECT state FROM shipments_old"}, Freshness{5000, false, 5}},
		{Query{Fingerprint: "AB12"}, Freshness{2000, false, 5}},
		{Query{}, Freshness{5000, false, 5}},
	}
	for _, c := range cases {
		require.Equal(t, c.want, service.Freshness(c.query), "%+v", c.query)
	}
	require.False(t, service.MayRepeat(Query{Text: "Insert into bookings values (1)"}))
	require.True(t, service.MayRepeat(Query{Text: "insert into bookings2 values (1)"}))
}

// TestSnapshot guards against changes of a snapshot after its creation.
func TestSnapshot(t *testing.T) {
	before, err := Snapshot{}.WithService(sampleService("a", 1))
	require.NoError(t, err)
	after, err := before.WithService(sampleService("b", 2))
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, before.Services())
	require.Len(t, after.WithoutService("a").Groups(), 1)
	require.Equal(t, []string{"a", "b"}, after.Services())
	database, ok := after.Database("b/main")
	require.True(t, ok)
	require.Equal(t, 1, database.Share())
	for _, absent := range []dfgroup.ID{"b", "b/none", "c/main"} {
		_, ok = after.Database(absent)
		require.False(t, ok, absent)
	}
}

// BenchmarkDeliver measures the start of a host with 3,600 services whose documents
// are delivered one by one.
func BenchmarkDeliver(b *testing.B) {
	index, documents := manyServices(b, 3600)
	for b.Loop() {
		adoption := NewAdoption()
		adoption.OfferIndex(index)
		for _, document := range documents {
			adoption.Deliver(document)
		}
		require.Equal(b, uint64(1), adoption.Applied().Version())
	}
}

// BenchmarkAdopt measures the adoption of a version that changes one of 1,200 services,
// from decoding the payload to applying the snapshot. It reports the payload sizes.
func BenchmarkAdopt(b *testing.B) {
	ahead := NewAdoption()
	head := Snapshot{}
	for i := range 1200 {
		head, _ = head.WithService(sampleService(fmt.Sprintf("service-%d", i), 1))
	}
	offer := func(snapshot Snapshot) {
		ahead.OfferIndex(snapshot.Index())
		for _, name := range snapshot.Services() {
			service, _ := snapshot.Service(name)
			document, err := Encode(service)
			require.NoError(b, err)
			ahead.Deliver(document)
		}
	}
	head = head.Next("ada", "attempt1")
	offer(head)
	whole, err := ahead.Difference(0).Encode()
	require.NoError(b, err)
	base, _ := DecodeDifference(whole)
	changed, _ := head.WithService(sampleService("service-7", 2))
	offer(changed.Next("ada", "attempt2"))
	payload, err := ahead.Difference(1).Encode()
	require.NoError(b, err)
	behind := NewAdoption()
	behind.OfferDifference(base)
	for b.Loop() {
		host := *behind
		difference, _ := DecodeDifference(payload)
		require.Equal(b, uint64(2), difference.To)
		host.OfferDifference(difference)
		require.Equal(b, uint64(2), host.Applied().Version())
	}
	b.ReportMetric(float64(len(payload)), "payload-bytes")
	b.ReportMetric(float64(len(whole)), "whole-bytes")
}
