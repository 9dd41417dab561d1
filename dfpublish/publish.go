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

// Recorder records audit entries. It is implemented by *dfaudit.Writer.
type Recorder interface {
	Add(entry dfaudit.Entry) error
	Flush(ctx context.Context) error
}

// NewTrail returns the audit trail of one run of an operator's tool. The run ID must
// be unique, such as an ID made by dfplatform.Attempts.
func NewTrail(author, run string) *dfaudit.Trail {
	return dfaudit.NewTrail("publish-"+author, run)
}

// Options are the settings of a publisher.
type Options struct {
	// Author is the name of the operator. It must not contain slashes.
	Author string
	// Reason is recorded in the audit trail.
	Reason string
	// Random must have a different seed in each process, so that attempt IDs are
	// unique.
	Random  *rand.Rand
	Sleep   dfplatform.Sleep
	Backoff dfplatform.Backoff
	// Audit may be nil, in which case nothing is recorded.
	Audit Recorder
}

// Publisher publishes configuration versions for one operator. It is not safe for
// concurrent use.
type Publisher struct {
	platform dfplatform.Platform
	options  Options
	attempts *dfplatform.Attempts
	settler  *dfplatform.Settler
}

// New returns a publisher that stores configuration versions at the platform.
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

// Published is the result of an accepted publication.
type Published struct {
	// Version is the new version, or the current one if Unchanged is set.
	Version uint64
	Attempt string
	// Unchanged means that the current version already had all changes.
	Unchanged bool
	// Rebased is the number of commits that failed because another publication came
	// first.
	Rebased int
	// AuditErr is the error because of which the audit record may be missing, or nil.
	AuditErr error
}

// Check parses the files. If any is invalid, the detail of the error has all
// diagnostics, and the rejection is recorded in the audit trail.
func (p *Publisher) Check(ctx context.Context, files []dfconfig.File) ([]dfconfig.Service, error) {
	services, diagnostics := dfconfig.Parse(files)
	if len(diagnostics) == 0 {
		return services, nil
	}
	err := dfresult.NewError(dfresult.ConfigurationInvalid, "%d faults\n%s", len(diagnostics), diagnostics.String())
	audited := fmt.Sprintf("%d faults: %s", len(diagnostics), diagnostics[:min(len(diagnostics), maxAuditedDiagnostics)].String())
	_ = p.record(ctx, nil, audited, "refused: "+dfresult.ConfigurationInvalid.Text())
	return nil, err
}

// Plan compares services with the current version and returns the changes. Services
// that are neither given nor removed stay as they are.
func (p *Publisher) Plan(ctx context.Context, services []dfconfig.Service, remove []string) (Plan, error) {
	head, err := p.readHead(ctx)
	if err != nil {
		return Plan{}, unavailableError(err)
	}
	plan := Plan{base: head, documents: make(map[string][]byte)}
	for _, service := range services {
		document, err := dfconfig.Encode(service)
		if err != nil {
			return Plan{}, dfresult.NewError(dfresult.ConfigurationInvalid, "%s", err)
		}
		change := ServiceChange{
			Service: service.Name, From: head.index.Services[service.Name], To: dfconfig.ContentAddress(document),
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
		before, err := p.fetchDocument(ctx, change.From)
		if err != nil {
			return Plan{}, unavailableError(err)
		}
		plan.Changes[i].Keys = KeyChanges(before, plan.documents[change.To])
	}
	sort.Slice(plan.Changes, func(i, j int) bool { return plan.Changes[i].Service < plan.Changes[j].Service })
	return plan, nil
}

// Publish commits the plan as the next version. Its errors are of type
// *dfresult.Error. After a conflict, or if the platform is unavailable, nothing has
// changed. If the outcome is unknown, the publication may still take effect.
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
	published.AuditErr = p.record(ctx, plan.Changes, p.options.Reason, outcome)
	if err != nil {
		return published, err
	}
	return published, nil
}

