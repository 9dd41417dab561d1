package dfpublish

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfresult"
)

const (
	operators    = 4
	publications = 50
	hosts        = 9
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

// sampleService returns a service whose maximum age identifies its publication.
func sampleService(name string, age int) dfconfig.Service {
	return dfconfig.Service{
		Name: name, Owner: "desk", SessionMaxAge: dfclock.Millis(age),
		Databases: []dfconfig.Database{{
			Name: "main", Slots: 3, ConnectionLimit: 20,
			Upstreams: []dfconfig.Upstream{{ID: "a", DataCentre: "Nitra", Address: "127.0.0.1:1"}},
		}},
		Callers: []dfconfig.Caller{{User: "shop", CredentialRef: "env:SHOP"}},
	}
}

// result is the outcome of a publication as reported to its operator.
type result struct {
	plan      Plan
	published Published
	err       error
}

// simulation is one run with the outcomes reported to operators and the versions
// applied by hosts.
type simulation struct {
	mu              sync.Mutex
	results         []result
	appliedVersions [hosts][]uint64
	appliedIndexes  [hosts]dfconfig.Index
	store           *store
	finished        bool
}

// runOperator publishes changes of one to three services, one after the other.
func (s *simulation) runOperator(t *testing.T, seed uint64, operator int) {
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	platform := &client{s.store, random, 12}
	publisher, err := New(platform, Options{Author: fmt.Sprintf("operator%d", operator), Random: random, Sleep: sleep})
	require.NoError(t, err)
	for i := range publications {
		var services []dfconfig.Service
		for _, number := range random.Perm(12)[:1+random.IntN(3)] {
			services = append(services, sampleService(fmt.Sprintf("s%d", number), 1+operator*publications+i))
		}
		plan, err := publisher.Plan(context.Background(), services, nil)
		if err != nil {
			continue
		}
		published, err := publisher.Publish(context.Background(), plan)
		s.mu.Lock()
		s.results = append(s.results, result{plan, published, err})
		s.mu.Unlock()
	}
}

// runHost adopts the current version until the operators have finished and the last
// version is applied.
func (s *simulation) runHost(seed uint64, host int) {
	random := rand.New(rand.NewPCG(seed, uint64(100+host)))
	platform := &client{s.store, random, 12}
	publisher, _ := New(platform, Options{Author: "host", Random: random, Sleep: sleep})
	adoption := dfconfig.NewAdoption()
	for last := false; !last || adoption.Applied().Version() < s.headVersion(); {
		last = s.done()
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		head, err := publisher.readHead(context.Background())
		if err != nil || head.rowVersion == 0 {
			continue
		}
		adoption.OfferIndex(head.index)
		for _, address := range adoption.Missing() {
			if document, err := publisher.fetchDocument(context.Background(), address); err == nil {
				adoption.Deliver(document)
			}
		}
		s.mu.Lock()
		s.appliedVersions[host] = append(s.appliedVersions[host], adoption.Applied().Version())
		s.appliedIndexes[host] = adoption.Applied().Index()
		s.mu.Unlock()
	}
}

func (s *simulation) done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished
}

func (s *simulation) headVersion() uint64 {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	head, err := dfconfig.DecodeHead(s.store.rows[dfconfig.HeadKey].Value)
	if err != nil {
		return 0
	}
	return head.Version
}

// simulate runs all operators and hosts concurrently in virtual time.
func simulate(t *testing.T, seed uint64, ignoreConditions bool) *simulation {
	s := &simulation{store: newStore(rand.New(rand.NewPCG(seed, 99)))}
	s.store.ignoreConditions = ignoreConditions
	var operatorGroup, hostGroup sync.WaitGroup
	for operator := range operators {
		operatorGroup.Go(func() { s.runOperator(t, seed, operator) })
	}
	for host := range hosts {
		hostGroup.Go(func() { s.runHost(seed, host) })
	}
	operatorGroup.Wait()
	s.mu.Lock()
	s.finished = true
	s.mu.Unlock()
	hostGroup.Wait()
	return s
}

