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

// seeds returns how many seeds to run.
func seeds(t *testing.T) uint64 {
	text := os.Getenv("DRAGONFLYGRADE_SEEDS")
	if text == "" {
		return 200
	}
	count, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err)
	return count
}

// service returns a service whose owner and age tell publications apart.
func service(name string, age int) dfconfig.Service {
	return dfconfig.Service{
		Name: name, Owner: "desk", SessionMaxAge: dfclock.Millis(age),
		Databases: []dfconfig.Database{{
			Name: "main", Slots: 3, ConnectionLimit: 20,
			Upstreams: []dfconfig.Upstream{{ID: "a", DataCentre: "Nitra", Address: "127.0.0.1:1"}},
		}},
		Callers: []dfconfig.Caller{{User: "shop", CredentialRef: "env:SHOP"}},
	}
}

// result is what one operator was told.
type result struct {
	plan      Plan
	published Published
	err       error
}

// race is one run: what operators were told and what hosts adopted.
type race struct {
	mu       sync.Mutex
	results  []result
	adopted  [hosts][]uint64
	inForce  [hosts]dfconfig.Index
	store    *store
	finished bool
}

// operate publishes changes of one to three services, one after the other.
func (r *race) operate(t *testing.T, seed uint64, operator int) {
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	platform := &access{r.store, random, 12}
	publisher, err := New(platform, Options{Author: fmt.Sprintf("operator%d", operator), Random: random, Sleep: sleep})
	require.NoError(t, err)
	for i := range publications {
		var services []dfconfig.Service
		for _, number := range random.Perm(12)[:1+random.IntN(3)] {
			services = append(services, service(fmt.Sprintf("s%d", number), 1+operator*publications+i))
		}
		plan, err := publisher.Plan(context.Background(), services, nil)
		if err != nil {
			continue
		}
		published, err := publisher.Publish(context.Background(), plan)
		r.mu.Lock()
		r.results = append(r.results, result{plan, published, err})
		r.mu.Unlock()
	}
}

// follow adopts the head until the operators have finished and it is in force.
func (r *race) follow(seed uint64, host int) {
	random := rand.New(rand.NewPCG(seed, uint64(100+host)))
	platform := &access{r.store, random, 12}
	publisher, _ := New(platform, Options{Author: "host", Random: random, Sleep: sleep})
	adoption := dfconfig.NewAdoption()
	for last := false; !last || adoption.InForce().Version() < r.headVersion(); {
		last = r.done()
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		head, err := publisher.readHead(context.Background())
		if err != nil || head.rowVersion == 0 {
			continue
		}
		adoption.OfferIndex(head.index)
		for _, address := range adoption.Missing() {
			if document, err := publisher.document(context.Background(), address); err == nil {
				adoption.Deliver(document)
			}
		}
		r.mu.Lock()
		r.adopted[host] = append(r.adopted[host], adoption.InForce().Version())
		r.inForce[host] = adoption.InForce().Index()
		r.mu.Unlock()
	}
}

func (r *race) done() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished
}

func (r *race) headVersion() uint64 {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	head, err := dfconfig.DecodeHead(r.store.rows[dfconfig.HeadKey].Value)
	if err != nil {
		return 0
	}
	return head.Version
}

// run races all operators and hosts in virtual time.
func run(t *testing.T, seed uint64, blind bool) *race {
	r := &race{store: newStore(rand.New(rand.NewPCG(seed, 99)))}
	r.store.blind = blind
	var working, following sync.WaitGroup
	for operator := range operators {
		working.Go(func() { r.operate(t, seed, operator) })
	}
	for host := range hosts {
		following.Go(func() { r.follow(seed, host) })
	}
	working.Wait()
	r.mu.Lock()
	r.finished = true
	r.mu.Unlock()
	following.Wait()
	return r
}

