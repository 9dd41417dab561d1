package dfpublish

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfresult"
)

// Recorder takes audit entries; *dfaudit.Writer implements it.
type Recorder interface {
	Add(entry dfaudit.Entry) error
	Flush(ctx context.Context) error
}

// NewTrail returns the audit trail of one run of an operator's tool. The run
// must differ between runs, such as an identity made by dfplatform.Attempts.
func NewTrail(author, run string) *dfaudit.Trail {
	return dfaudit.NewTrail("publish-"+author, run)
}

// Options are the settings of a publisher.
type Options struct {
	// Author is the operator, a name without slashes.
	Author string
	// Why goes to the audit trail.
	Why string
	// Random must be seeded differently in each process.
	Random  *rand.Rand
	Sleep   dfplatform.Sleep
	Backoff dfplatform.Backoff
	// Audit may be nil.
	Audit Recorder
}

// Publisher publishes for one operator. It is used by one goroutine.
type Publisher struct {
	platform dfplatform.Platform
	options  Options
	attempts *dfplatform.Attempts
	settler  *dfplatform.Settler
}

// New returns a publisher on a platform.
func New(platform dfplatform.Platform, options Options) (*Publisher, error) {
	if options.Author == "" || strings.ContainsAny(options.Author, "/\n") {
		return nil, dfresult.NewError(dfresult.ConfigurationInvalid, "the author %q is not a name without slashes", options.Author)
	}
	if options.Backoff.Tries == 0 {
		options.Backoff = dfplatform.DefaultBackoff
	}
	return &Publisher{
		platform: platform,
		options:  options,
		attempts: dfplatform.NewAttempts(options.Author, options.Random),
		settler:  dfplatform.NewSettler(platform, options.Backoff, options.Random, options.Sleep),
	}, nil
}

// Published is an accepted publication.
type Published struct {
	// Version is in force from now on, or was in force already if Unchanged.
	Version uint64
	Attempt string
	// Unchanged is true if the head had all changes already.
	Unchanged bool
	// Rebased counts the publications of others that came in between.
	Rebased int
	// AuditFault tells why the audit record may be missing, or is nil.
	AuditFault error
}

// Check parses the files. All faults are in the error's detail, and the
// refusal goes to the audit trail.
func (p *Publisher) Check(ctx context.Context, files []dfconfig.File) ([]dfconfig.Service, error) {
	services, faults := dfconfig.Parse(files)
	if len(faults) == 0 {
		return services, nil
	}
	err := dfresult.NewError(dfresult.ConfigurationInvalid, "%d faults\n%s", len(faults), faults.String())
	shown := fmt.Sprintf("%d faults: %s", len(faults), faults[:min(len(faults), maxShown)].String())
	_ = p.record(ctx, nil, shown, "refused: "+dfresult.ConfigurationInvalid.Text())
	return nil, err
}

// Plan compares services with the head and returns what would change.
// Services that are neither given nor removed stay as they are.
func (p *Publisher) Plan(ctx context.Context, services []dfconfig.Service, remove []string) (Plan, error) {
	head, err := p.readHead(ctx)
	if err != nil {
		return Plan{}, unavailable(err)
	}
	plan := Plan{base: head, documents: make(map[string][]byte)}
	for _, service := range services {
		document, err := dfconfig.Encode(service)
		if err != nil {
			return Plan{}, dfresult.NewError(dfresult.ConfigurationInvalid, "%s", err)
		}
		change := ServiceChange{
			Service: service.Name, From: head.index.Services[service.Name], To: dfconfig.Address(document),
		}
		if change.From == change.To {
			continue
		}
		plan.documents[change.To] = document
		plan.Changes = append(plan.Changes, change)
	}
	for _, name := range remove {
		if from := head.index.Services[name]; from != "" {
			plan.Changes = append(plan.Changes, ServiceChange{Service: name, From: from})
		}
	}
	for i, change := range plan.Changes {
		before, err := p.document(ctx, change.From)
		if err != nil {
			return Plan{}, unavailable(err)
		}
		plan.Changes[i].Keys = keyChanges(before, plan.documents[change.To])
	}
	sort.Slice(plan.Changes, func(i, j int) bool { return plan.Changes[i].Service < plan.Changes[j].Service })
	return plan, nil
}

