package dfneighbour

import "dragonflygrade/dfclock"

const (
	// reachedStep and reachedSteps are the ages by which hosts are counted as reached.
	reachedStep  = 200 * dfclock.Millisecond
	reachedSteps = 11
)

// RecordKnowledge records that a host knows of contact with a majority at the given
// time. A host knows what it was told in a report when it requests the next one.
func (v *View) RecordKnowledge(address string, at dfclock.Millis) {
	v.recordKnowledge(hostKey(address), at)
}

func (v *View) recordKnowledge(host uint32, at dfclock.Millis) {
	if known, ok := v.knowledge[host]; !ok || known < at {
		v.knowledge[host] = at
	}
}

// KnownQuorumAt returns the latest time at which this host may know that it was in
// contact with a majority. No other host has recorded that it knows of a later one.
func (v *View) KnownQuorumAt(now dfclock.Millis) dfclock.Millis {
	v.QuorumAt(now)
	return v.knownQuorumAt
}

// HeardAt returns when a host first answered this one, or a negative value. That host
// tells the others of this one.
func (v *View) HeardAt() dfclock.Millis {
	return v.heardAt
}

// Knowledge returns the contacts with a majority that the hosts of this data centre,
// including this one, know of.
func (v *View) Knowledge(now dfclock.Millis) []Contact {
	var quorums []Contact
	if at := v.QuorumAt(now); at >= 0 {
		quorums = append(quorums, Contact{Host: hostKey(v.self.Address), Age: now - at})
	}
	for address, known := range v.neighbours {
		key := hostKey(address)
		if at, ok := v.knowledge[key]; ok && known.host.DataCentre == v.self.DataCentre {
			quorums = append(quorums, Contact{Host: key, Age: now - at})
		}
	}
	return quorums
}

// ReachedCounts counts all hosts by the age of the contact with a majority that they know
// of, in steps of reachedStep. Older ones are left out.
func (v *View) ReachedCounts(now dfclock.Millis) []int {
	counts := make([]int, reachedSteps)
	add := func(at dfclock.Millis) {
		if age := max(0, now-at); at >= 0 && age < reachedSteps*reachedStep {
			counts[age/reachedStep]++
		}
	}
	add(v.QuorumAt(now))
	seen := map[uint32]bool{hostKey(v.self.Address): true}
	for address, known := range v.neighbours {
		key := hostKey(address)
		if at, ok := v.knowledge[key]; ok && known.host.ID != "" && !seen[key] {
			seen[key] = true
			add(at)
		}
	}
	return counts
}

// Reached returns how many hosts are known, including this one, and how many of them know
// of contact with a majority at the given time or later. Of what this host and its speaker
// counted, the one with more hosts is returned.
func (v *View) Reached(now dfclock.Millis) (known, reached int, at dfclock.Millis) {
	known = 1
	for _, other := range v.neighbours {
		if other.host.ID != "" {
			known++
		}
	}
	at = unset
	add := func(counts []int, countedAt dfclock.Millis) {
		sum, oldest := 0, countedAt
		for i, count := range counts[:min(len(counts), reachedSteps)] {
			edge := countedAt - dfclock.Millis(i+1)*reachedStep
			if now-edge > reachedSteps*reachedStep {
				break
			}
			if count > 0 {
				sum, oldest = sum+count, edge
			}
		}
		if sum > reached {
			reached, at = sum, oldest
		}
	}
	add(v.ReachedCounts(now), now)
	if v.speakerReachedAt != unset {
		add(v.speakerReached, v.speakerReachedAt)
	}
	return known, min(reached, known), at
}
