package dfhost

import (
	"context"
	"errors"
	"time"

	"dragonflygrade/dfclassify"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfresult"
	"dragonflygrade/dftoken"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

// Settings that a caller may change by SET.
const (
	parameterToken  = parameterPrefix + "token"
	parameterCaller = parameterPrefix + "caller"
)

// Transaction states in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusInside = 'T'
	statusFailed = 'E'
)

// session is one caller connection. It is used by one goroutine.
type session struct {
	host    *Host
	service string
	group   dfgroup.ID
	caller  string
	// report sends a parameter to the caller before the next ReadyForQuery.
	report func(name, value string)

	token dftoken.Token
	// presented is true once the caller has presented a token. Then the token
	// and this connection's own writes cover what the caller has written.
	presented bool

	// unit is open during a transaction and while state pins a connection.
	unit dfunit.Unit
	// canceller is the unit that a cancel request reaches.
	canceller unitPointer
	// inside is true while the caller is in a transaction.
	inside bool
	// status is the transaction status that the caller was told last.
	status byte
	// settings are set on every connection that serves the session.
	settings settingList
	// version is that of the upstreams, or empty if it was not known at startup.
	version string
	// application is the caller's own application_name, and firstApplication
	// the one given at startup.
	application, firstApplication string
	// applicationBefore is the name at the begin of the transaction that changed
	// it, valid if applicationChanged.
	applicationBefore  string
	applicationChanged bool
}

// Run executes one batch and returns the transaction status.
func (s *session) Run(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	status, err := s.run(ctx, batch, sink)
	s.status = status
	return status, err
}

func (s *session) run(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	service, found := s.host.configuration().Service(s.service)
	if !found {
		return statusIdle, dfresult.NewError(dfresult.ServiceUnknown, "service %q was removed", s.service)
	}
	p := makePlan(s.host.classifier, service, batch)
	if p.isLocal && s.status != statusFailed {
		return s.answerSetting(p.local, batch, sink)
	}
	limit := service.Deadlines.Write
	if s.unit == nil && p.class == dfunit.ClassRead {
		limit = service.Deadlines.Read
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(limit)*time.Millisecond)
	defer cancel()
	watch := &errorWatch{sink: sink}
	status, err := s.runBatch(ctx, service, p, limit, batch, watch)
	s.noteSettings(p, watch.failed || err != nil, status)
	return status, err
}

func (s *session) runBatch(ctx context.Context, service dfconfig.Service, p plan, limit dfclock.Millis, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	if s.unit != nil {
		return s.continueUnit(ctx, batch, sink)
	}
	if p.empty {
		return statusIdle, nil
	}
	return s.beginUnit(ctx, service, p, limit, s.settings.prelude(batch), sink)
}

// noteSettings takes over what a batch changed, and takes back what a
// transaction changed that was rolled back.
func (s *session) noteSettings(p plan, failed bool, status byte) {
	if status == statusIdle && (s.status == statusFailed || failed || p.control == dfclassify.ControlRollback) {
		s.settings.rolledBack()
		if s.applicationChanged {
			s.setApplication(s.applicationBefore)
		}
	}
	if status == statusIdle {
		s.applicationChanged = false
	}
	changes := p.settings
	if !p.executes {
		changes = nil
	}
	s.settings.changed(changes, failed, status)
}

// beginUnit runs the first batch of a unit, at another upstream or host if the
// first one can't take it.
func (s *session) beginUnit(ctx context.Context, service dfconfig.Service, p plan, limit dfclock.Millis, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	now := s.host.now()
	request := s.request(service, p, now, now.Add(limit))
	attempt := newAttempt(s.host, request, sink, s.canceller.set)
	result, unit, err := attempt.run(ctx, batch)
	s.unit = unit
	if err != nil {
		s.closeUnit()
		return statusIdle, err
	}
	s.finish(result, p.executes)
	return result.Status, nil
}

func (s *session) request(service dfconfig.Service, p plan, now, deadline dfclock.Millis) dfunit.Request {
	request := dfunit.Request{
		ID:        s.host.nextRequest(),
		Service:   service.Name,
		Group:     s.group,
		Caller:    s.caller,
		Class:     p.class,
		MaxAge:    p.maxAge,
		Strong:    p.strong,
		ArrivedAt: now,
		Deadline:  deadline,
		Priority:  p.priority,
		NoRepeat:  p.noRepeat,
	}
	if s.presented {
		request.Need, request.TokenPresented = s.token.Position(s.group)
	}
	if !p.executes && p.class == dfunit.ClassRead {
		// Preparing a statement reads no rows, so any upstream will do.
		request.TokenPresented, request.MaxAge, request.Strong = true, dfclock.Hour, false
	}
	return request
}

// continueUnit runs a batch on the open unit. Nothing can be repeated here,
// because earlier batches belong to the same transaction.
func (s *session) continueUnit(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	result, err := s.unit.Exchange(ctx, batch, sink)
	if err != nil {
		wasInside := s.inside
		s.closeUnit()
		if wasInside && !dfresult.IsCommitOutcomeUnknown(err) && !dfupstream.IsCommit(batch) {
			// The caller's side answers everything but the end of the
			// transaction from here on.
			return statusFailed, err
		}
		return statusIdle, err
	}
	s.finish(result, true)
	return result.Status, nil
}

