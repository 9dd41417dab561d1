package dfsession

import "dragonflygrade/dfcheck"

func holds(condition bool, invariant string) bool {
	return dfcheck.Holds(condition, "session", invariant)
}
