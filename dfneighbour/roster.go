package dfneighbour

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfroster"
)

// UseRoster makes the hosts of the host table those that count for a majority. The view
// updates the roster from reports of neighbours; the caller does so from the store.
func (v *View) UseRoster(roster *dfroster.Roster) {
	v.roster = roster
}

// rosterKnown reports whether the host table decides which hosts count. It does so only where
// a majority is needed.
func (v *View) rosterKnown() bool {
	return v.roster != nil && v.majorityNeeded && v.roster.Known()
}

func (v *View) isListed(host dfmember.Host) bool {
	return v.rosterKnown() && v.roster.Lists(host)
}

// ChangeRoster changes the roster. Removed hosts are not selected any more, unless they
// are heard again.
func (v *View) ChangeRoster(now dfclock.Millis, change func(*dfroster.Roster)) {
	before := v.roster.Hosts()
	change(v.roster)
	for _, host := range before {
		if known := v.neighbours[host.Address]; known != nil && v.rosterKnown() && !v.roster.Lists(host) {
			known.removedAt = now
			v.selectedAt = unset
		}
	}
	for _, host := range v.roster.Hosts() {
		v.Add(now, host)
		if known := v.neighbours[host.Address]; known != nil {
			known.removedAt = unset
		}
	}
	v.quorumCountedAt = unset
}

// adoptRoster merges the host table of a report that was requested at askedAt.
func (v *View) adoptRoster(now, askedAt dfclock.Millis, report Report) {
	if v.roster == nil {
		return
	}
	if report.RosterEntries != nil {
		v.ChangeRoster(now, func(roster *dfroster.Roster) { roster.Replace(now, report.RosterEntries, report.Roster) })
	}
	if report.RosterAge >= 0 {
		v.roster.Confirm(report.Roster, askedAt-report.RosterAge, v.Presence(now))
	}
}

// AddRoster adds the host table to a report.
func (v *View) AddRoster(now dfclock.Millis, request Request, report *Report) {
	report.RosterAge = unset
	if !v.rosterKnown() {
		return
	}
	report.Roster = v.roster.AsOf()
	if at := v.roster.ConfirmedAt(); at >= 0 {
		report.RosterAge = now - at
	}
	report.RosterEntries = v.roster.EntriesFor(request.Roster)
}

// SetMajorityNeeded tells whether a majority of the hosts is needed. Speakers then exchange
// the contacts of their data centres, and the host table decides who counts.
func (v *View) SetMajorityNeeded(needed bool) {
	v.majorityNeeded = needed
}

// RosterAsOf returns the revision of the store that the roster reflects, for a request.
func (v *View) RosterAsOf() dfrevision.Revision {
	if v.roster == nil {
		return 0
	}
	return v.roster.AsOf()
}

// SpeakerFor returns for how long this host has been the speaker of its data centre.
func (v *View) SpeakerFor(now dfclock.Millis) dfclock.Millis {
	if !v.IsSpeaker(now) {
		return 0
	}
	return now - v.speakerSince
}

// lastContact returns the last contact with a host, or unset.
func (v *View) lastContact(host dfmember.Host) dfclock.Millis {
	if at, ok := v.contacts[hostKey(host.Address)]; ok {
		return at
	}
	return unset
}

// Presence returns what this host knows of the other hosts of the host table. A host that
// was silent for missingAfter is missing if it did not answer this one either.
func (v *View) Presence(now dfclock.Millis) dfroster.PresenceFunc {
	var silence map[string]dfclock.Millis
	return func(host dfmember.Host) dfroster.Presence {
		at := v.lastHeardOf(host)
		if at != unset && now-at < LivenessTimeout {
			return dfroster.Present
		}
		if silence == nil {
			silence = v.silence(now)
		}
		known := v.neighbours[host.Address]
		if silence[host.Address] >= missingAfter && known != nil && known.failedAt > at && now-known.failedAt < LivenessTimeout {
			return dfroster.Missing
		}
		return dfroster.Unknown
	}
}

// AllPresent reports whether all other hosts of the host table are present.
func (v *View) AllPresent(now dfclock.Millis) bool {
	presence := v.Presence(now)
	for _, host := range v.roster.Hosts() {
		if host.ID != v.self.ID && presence(host) != dfroster.Present {
			return false
		}
	}
	return true
}

// silence returns for how long hosts of the host table were not heard that this host
// would hear, by address. Only a speaker hears others: those of its own data centre, those
// of a data centre where no host answers, and, with a delay, all others, whose speakers pass
// on their contacts where the roster is used.
func (v *View) silence(now dfclock.Millis) map[string]dfclock.Millis {
	silence := map[string]dfclock.Millis{}
	if !v.IsSpeaker(now) {
		return silence
	}
	hosts := v.roster.Hosts()
	heardIn := map[string]dfclock.Millis{}
	for _, host := range hosts {
		heardIn[host.DataCentre] = max(heardIn[host.DataCentre], v.lastHeardOf(host))
	}
	for _, host := range hosts {
		own := now - max(v.lastHeardOf(host), v.speakerSince, v.roster.SeenAt(host.ID))
		switch {
		case host.ID == v.self.ID:
		case host.DataCentre == v.self.DataCentre:
			silence[host.Address] = own
		default:
			dataCentreSilence := now - max(heardIn[host.DataCentre], v.speakerSince)
			silence[host.Address] = max(min(own, dataCentreSilence), own-remoteSilence)
		}
	}
	return silence
}

// addSilentTargets adds the hosts to poll because they seem to be missing.
func (v *View) addSilentTargets(now dfclock.Millis, targets map[string]dfclock.Millis) {
	if !v.rosterKnown() {
		return
	}
	for address, silence := range v.silence(now) {
		if _, ok := targets[address]; !ok && silence >= silentAfter {
			targets[address] = memberPeriod
		}
	}
}

// lastHeardOf returns the last sign of a host, or unset.
func (v *View) lastHeardOf(host dfmember.Host) dfclock.Millis {
	at := v.lastContact(host)
	if known := v.neighbours[host.Address]; known != nil {
		at = max(at, known.answeredAt, known.requestedAt)
	}
	return at
}

// forgetUnlisted removes the hosts that are not in the host table and that were neither
// heard nor named for unlistedTimeout.
func (v *View) forgetUnlisted(now dfclock.Millis) {
	if !v.rosterKnown() {
		return
	}
	for address, known := range v.neighbours {
		silent := now-max(known.answeredAt, known.requestedAt, known.namedAt) >= unlistedTimeout
		if known.host.ID != "" && !v.roster.Lists(known.host) && silent {
			delete(v.neighbours, address)
		}
	}
}
