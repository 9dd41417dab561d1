package dfroute

import "dragonflygrade/dfcheck"

func checkInvariant(condition bool, invariant string) bool {
	return dfcheck.Holds(condition, "route", invariant)
}
