package dfedge

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfneighbour"
)

// isolation decides whether the data centre is cut off from the others. It
// targets partitions of several seconds, during which other data centres serve
// callers better. The verdict must be stable, because the load balancer is slow
// to take a flapping host out of rotation.
type isolation struct {
	// isolated is the last verdict.
	isolated bool
}

// leaderContact is this host's contact with the leader of one service.
type leaderContact struct {
	// known is false if the service has no known leader.
	known bool
	// suspected is true if the leader does not answer.
	suspected bool
	// heardAgo is the time since the leader's last answer, or Never.
	heardAgo dfclock.Millis
}

// evaluate updates the verdict. remoteReachable is true if another data centre
// was heard from recently. Otherwise a data centre counts as cut off once half of
// the leaders are unreachable, and until more than half have answered again: a
// new leader that is merely not suspected yet is no evidence of contact.
func (i *isolation) evaluate(remoteReachable bool, leaders []leaderContact) bool {
	if remoteReachable || len(leaders) == 0 {
		i.isolated = false
		return false
	}
	reached := 0
	for _, leader := range leaders {
		if leader.known && !leader.suspected && (!i.isolated || leader.heardAgo < voteMaxAge) {
			reached++
		}
	}
	i.isolated = reached*2 <= len(leaders)
	return i.isolated
}

// startupEvidence is what a newly started host knows about its connectivity. It
// covers restarts inside a data centre that is cut off, where the load balancer
// would send all of the data centre's callers to the new host.
type startupEvidence struct {
	// platformReachable is true if the platform answers this host.
	platformReachable bool
	// speakerJudged is true if the speaker of the data centre has decided whether
	// it is cut off.
	speakerJudged bool
	// remoteHostReachable and remoteLeaderReachable are true if a host or a leader
	// in another data centre answers.
	remoteHostReachable, remoteLeaderReachable bool
	uptime                                     dfclock.Millis
}

// isolationKnown reports whether the evidence settles the question: something
// shows that the data centre is not cut off, the speaker has decided, or the host
// has been up long enough to decide by itself.
func (s startupEvidence) isolationKnown() bool {
	return s.platformReachable || s.speakerJudged || s.remoteHostReachable || s.remoteLeaderReachable ||
		s.uptime >= dfneighbour.LivenessTimeout
}