// Publish puts the plan in force. Its errors are *dfresult.Error: a conflict
// or an unavailable platform changed nothing, an unknown result may still take
// effect.
func (p *Publisher) Publish(ctx context.Context, plan Plan) (Published, error) {
	published, err := p.publish(ctx, plan)
	outcome := fmt.Sprintf("accepted as version %d by attempt %s", published.Version, published.Attempt)
	if published.Unchanged {
		outcome = fmt.Sprintf("already in force in version %d", published.Version)
	}
	if err != nil {
		outcome = "refused: " + err.Error()
		if err.Code.Outcome() == dfresult.Unknown {
			outcome = "unknown: " + err.Error()
		}
	}
	published.AuditFault = p.record(ctx, plan.Changes, p.options.Why, outcome)
	if err != nil {
		return published, err
	}
	return published, nil
}

func (p *Publisher) publish(ctx context.Context, plan Plan) (Published, *dfresult.Error) {
	for address, document := range plan.documents {
		if err := p.put(ctx, dfconfig.ServiceObject(address), document); err != nil {
			return Published{}, unavailable(err)
		}
	}
	head := plan.base
	for round := range maxRounds {
		if plan.holds(head.index) {
			return Published{Version: head.index.Version, Attempt: head.index.Attempt, Unchanged: true, Rebased: round}, nil
		}
		index := plan.apply(head.index, p.options.Author, p.attempts.Next())
		accepted, failure := p.commit(ctx, head, index)
		if failure != nil {
			return Published{}, failure
		}
		if accepted {
			return Published{Version: index.Version, Attempt: index.Attempt, Rebased: round}, nil
		}
		var err error
		if head, err = p.readHead(ctx); err != nil {
			return Published{}, unavailable(err)
		}
		if change, clashes := plan.clash(head.index); clashes {
			return Published{}, p.conflict(ctx, plan, head, change)
		}
	}
	return Published{}, dfresult.NewError(dfresult.ConfigurationConflict,
		"%d other publications came first; publish again", maxRounds)
}

// commit writes the index with its difference and then the head. It returns false if another
// publication came first.
func (p *Publisher) commit(ctx context.Context, head base, index dfconfig.Index) (bool, *dfresult.Error) {
	data, err := index.Encode()
	if err != nil {
		return false, dfresult.NewError(dfresult.ConfigurationInvalid, "%s", err)
	}
	row, err := index.Head().Encode()
	if err != nil {
		return false, dfresult.NewError(dfresult.ConfigurationInvalid, "%s", err)
	}
	if err := p.put(ctx, index.Head().Index, data); err != nil {
		return false, unavailable(err)
	}
	if err := p.putDifference(ctx, head.index, index); err != nil {
		return false, unavailable(err)
	}
	err = p.settler.Commit(ctx, index.Attempt, dfplatform.Write{
		Key: dfconfig.HeadKey, IfVersion: head.rowVersion, Value: row,
	})
	switch {
	case err == nil:
		return true, nil
	case eris.Is(err, dfplatform.ErrConflict):
		return false, nil
	case eris.Is(err, dfplatform.ErrReplaced):
		return p.settleReplaced(ctx, index)
	case eris.Is(err, dfplatform.ErrRefused):
		return false, unavailable(err)
	}
	return false, unknown(index, err)
}

// putDifference stores what changed, so that hosts a few versions behind need
// not fetch the whole index. The first version and one that changed more than a
// payload may have go without; hosts then fetch the index.
func (p *Publisher) putDifference(ctx context.Context, from, to dfconfig.Index) error {
	if from.Version == 0 {
		return nil
	}
	payload, err := dfconfig.NewDifference(from, to).Encode()
	if err != nil {
		return nil //nolint:nilerr // The index alone is enough.
	}
	return p.put(ctx, dfconfig.DifferenceObject(to.Version, to.Attempt), payload)
}

// settleReplaced finds out from the chain of indexes whether the attempt was
// in force before others replaced it.
func (p *Publisher) settleReplaced(ctx context.Context, index dfconfig.Index) (bool, *dfresult.Error) {
	head, err := p.readHead(ctx)
	if err != nil {
		return false, unknown(index, err)
	}
	found := head.index
	for range maxWalk {
		if found.Version <= index.Version {
			return found.Version == index.Version && found.Attempt == index.Attempt, nil
		}
		if found, err = p.before(ctx, found); err != nil {
			return false, unknown(index, err)
		}
	}
	return false, unknown(index, eris.New("too many versions since"))
}