func (p *Publisher) publish(ctx context.Context, plan Plan) (Published, *dfresult.Error) {
	for address, document := range plan.documents {
		if err := p.put(ctx, dfconfig.ServiceObject(address), document); err != nil {
			return Published{}, unavailableError(err)
		}
	}
	head := plan.base
	for round := range maxCommitRounds {
		if plan.containedIn(head.index) {
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
			return Published{}, unavailableError(err)
		}
		if change, clashes := plan.findConflict(head.index); clashes {
			return Published{}, p.conflictError(ctx, plan, head, change)
		}
	}
	return Published{}, dfresult.NewError(dfresult.ConfigurationConflict,
		"%d other publications came first; publish again", maxCommitRounds)
}

// commit writes the index and its difference, then the head. It returns false if
// another publication came first.
func (p *Publisher) commit(ctx context.Context, head headState, index dfconfig.Index) (bool, *dfresult.Error) {
	data, err := index.Encode()
	if err != nil {
		return false, dfresult.NewError(dfresult.ConfigurationInvalid, "%s", err)
	}
	row, err := index.Head().WithEra(p.platform.Era()).Encode()
	if err != nil {
		return false, dfresult.NewError(dfresult.ConfigurationInvalid, "%s", err)
	}
	if err := p.put(ctx, index.Head().Index, data); err != nil {
		return false, unavailableError(err)
	}
	if err := p.putDifference(ctx, head.index, index); err != nil {
		return false, unavailableError(err)
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
		return p.resolveReplaced(ctx, index)
	case eris.Is(err, dfplatform.ErrRefused):
		return false, unavailableError(err)
	}
	return false, unknownError(index, err)
}

// putDifference stores the difference to the previous version, so that hosts that are
// a few versions behind need not fetch the whole index. It is omitted for the first
// version and if it exceeds the payload limit. Hosts then fetch the index.
func (p *Publisher) putDifference(ctx context.Context, from, to dfconfig.Index) error {
	if from.Version == 0 {
		return nil
	}
	payload, err := dfconfig.NewDifference(from, to).Encode()
	if err != nil {
		return nil //nolint:nilerr // Hosts can fetch the index instead.
	}
	return p.put(ctx, dfconfig.DifferenceObject(to.Version, to.Attempt), payload)
}

// resolveReplaced determines the outcome of a commit whose answer was lost and whose row
// has been changed by others since. It follows the chain of previous indexes to find out
// whether the attempt became a version.
func (p *Publisher) resolveReplaced(ctx context.Context, index dfconfig.Index) (bool, *dfresult.Error) {
	head, err := p.readHead(ctx)
	if err != nil {
		return false, unknownError(index, err)
	}
	found := head.index
	for range maxChainWalk {
		if found.Version <= index.Version {
			return found.Version == index.Version && found.Attempt == index.Attempt, nil
		}
		if found, err = p.previousIndex(ctx, found); err != nil {
			return false, unknownError(index, err)
		}
	}
	return false, unknownError(index, eris.New("too many versions since"))
}

// conflictError returns the error for a change that conflicts with another publication.
// It names the author who last changed the service since the plan's base, and lists the
// keys in which the service differs from the plan.
func (p *Publisher) conflictError(ctx context.Context, plan Plan, head headState, change ServiceChange) *dfresult.Error {
	author := head.index
	address := head.index.Services[change.Service]
	for range maxChainWalk {
		earlier, err := p.previousIndex(ctx, author)
		if err != nil || earlier.Services[change.Service] != address || earlier.Version <= plan.Version() {
			break
		}
		author = earlier
	}
	theirs, err := p.fetchDocument(ctx, address)
	detail := "the difference could not be read"
	if err == nil {
		lines := make([]string, 0)
		for _, key := range KeyChanges(theirs, plan.documents[change.To]) {
			lines = append(lines, key.String())
		}
		detail = strings.Join(lines, "\n")
	}
	return dfresult.NewError(dfresult.ConfigurationConflict,
		"service %s was changed by %s in version %d; theirs to yours:\n%s",
		change.Service, author.Author, author.Version, detail)
}

