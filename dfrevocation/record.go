package dfrevocation

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

// RecoverySpan is how long after its start a host that cannot learn the promises from
// before it uses no leader. An order under one of them has been carried out by then.
const RecoverySpan = targetPromiseSpan

// firstEra is the era of a store that has lost nothing yet.
const firstEra = 1

// Record is what a host writes of its promises once it knows a later era of the store,
// which may have lost the claims that showed them. The host then refuses notices under
// epochs of earlier eras, so that the record has all of its promises under them.
type Record struct {
	// Era is the era of the store that the host knew.
	Era uint64
	// Hosts is the number of hosts that it knew.
	Hosts int
	// Terms are the lowest terms that may lead, by service.
	Terms map[string]dfposition.Term
}

// RecordsComplete reports whether the records show all promises under epochs of earlier
// eras that a majority of the hosts accepted. The claims show those under epochs of the
// store's era.
func RecordsComplete(era uint64, hosts int, records []Record) bool {
	if era <= firstEra {
		return true
	}
	written := 0
	for _, record := range records {
		if record.Era == era {
			written++
			hosts = max(hosts, record.Hosts)
		}
	}
	return written*2 > hosts
}

// Recovered reports whether a host that started at an instant may use leaders although
// the records are not complete.
func Recovered(now, startedAt dfclock.Millis) bool {
	return now-startedAt >= RecoverySpan
}
