package dfedge

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfneighbour"
)

// isolation judges whether a data centre is cut off from the others. It answers
// cuts of several seconds: callers are better served elsewhere meanwhile, and a
// host that flaps is taken out of the entry's rotation too late.
type isolation struct {
	// cut is the judgement of the last time.
	cut bool
}

// reach is what a host sees of one service's leader.
type reach struct {
	// known is false if no upstream is believed to lead.
	known bool
	// suspected is true if the leader does not answer.
	suspected bool
	// heardAgo is the time since it answered, or Never.
	heardAgo dfclock.Millis
}

// judge takes whether another data centre was heard lately, and the leaders.
// Without others, a data centre counts as cut off once half of the leaders are
// out of reach, and until more than half have answered again: that a new leader
// is not suspected yet shows nothing.
func (i *isolation) judge(remote bool, leaders []reach) bool {
	if remote || len(leaders) == 0 {
		i.cut = false
		return false
	}
	reached := 0
	for _, leader := range leaders {
		if leader.known && !leader.suspected && (!i.cut || leader.heardAgo < voteSpan) {
			reached++
		}
	}
	i.cut = reached*2 <= len(leaders)
	return i.cut
}

// surroundings is what a host that has just started knows of the others. It
// answers restarts inside a data centre that is cut off: the entry gives the new
// host the callers of all others there.
type surroundings struct {
	// platform is true if the platform answers this host.
	platform bool
	// told is true if the speaker of the data centre has judged.
	told bool
	// remote is true if a host of another data centre answers, and elsewhere if a
	// leader there does.
	remote, elsewhere bool
	// up is the time since the start.
	up dfclock.Millis
}

// oriented reports whether the host can tell that its data centre is not cut off,
// or has waited for as long as its own judgement takes.
func (s surroundings) oriented() bool {
	return s.platform || s.told || s.remote || s.elsewhere || s.up >= dfneighbour.AliveSpan
}