// previousIndex returns the index of the previous version.
func (p *Publisher) previousIndex(ctx context.Context, index dfconfig.Index) (dfconfig.Index, error) {
	if index.Version <= 1 {
		return dfconfig.Index{}, nil
	}
	return p.fetchIndex(ctx, dfconfig.IndexObject(index.Version-1, index.Previous))
}

// errUnconfirmed means that the head may be from an older copy of the platform's store.
var errUnconfirmed = eris.New("the platform came back from an older copy, and no host has confirmed the configuration since")

// readHead returns the current version, or version 0 if there is no head. While the
// head may be older than versions that were confirmed, it waits for a host to bring it
// forward.
func (p *Publisher) readHead(ctx context.Context) (headState, error) {
	waited := dfclock.Millis(0)
	for {
		row, head, err := p.fetchHead(ctx)
		if err != nil || row.Version == 0 {
			return headState{}, err
		}
		if head.Era >= row.Version.Era() {
			index, err := p.fetchIndex(ctx, head.Index)
			return headState{rowVersion: row.Version, index: index}, err
		}
		if waited >= confirmTimeout {
			return headState{}, eris.Wrapf(errUnconfirmed, "publish: head of version %d", head.Version)
		}
		if err := p.options.Sleep(ctx, pollInterval); err != nil {
			return headState{}, eris.Wrap(err, "publish: read the head")
		}
		waited += pollInterval
	}
}

// fetchHead returns the head and its row, which are zero if there is no head.
func (p *Publisher) fetchHead(ctx context.Context) (dfplatform.Row, dfconfig.Head, error) {
	var row dfplatform.Row
	err := p.settler.Retry(ctx, func(ctx context.Context) error {
		var err error
		row, err = p.platform.Get(ctx, dfconfig.HeadKey)
		return err
	})
	if eris.Is(err, dfplatform.ErrNotFound) {
		return dfplatform.Row{}, dfconfig.Head{}, nil
	}
	if err != nil {
		return dfplatform.Row{}, dfconfig.Head{}, eris.Wrap(err, "publish: read the head")
	}
	head, err := dfconfig.DecodeHead(row.Value)
	return row, head, err
}

func (p *Publisher) fetchIndex(ctx context.Context, name string) (dfconfig.Index, error) {
	data, err := p.fetch(ctx, name)
	if err != nil {
		return dfconfig.Index{}, err
	}
	return dfconfig.DecodeIndex(data)
}

// fetchDocument returns a service document, or nil for an empty address.
func (p *Publisher) fetchDocument(ctx context.Context, address string) ([]byte, error) {
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

// record adds an audit entry for each changed service, or one without a service if
// there are no changes.
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

// AppliedVersions returns the lowest version applied by the hosts of each data centre.
type AppliedVersions func(ctx context.Context) (map[string]uint64, error)

// Wait blocks until the version or a newer one is applied in every data centre. It
// returns the time spent between the queries, without their own duration.
func (p *Publisher) Wait(ctx context.Context, version uint64, applied AppliedVersions) (dfclock.Millis, error) {
	waited := dfclock.Millis(0)
	for {
		versions, err := applied(ctx)
		if err == nil && allApplied(versions, version) {
			return waited, nil
		}
		if err := p.options.Sleep(ctx, pollInterval); err != nil {
			return waited, eris.Wrapf(err, "publish: version %d is not in force everywhere: %v", version, versions)
		}
		waited += pollInterval
	}
}

func allApplied(versions map[string]uint64, version uint64) bool {
	for _, applied := range versions {
		if applied < version {
			return false
		}
	}
	return len(versions) > 0
}

func unavailableError(err error) *dfresult.Error {
	return dfresult.NewError(dfresult.PlatformUnavailable, "%s", err).WithRetryAfter(dfclock.Second)
}

func unknownError(index dfconfig.Index, err error) *dfresult.Error {
	return dfresult.NewError(dfresult.ConfigurationUnknown,
		"attempt %s for version %d: %s; it may still come into force", index.Attempt, index.Version, err)
}