// finish takes the result of a batch and closes a unit that has ended. Batches
// that only prepare statements are not counted as served.
func (s *session) finish(result dfunit.Result, executes bool) {
	if executes {
		s.host.counters.served(result)
	}
	s.inside = result.Status == statusInside || result.Status == statusFailed
	if !result.Position.IsZero() {
		s.token = s.token.WithPosition(s.group, result.Position)
		s.reportToken()
	}
	if result.Status == statusIdle && !result.Pinned {
		s.closeUnit()
	}
}

func (s *session) closeUnit() {
	s.canceller.set(nil)
	s.inside = false
	if s.unit != nil {
		s.unit.Close()
		s.unit = nil
	}
}

func (s *session) reportToken() {
	text, err := s.host.keys.Sign(s.token)
	if err != nil {
		s.host.log.Error().Err(err).Msg("session: token not signed")
		return
	}
	s.report(parameterToken, text)
}

// Cancel cancels the statement that runs now.
func (s *session) Cancel() {
	if unit := s.canceller.get(); unit != nil {
		unit.Cancel()
	}
}

// Close ends the session.
func (s *session) Close() {
	s.closeUnit()
}

// answerSetting answers SET, RESET and SHOW of the host's own parameters.
func (s *session) answerSetting(setting dfclassify.Setting, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	status := byte(statusIdle)
	if s.inside {
		status = statusInside
	}
	for _, message := range batch.Messages {
		if err := s.answerMessage(setting, message, sink); err != nil {
			return status, err
		}
	}
	if batch.Messages[len(batch.Messages)-1].Type == messageFlush {
		return 0, nil
	}
	return status, nil
}

// answerMessage answers one message of a batch about a host's own parameter.
func (s *session) answerMessage(setting dfclassify.Setting, message dfunit.Message, sink dfunit.Sink) error {
	description, row := textRow(setting.Name, s.parameter(setting.Name))
	shows := setting.Verb == dfclassify.VerbShow
	switch message.Type {
	case messageParse:
		return sink.Send('1', nil)
	case messageBind:
		return sink.Send('2', nil)
	case messageClose:
		return sink.Send('3', nil)
	case messageDescribe:
		if message.Body[0] == 'S' {
			if err := sink.Send('t', []byte{0, 0}); err != nil {
				return err
			}
		}
		if !shows {
			return sink.Send('n', nil)
		}
		return sink.Send('T', description)
	case messageQuery:
		if shows {
			if err := sink.Send('T', description); err != nil {
				return err
			}
		}
		return s.executeSetting(setting, row, sink)
	case messageExecute:
		return s.executeSetting(setting, row, sink)
	}
	return nil
}

// executeSetting carries a statement about a host's own parameter out.
func (s *session) executeSetting(setting dfclassify.Setting, row []byte, sink dfunit.Sink) error {
	switch setting.Verb {
	case dfclassify.VerbShow:
		return errors.Join(sink.Send('D', row), sink.Send('C', commandComplete("SHOW")))
	case dfclassify.VerbReset, dfclassify.VerbResetAll:
		s.resetParameter(setting.Name)
		return sink.Send('C', commandComplete("RESET"))
	}
	if err := s.setParameter(setting.Name, setting.Value); err != nil {
		return err
	}
	return sink.Send('C', commandComplete("SET"))
}

func (s *session) parameter(name string) string {
	switch name {
	case parameterCaller:
		return s.caller
	case parameterApplication:
		return s.application
	case parameterToken:
		if text, err := s.host.keys.Sign(s.token); err == nil {
			return text
		}
	}
	return ""
}

func (s *session) resetParameter(name string) {
	switch name {
	case parameterToken:
		s.token, s.presented = dftoken.New(s.service), false
	case parameterApplication:
		s.setApplication(s.firstApplication)
	}
}

func (s *session) setApplication(name string) {
	if s.inside && !s.applicationChanged {
		s.applicationBefore, s.applicationChanged = s.application, true
	}
	if name == s.application {
		return
	}
	s.application = name
	s.report(parameterApplication, name)
}

func (s *session) setParameter(name, value string) error {
	switch name {
	case parameterApplication:
		s.setApplication(value)
		return nil
	case parameterToken:
		return s.presentToken(value)
	case parameterCaller:
		if value == "" {
			return dfresult.NewError(dfresult.ProtocolViolation, "the caller name is empty")
		}
		s.caller = value
		s.token, s.presented = dftoken.New(s.service), false
		return nil
	}
	return dfresult.NewError(dfresult.FeatureUnsupported, "parameter %q: use %s or %s", name, parameterToken, parameterCaller)
}

// presentToken joins a token with what this connection has written itself.
func (s *session) presentToken(text string) error {
	token, err := s.host.keys.Parse(text, s.service)
	if err != nil {
		return err
	}
	for _, entry := range s.token.Entries() {
		if known, found := token.Position(entry.Group); found && known.Less(entry.Position) {
			token = token.WithPosition(entry.Group, entry.Position)
		}
	}
	s.token, s.presented = token, true
	return nil
}
