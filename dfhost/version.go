package dfhost

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfunit"
)

const (
	// parameterVersion is the setting that holds the version of an upstream.
	parameterVersion = "server_version"
	// versionPeriod is how long a version is told before it is asked for again,
	// because a promotion may follow an upgrade.
	versionPeriod = 60 * dfclock.Second
	// versionRetry separates questions that were not answered.
	versionRetry = dfclock.Second
	// versionTimeout bounds the time that a login waits for the version. It is
	// several round trips between data centres.
	versionTimeout = 300 * dfclock.Millisecond
)

// versions has what the upstreams of each group run.
type versions struct {
	mu    sync.Mutex
	known map[dfgroup.ID]*version
}

// version is what is known of one group. The mutex is held while a question is
// under way, so that logins at the start of a host wait for its answer.
type version struct {
	mu sync.Mutex
	// text is empty before the first answer.
	text  string
	askAt dfclock.Millis
}

func (v *versions) entry(group dfgroup.ID) *version {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known == nil {
		v.known = make(map[dfgroup.ID]*version)
	}
	entry, found := v.known[group]
	if !found {
		entry = &version{}
		v.known[group] = entry
	}
	return entry
}

// serverVersion returns the version of the upstreams that serve the session, or
// nothing if no upstream has answered yet.
func (s *session) serverVersion(ctx context.Context) string {
	entry := s.host.versions.entry(s.group)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if !s.host.now().Reached(entry.askAt) {
		return entry.text
	}
	if text := s.askVersion(ctx); text != "" {
		entry.text, entry.askAt = text, s.host.now().Add(versionPeriod)
		return entry.text
	}
	entry.askAt = s.host.now().Add(versionRetry)
	return entry.text
}

// askVersion asks any upstream, through another host if this one holds no slot.
func (s *session) askVersion(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(versionTimeout)*time.Millisecond)
	defer cancel()
	now := s.host.now()
	request := dfunit.Request{
		ID: s.host.nextRequest(), Service: s.service, Group: s.group, Caller: s.caller, Class: dfunit.ClassRead,
		MaxAge: dfclock.Hour, TokenPresented: true, ArrivedAt: now, Deadline: now.Add(versionTimeout),
	}
	message := dfunit.Message{Type: messageQuery, Body: []byte("SHOW " + parameterVersion + "\x00")}
	sink := &valueSink{}
	_, unit, err := newAttempt(s.host, request, sink, func(dfunit.Unit) {}).run(ctx, dfunit.Batch{Messages: []dfunit.Message{message}})
	if err != nil {
		s.host.log.Debug().Err(err).Str("Group", string(s.group)).Msg("session: version not known")
		return ""
	}
	unit.Close()
	return sink.value
}

// valueSink keeps the first column of the last row.
type valueSink struct {
	value string
}

// Send takes one reply.
func (s *valueSink) Send(messageType byte, body []byte) error {
	var row pgproto3.DataRow
	if messageType == 'D' && row.Decode(body) == nil && len(row.Values) > 0 {
		s.value = string(row.Values[0])
	}
	return nil
}