// chain returns the indexes that were in force, by version.
func (r *race) chain() ([]dfconfig.Index, error) {
	head, err := dfconfig.DecodeHead(r.store.rows[dfconfig.HeadKey].Value)
	if err != nil {
		return nil, err
	}
	indexes := make([]dfconfig.Index, head.Version+1)
	attempt := head.Attempt
	for version := head.Version; version > 0; version-- {
		index, err := dfconfig.DecodeIndex(r.store.objects[dfconfig.IndexObject(version, attempt)])
		if err != nil {
			return nil, err
		}
		indexes[version], attempt = index, index.Previous
	}
	return indexes, nil
}

// check compares what operators were told with the chain of versions and with
// what is in force at the hosts.
func (r *race) check() error {
	chain, err := r.chain()
	if err != nil {
		return err
	}
	applied := make(map[string]result)
	var unknowns []string
	for _, result := range r.results {
		var failure *dfresult.Error
		switch {
		case errors.As(result.err, &failure) && failure.Code == dfresult.ConfigurationUnknown:
			unknowns = append(unknowns, failure.Detail)
		case result.err == nil && !result.published.Unchanged:
			applied[result.published.Attempt] = result
			version := result.published.Version
			if version >= uint64(len(chain)) || chain[version].Attempt != result.published.Attempt {
				return eris.Errorf("accepted version %d was reverted", version)
			}
		}
	}
	for version := 1; version < len(chain); version++ {
		if err := checkStep(chain[version-1], chain[version], applied, unknowns); err != nil {
			return err
		}
	}
	for host, index := range r.inForce {
		if index.Digest() != chain[len(chain)-1].Digest() {
			return eris.Errorf("host %d has version %d in force instead of %d", host, index.Version, len(chain)-1)
		}
		for i := 1; i < len(r.adopted[host]); i++ {
			if r.adopted[host][i] < r.adopted[host][i-1] {
				return eris.Errorf("host %d fell back to version %d", host, r.adopted[host][i])
			}
		}
	}
	return nil
}

// checkStep checks that a version changed what its publication said, from the
// state that its operator had seen, and nothing else.
func checkStep(before, after dfconfig.Index, applied map[string]result, unknowns []string) error {
	result, ok := applied[after.Attempt]
	if !ok {
		for _, detail := range unknowns {
			if strings.Contains(detail, after.Attempt) {
				return nil
			}
		}
		return eris.Errorf("refused attempt %s is version %d", after.Attempt, after.Version)
	}
	want := before
	for _, change := range result.plan.Changes {
		if now := before.Services[change.Service]; now != change.From && now != change.To {
			return eris.Errorf("version %d overwrote an unseen change of %s", after.Version, change.Service)
		}
		want = want.WithService(change.Service, change.To)
	}
	if want.Next(after.Author, after.Attempt).Digest() != after.Digest() {
		return eris.Errorf("version %d changed more than its publication", after.Version)
	}
	return nil
}

// TestRace guards against accepted publications that are lost or reverted, and
// refused ones that take effect, when operators race over a platform that is
// slow, has outages and loses answers.
func TestRace(t *testing.T) {
	accepted, refused, unknown := 0, 0, 0
	for seed := range seeds(t) {
		synctest.Test(t, func(t *testing.T) {
			r := run(t, seed, false)
			require.NoError(t, r.check(), "seed %d", seed)
			for _, result := range r.results {
				var failure *dfresult.Error
				switch {
				case result.err == nil:
					accepted++
				case errors.As(result.err, &failure) && failure.Code.Outcome() == dfresult.Unknown:
					unknown++
				default:
					refused++
				}
			}
		})
	}
	t.Logf("%d accepted, %d refused, %d unknown", accepted, refused, unknown)
	require.Positive(t, accepted)
	require.Positive(t, refused)
}

// TestRaceWithoutConditions puts a fault in on purpose: a table that ignores
// conditions. The check of TestRace must fire.
func TestRaceWithoutConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		require.Error(t, run(t, 1, true).check())
	})
}