// chain returns the index of each version.
func (s *simulation) chain() ([]dfconfig.Index, error) {
	head, err := dfconfig.DecodeHead(s.store.rows[dfconfig.HeadKey].Value)
	if err != nil {
		return nil, err
	}
	indexes := make([]dfconfig.Index, head.Version+1)
	attempt := head.Attempt
	for version := head.Version; version > 0; version-- {
		index, err := dfconfig.DecodeIndex(s.store.objects[dfconfig.IndexObject(version, attempt)])
		if err != nil {
			return nil, err
		}
		indexes[version], attempt = index, index.Previous
	}
	return indexes, nil
}

// check compares the outcomes reported to operators with the chain of versions and
// with the versions applied by the hosts.
func (s *simulation) check() error {
	chain, err := s.chain()
	if err != nil {
		return err
	}
	acceptedResults := make(map[string]result)
	var unknowns []string
	for _, result := range s.results {
		var failure *dfresult.Error
		switch {
		case errors.As(result.err, &failure) && failure.Code == dfresult.ConfigurationUnknown:
			unknowns = append(unknowns, failure.Detail)
		case result.err == nil && !result.published.Unchanged:
			acceptedResults[result.published.Attempt] = result
			version := result.published.Version
			if version >= uint64(len(chain)) || chain[version].Attempt != result.published.Attempt {
				return eris.Errorf("accepted version %d was reverted", version)
			}
		}
	}
	for version := 1; version < len(chain); version++ {
		if err := checkVersion(chain[version-1], chain[version], acceptedResults, unknowns); err != nil {
			return err
		}
	}
	for host, index := range s.appliedIndexes {
		if index.Digest() != chain[len(chain)-1].Digest() {
			return eris.Errorf("host %d has applied version %d instead of %d", host, index.Version, len(chain)-1)
		}
		for i := 1; i < len(s.appliedVersions[host]); i++ {
			if s.appliedVersions[host][i] < s.appliedVersions[host][i-1] {
				return eris.Errorf("host %d went back to version %d", host, s.appliedVersions[host][i])
			}
		}
	}
	return nil
}

// checkVersion checks that a version has exactly the changes of its publication, and that
// they are based on the state that the operator had seen.
func checkVersion(before, after dfconfig.Index, acceptedResults map[string]result, unknowns []string) error {
	result, ok := acceptedResults[after.Attempt]
	if !ok {
		for _, detail := range unknowns {
			if strings.Contains(detail, after.Attempt) {
				return nil
			}
		}
		return eris.Errorf("rejected attempt %s became version %d", after.Attempt, after.Version)
	}
	want := before
	for _, change := range result.plan.Changes {
		if now := before.Services[change.Service]; now != change.From && now != change.To {
			return eris.Errorf("version %d overwrote an unseen change of %s", after.Version, change.Service)
		}
		want = want.WithService(change.Service, change.To)
	}
	if want.Next(after.Author, after.Attempt).Digest() != after.Digest() {
		return eris.Errorf("version %d does not have exactly the changes of its publication", after.Version)
	}
	return nil
}

// TestRace guards against accepted publications that are lost or reverted, and rejected
// ones that take effect. Operators publish concurrently to a platform that is slow, has
// outages and loses requests and answers.
func TestRace(t *testing.T) {
	accepted, rejected, unknown := 0, 0, 0
	for seed := range seedCount(t) {
		synctest.Test(t, func(t *testing.T) {
			s := simulate(t, seed, false)
			require.NoError(t, s.check(), "seed %d", seed)
			for _, result := range s.results {
				var failure *dfresult.Error
				switch {
				case result.err == nil:
					accepted++
				case errors.As(result.err, &failure) && failure.Code.Outcome() == dfresult.Unknown:
					unknown++
				default:
					rejected++
				}
			}
		})
	}
	t.Logf("%d accepted, %d rejected, %d unknown", accepted, rejected, unknown)
	require.Positive(t, accepted)
	require.Positive(t, rejected)
}

// TestRaceWithoutConditions injects a fault, a table that ignores the conditions of
// writes. The check of TestRace must detect it.
func TestRaceWithoutConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		require.Error(t, simulate(t, 1, true).check())
	})
}