// conflict tells who changed the service since the plan's base, and how that
// differs from the plan.
func (p *Publisher) conflict(ctx context.Context, plan Plan, head base, change ServiceChange) *dfresult.Error {
	author := head.index
	address := head.index.Services[change.Service]
	for range maxWalk {
		earlier, err := p.before(ctx, author)
		if err != nil || earlier.Services[change.Service] != address || earlier.Version <= plan.Version() {
			break
		}
		author = earlier
	}
	theirs, err := p.document(ctx, address)
	detail := "the difference could not be read"
	if err == nil {
		lines := make([]string, 0)
		for _, key := range keyChanges(theirs, plan.documents[change.To]) {
			lines = append(lines, key.String())
		}
		detail = strings.Join(lines, "\n")
	}
	return dfresult.NewError(dfresult.ConfigurationConflict,
		"service %s was changed by %s in version %d; theirs to yours:\n%s",
		change.Service, author.Author, author.Version, detail)
}

// before returns the index of the version before.
func (p *Publisher) before(ctx context.Context, index dfconfig.Index) (dfconfig.Index, error) {
	if index.Version <= 1 {
		return dfconfig.Index{}, nil
	}
	return p.index(ctx, dfconfig.IndexObject(index.Version-1, index.Previous))
}

// readHead returns the head in force; without a row it is version 0.
func (p *Publisher) readHead(ctx context.Context) (base, error) {
	var row dfplatform.Row
	err := p.settler.Retry(ctx, func(ctx context.Context) error {
		var err error
		row, err = p.platform.Get(ctx, dfconfig.HeadKey)
		return err
	})
	if eris.Is(err, dfplatform.ErrNotFound) {
		return base{}, nil
	}
	if err != nil {
		return base{}, eris.Wrap(err, "publish: read the head")
	}
	head, err := dfconfig.DecodeHead(row.Value)
	if err != nil {
		return base{}, err
	}
	index, err := p.index(ctx, head.Index)
	return base{rowVersion: row.Version, index: index}, err
}

func (p *Publisher) index(ctx context.Context, name string) (dfconfig.Index, error) {
	data, err := p.fetch(ctx, name)
	if err != nil {
		return dfconfig.Index{}, err
	}
	return dfconfig.DecodeIndex(data)
}

// document returns a service document, nil for the empty address.
func (p *Publisher) document(ctx context.Context, address string) ([]byte, error) {
	if address == "" {
		return nil, nil
	}
	return p.fetch(ctx, dfconfig.ServiceObject(address))
}

func (p *Publisher) fetch(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := p.settler.Retry(ctx, func(ctx context.Context) error {
		var err error
		data, err = p.platform.Fetch(ctx, name)
		return err
	})
	return data, eris.Wrapf(err, "publish: fetch %s", name)
}

func (p *Publisher) put(ctx context.Context, name string, data []byte) error {
	err := p.settler.Retry(ctx, func(ctx context.Context) error { return p.platform.Put(ctx, name, data) })
	return eris.Wrapf(err, "publish: store %s", name)
}

// record adds one audit entry for each service, or one without a service.
func (p *Publisher) record(ctx context.Context, changes []ServiceChange, why, outcome string) error {
	if p.options.Audit == nil {
		return nil
	}
	entry := dfaudit.Entry{Who: p.options.Author, Kind: dfaudit.KindPublication, Why: why, Outcome: outcome}
	if len(changes) == 0 {
		changes = []ServiceChange{{}}
	}
	for _, change := range changes {
		entry.Service, entry.From, entry.To = change.Service, change.From, change.To
		if err := p.options.Audit.Add(entry); err != nil {
			return err
		}
	}
	return p.settler.Retry(ctx, p.options.Audit.Flush)
}

// InForce reports the lowest version in force at the hosts of each data centre.
type InForce func(ctx context.Context) (map[string]uint64, error)

// Wait returns when every data centre reports at least the version, and the
// span that it took by the number of waits.
func (p *Publisher) Wait(ctx context.Context, version uint64, inForce InForce) (dfclock.Millis, error) {
	waited := dfclock.Millis(0)
	for {
		versions, err := inForce(ctx)
		if err == nil && reached(versions, version) {
			return waited, nil
		}
		if err := p.options.Sleep(ctx, waitInterval); err != nil {
			return waited, eris.Wrapf(err, "publish: version %d is not in force everywhere: %v", version, versions)
		}
		waited += waitInterval
	}
}

func reached(versions map[string]uint64, version uint64) bool {
	for _, inForce := range versions {
		if inForce < version {
			return false
		}
	}
	return len(versions) > 0
}

func unavailable(err error) *dfresult.Error {
	return dfresult.NewError(dfresult.PlatformUnavailable, "%s", err).WithRetryAfter(dfclock.Second)
}

func unknown(index dfconfig.Index, err error) *dfresult.Error {
	return dfresult.NewError(dfresult.ConfigurationUnknown,
		"attempt %s for version %d: %s; it may still come into force", index.Attempt, index.Version, err)
}
