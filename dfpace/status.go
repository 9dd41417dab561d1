package dfpace

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
)

// AsideFor returns how long an upstream stays set aside before its trial is due. It is 0
// while the trial is due or under way. ok is false if the upstream is not set aside.
func (p *Pace) AsideFor(now dfclock.Millis, id dffleet.ID) (remaining dfclock.Millis, ok bool) {
	u := p.upstreams[id]
	if u == nil {
		return 0, false
	}
	switch s := u.state.(type) {
	case aside:
		return max(0, s.until-now), true
	case onTrial:
		return 0, true
	}
	return 0, false
}
