package dfedge

import (
	"time"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// identify returns the name of the organisation that holds a key, or why callers with
// the key may not use the route. The name is empty for anonymous callers. A host that
// may have missed a version does not report a key as unknown. e.mu must be held.
func (e *Edge) identify(now dfclock.Millis, key dfcatalog.KeyHash, route dfcatalog.Route) (string, *dfresult.Error) {
	if !e.catalog.HasOrganisations() {
		return "", nil
	}
	organisation, known := e.catalog.OrganisationOf(key)
	switch {
	case known && e.revocationUnconfirmed(now):
		return "", e.errUnconfirmed(now)
	case known || route.AllowAnonymous:
		return organisation.Name, nil
	case e.mayHaveMissedVersion(now):
		return "", e.errUnconfirmed(now)
	}
	return "", e.errKeyUnknown(route)
}

// revocationUnconfirmed reports whether the host may have missed the withdrawal of a
// key for longer than the settings allow.
func (e *Edge) revocationUnconfirmed(now dfclock.Millis) bool {
	return e.options.StrictRevocation && now-e.confirmedAt(now) >= e.options.RevokeTimeout
}

// mayHaveMissedVersion reports whether a key that the host does not know may have been
// added. A host that was suspended does not know of closed feeds at once.
func (e *Edge) mayHaveMissedVersion(now dfclock.Millis) bool {
	return e.newestVersion > e.catalog.Version() || now-e.currentAt(now) >= versionMaxAge ||
		e.suspended(now) || now-e.resumedAt < feedStallTimeout
}

// confirmedAt returns the latest time at which this host knew that its version of the
// desired state was the newest.
func (e *Edge) confirmedAt(now dfclock.Millis) dfclock.Millis {
	confirmed := e.currentAt(now)
	if e.newestVersion > e.catalog.Version() {
		confirmed = min(confirmed, e.newestVersionAt)
	}
	return confirmed
}

// recordVersion records the version of a neighbour, whose document may arrive later.
func (e *Edge) recordVersion(now dfclock.Millis, version uint64) {
	if version <= max(e.newestVersion, e.catalog.Version()) {
		return
	}
	if e.newestVersion <= e.catalog.Version() {
		e.newestVersionAt = now
	}
	e.newestVersion = version
}

// recordTick notes when the host was suspended. Ticks are then late.
func (e *Edge) recordTick(now dfclock.Millis) {
	if e.suspended(now) {
		e.resumedAt = now
	}
	e.tickedAt = now
}

// suspended reports whether the host was suspended and has made no decision since.
func (e *Edge) suspended(now dfclock.Millis) bool {
	return now-e.tickedAt >= suspensionGap
}

// awaitVersion holds a request that arrived while the host was suspended until the
// host has read the versions that arrived meanwhile. Otherwise it could run the
// request under a key that was withdrawn long ago.
func (e *Edge) awaitVersion() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	until := now.Add(resumeTimeout)
	for e.catalog.HasOrganisations() && now < until && (e.suspended(now) || now-e.resumedAt < resumeTimeout) {
		e.mu.Unlock()
		time.Sleep(tickInterval)
		e.mu.Lock()
		now = e.options.Now()
	}
}

func (e *Edge) errUnconfirmed(now dfclock.Millis) *dfresult.Error {
	return dfresult.NewError(dfresult.ConfigurationAbsent, "version %d may be outdated, confirmed %s ago",
		e.catalog.Version(), now-e.confirmedAt(now)).WithRetryAfter(dfclock.Second)
}

func (e *Edge) errKeyUnknown(route dfcatalog.Route) *dfresult.Error {
	return dfresult.NewError(dfresult.AuthenticationFailed, "database %s at version %d", route.Database, e.catalog.Version())
}

// wakeDisplacedSessions makes the sessions that lost their identity under the current
// version notice it while they wait for a call. e.mu must be held.
func (e *Edge) wakeDisplacedSessions() {
	for sess := range e.sessions {
		if sess.displaced() {
			_ = sess.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// displaced reports whether the organisation of the session no longer holds its key,
// or anonymous callers are no longer accepted. e.mu must be held.
func (sess *session) displaced() bool {
	catalog := sess.edge.catalog
	if !sess.identified {
		return false
	}
	organisation, known := catalog.OrganisationOf(sess.key)
	if sess.organisation != "" || known {
		return sess.organisation != "" && organisation.Name != sess.organisation
	}
	route, ok := catalog.Route(sess.database)
	return ok && catalog.HasOrganisations() && !route.AllowAnonymous
}

// keyWithdrawn reports whether the session must end because of its key. If another
// organisation got the key, the session goes on in its name, but not in an open
// transaction: that holds a connection of the former one. e.mu must be held.
func (sess *session) keyWithdrawn() bool {
	if !sess.displaced() {
		return false
	}
	_, known := sess.edge.catalog.OrganisationOf(sess.key)
	return !known || sess.tx != nil
}

// checkKey returns why the caller of an open transaction may run no more statements,
// or nil.
func (sess *session) checkKey() *dfresult.Error {
	e := sess.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	switch {
	case sess.keyWithdrawn():
		return e.errKeyUnknown(sess.route)
	case sess.organisation != "" && e.revocationUnconfirmed(now):
		return e.errUnconfirmed(now)
	}
	return nil
}

// revoke rolls back the open transaction of a caller that may run no more statements.
func (sess *session) revoke(why *dfresult.Error) {
	if why.Code == dfresult.AuthenticationFailed && sess.tx.attempt != nil {
		sess.edge.log.Info().Str("Request", sess.tx.begin.ID).Str("Database", sess.database).
			Str("Organisation", sess.organisation).Msg("session: key withdrawn")
	}
	sess.tx.revoke(why)
}

// executeInTransaction runs a call of the open transaction, unless the caller's key
// was withdrawn. The session then ends.
func (sess *session) executeInTransaction(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	failure := sess.checkKey()
	if failure == nil {
		return sess.tx.execute(call, now)
	}
	sess.revoke(failure)
	if failure.Code != dfresult.AuthenticationFailed {
		return sess.tx.execute(call, now)
	}
	sess.tx = nil
	return sess.refuseOperation(call, failure)
}

// refuseOperation answers a call that the caller may not run. The session of a caller
// whose key is not accepted ends.
func (sess *session) refuseOperation(call dfstatement.Call, failure *dfresult.Error) dfstatement.Answer {
	sess.ended = failure.Code == dfresult.AuthenticationFailed
	return sess.refused(call, failure, failure)
}
