// Package dfstandinplatform is a stand-in for the platform: a transactional
// table, an object store and a host list that lags, with bounded rates and
// faults on command. Store serves tests within a process; Server offers the
// same store over gRPC.
package dfstandinplatform

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfrevision"
)

// Defaults of the platform's rates, in calls per second.
const (
	DefaultWrites = 400
	DefaultReads  = 2000
	// burstShare is the part of a second's calls that may come at once.
	burstShare = 10
)

// ErrInvalid means that a call makes no sense; nothing changed.
var ErrInvalid = eris.New("platform: invalid call")

// Outage is how the platform fails as a whole.
type Outage int

const (
	// OutageNone lets calls through.
	OutageNone Outage = iota
	// OutageRefused fails calls at once, without an effect.
	OutageRefused
	// OutageSilent leaves calls without an answer and without an effect.
	OutageSilent
)

// Options of a store. Zero rates take the defaults.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// MemberLag is the age of the host list that is shown.
	MemberLag dfclock.Millis
	// Seed decides which answers are lost.
	Seed uint64
	// Now returns the present instant; nil takes the process's clock.
	Now func() dfclock.Millis
}

// Faults are the faults in force.
type Faults struct {
	Outage Outage
	// Slowness delays each call before its effect.
	Slowness dfclock.Millis
	// LostAnswers is the probability that an answer is lost after the effect.
	LostAnswers float64
}

// memberList is the host list as it was from an instant on; it is never modified.
type memberList struct {
	since   dfclock.Millis
	members map[string]dfplatform.Member
}

// Store holds the platform's state and implements dfplatform.Platform.
type Store struct {
	now    func() dfclock.Millis
	writes *rate.Limiter
	reads  *rate.Limiter

	mu sync.Mutex
	// era counts from 1 how often the store came back from an older copy.
	era uint64
	// sequence numbers row versions, so that a row made anew gets a fresh version. It
	// goes back with the store.
	sequence uint64
	// rows have versions without an era, as the platform gives them out.
	rows    map[string]dfplatform.Row
	objects map[string][]byte
	// older is the copy that "restore" comes back from.
	older Copy
	// lists is in rising order of since and has at least one entry.
	lists  []memberList
	lag    dfclock.Millis
	faults Faults
	random *rand.Rand
}

var _ dfplatform.Platform = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(options Options) *Store {
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond = DefaultWrites
	}
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond = DefaultReads
	}
	if options.Now == nil {
		origin := time.Now()
		options.Now = func() dfclock.Millis { return dfclock.Millis(time.Since(origin).Milliseconds()) }
	}
	return &Store{now: options.Now, era: 1, writes: limiter(options.WritesPerSecond), reads: limiter(options.ReadsPerSecond),
		rows: map[string]dfplatform.Row{}, objects: map[string][]byte{}, lag: options.MemberLag,
		lists: []memberList{{since: -dfclock.Never}}, random: rand.New(rand.NewPCG(options.Seed, 0))}
}

func limiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstShare))
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Fault changes the faults in force by a command: "outage:refused",
// "outage:silent", "slow:milliseconds", "lost:probability",
// "memberlag:milliseconds" or "heal". "copy" takes a copy of rows and objects, and
// "restore" makes the store come back from it.
func (s *Store) Fault(command string) error {
	switch command {
	case "copy":
		older := s.TakeCopy()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.older = older
		return nil
	case "restore":
		s.mu.Lock()
		older := s.older
		s.mu.Unlock()
		s.Restore(older)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, argument, _ := strings.Cut(command, ":")
	number, err := strconv.ParseFloat(argument, 64)
	valid := err == nil && number >= 0
	switch {
	case command == "heal":
		s.faults = Faults{}
	case command == "outage:refused":
		s.faults.Outage = OutageRefused
	case command == "outage:silent":
		s.faults.Outage = OutageSilent
	case name == "slow" && valid:
		s.faults.Slowness = dfclock.Millis(number)
	case name == "lost" && valid && number <= 1:
		s.faults.LostAnswers = number
	case name == "memberlag" && valid:
		s.lag = dfclock.Millis(number)
	default:
		return eris.Wrapf(ErrInvalid, "fault %q", command)
	}
	return nil
}

// Copy is the content of a store at one moment. It is never modified. The zero value
// is the copy of an empty store.
type Copy struct {
	sequence uint64
	rows     map[string]dfplatform.Row
	objects  map[string][]byte
}

// TakeCopy returns a copy of the rows and objects.
func (s *Store) TakeCopy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{sequence: s.sequence, rows: maps.Clone(s.rows), objects: maps.Clone(s.objects)}
}

// Restore makes the store come back from an older copy, in the next era. All that was
// acknowledged since is lost, and row versions are given out again. The host list is
// not part of the store.
func (s *Store) Restore(older Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.sequence, s.rows, s.objects = older.sequence, maps.Clone(older.rows), maps.Clone(older.objects)
	if s.rows == nil {
		s.rows, s.objects = map[string]dfplatform.Row{}, map[string][]byte{}
	}
}

