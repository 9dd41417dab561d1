package dfrevocation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that start and take records for complete that miss the promises
// of a majority: too few, of an earlier era, or from hosts that know more hosts than the
// restored host table.
func TestRecordsComplete(t *testing.T) {
	cases := []struct {
		name     string
		era      uint64
		hosts    int
		records  []Record
		complete bool
	}{
		{"nothing was lost", 1, 3, nil, true},
		{"store without eras", 0, 3, nil, true},
		{"no records", 2, 3, nil, false},
		{"no hosts", 2, 0, nil, false},
		{"a majority", 2, 3, []Record{{Era: 2}, {Era: 2}, {Era: 1}}, true},
		{"half", 2, 4, []Record{{Era: 2}, {Era: 2}}, false},
		{"of an earlier era", 3, 3, []Record{{Era: 2}, {Era: 2}, {Era: 2}}, false},
		{"the host table lost hosts", 2, 1, []Record{{Era: 2, Hosts: 3}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.complete, RecordsComplete(c.era, c.hosts, c.records))
		})
	}
}
