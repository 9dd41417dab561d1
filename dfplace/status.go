package dfplace

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
)

// AsideFor returns how long an upstream stays set aside before its trial is due. ok is
// false if it is not set aside.
func (s *Selector) AsideFor(now dfclock.Millis, id dffleet.ID) (remaining dfclock.Millis, ok bool) {
	return s.pace.AsideFor(now, id)
}