// Era returns the era of the store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetMemberLag changes the age of the host list that is shown.
func (s *Store) SetMemberLag(lag dfclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// enter applies the faults that come before the effect, and the rates.
func (s *Store) enter(ctx context.Context, limit *rate.Limiter) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.Outage == OutageRefused:
		return eris.Wrap(dfplatform.ErrUnavailable, "outage")
	case faults.Outage == OutageSilent:
		<-ctx.Done()
		return eris.Wrap(dfplatform.ErrUnavailable, "outage")
	case !limit.Allow():
		return eris.Wrap(dfplatform.ErrRefused, "rate exceeded")
	}
	timer := time.NewTimer(time.Duration(faults.Slowness) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(dfplatform.ErrUnavailable, "slow")
	}
}

// leave loses the answer with the probability in force. The caller holds mu.
func (s *Store) leave() error {
	if s.faults.LostAnswers > 0 && s.random.Float64() < s.faults.LostAnswers {
		return eris.Wrap(dfplatform.ErrUnavailable, "answer lost")
	}
	return nil
}

// Get returns one row or ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (dfplatform.Row, error) {
	if err := s.enter(ctx, s.reads); err != nil {
		return dfplatform.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found := s.rows[key]
	if err := s.leave(); err != nil {
		return dfplatform.Row{}, err
	}
	if !found {
		return dfplatform.Row{}, eris.Wrapf(dfplatform.ErrNotFound, "row %s", key)
	}
	return s.answered(row)
}

// answered returns a copy of a row with its version in the present era. The caller
// holds mu.
func (s *Store) answered(row dfplatform.Row) (dfplatform.Row, error) {
	version, err := dfrevision.New(s.era, uint64(row.Version))
	row.Value, row.Version = bytes.Clone(row.Value), version
	return row, err
}

// List returns the rows whose keys have the prefix, by key.
func (s *Store) List(ctx context.Context, prefix string) ([]dfplatform.Row, error) {
	if err := s.enter(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []dfplatform.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		row, err := s.answered(s.rows[key])
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, s.leave()
}

// Commit applies all writes or none.
func (s *Store) Commit(ctx context.Context, attempt string, writes ...dfplatform.Write) error {
	if err := s.enter(ctx, s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := dfplatform.CheckConditions(s.era, writes...); err != nil {
		return err
	}
	if err := s.check(writes); err != nil {
		return err
	}
	for _, write := range writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		s.sequence++
		s.rows[write.Key] = dfplatform.Row{Key: write.Key, Value: bytes.Clone(write.Value), Version: dfrevision.Revision(s.sequence), Attempt: attempt}
	}
	return s.leave()
}

func (s *Store) check(writes []dfplatform.Write) error {
	seen := map[string]bool{}
	for _, write := range writes {
		if seen[write.Key] {
			return eris.Wrapf(ErrInvalid, "row %s is written twice in one commit", write.Key)
		}
		seen[write.Key] = true
		if have := uint64(s.rows[write.Key].Version); !write.Unconditional && have != write.IfVersion.Version() {
			return eris.Wrapf(dfplatform.ErrConflict, "row %s has version %d, not %d", write.Key, have, write.IfVersion.Version())
		}
	}
	return nil
}

// Put stores an object; other content under an existing name is ErrConflict.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if err := s.enter(ctx, s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if present, found := s.objects[name]; found && !bytes.Equal(present, data) {
		return eris.Wrapf(dfplatform.ErrConflict, "object %s has other content", name)
	}
	s.objects[name] = bytes.Clone(data)
	return s.leave()
}

// Fetch returns an object or ErrNotFound.
func (s *Store) Fetch(ctx context.Context, name string) ([]byte, error) {
	if err := s.enter(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, found := s.objects[name]
	if err := s.leave(); err != nil {
		return nil, err
	}
	if !found {
		return nil, eris.Wrapf(dfplatform.ErrNotFound, "object %s", name)
	}
	return bytes.Clone(data), nil
}

// Names returns the names with the prefix, in order.
func (s *Store) Names(ctx context.Context, prefix string) ([]string, error) {
	if err := s.enter(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names, s.leave()
}

// Members returns the host list as it was a lag ago, by identity.
func (s *Store) Members(ctx context.Context) ([]dfplatform.Member, error) {
	if err := s.enter(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := s.shownList()
	var members []dfplatform.Member
	for _, id := range slices.Sorted(maps.Keys(shown.members)) {
		members = append(members, shown.members[id])
	}
	return members, s.leave()
}

// shownList returns the newest list that is at least as old as the lag.
func (s *Store) shownList() memberList {
	at := 0
	for i, list := range s.lists {
		if list.since <= s.now()-s.lag {
			at = i
		}
	}
	return s.lists[at]
}

// SetMember changes or removes a member. It stands for the platform's own
// bookkeeping, so neither rates nor faults apply.
func (s *Store) SetMember(member dfplatform.Member, remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := maps.Clone(s.lists[len(s.lists)-1].members)
	if members == nil {
		members = map[string]dfplatform.Member{}
	}
	if remove {
		delete(members, member.ID)
	} else {
		members[member.ID] = member
	}
	s.lists = append(s.lists, memberList{since: s.now(), members: members})
	if len(s.lists) > keptLists {
		s.lists = slices.Delete(s.lists, 0, 1)
	}
}

// keptLists bounds the memory of former host lists.
const keptLists = 4096
