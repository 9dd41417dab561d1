package dfneighbour

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// Guards against mistaking a few hosts for a majority, and against counting hosts
// twice that both a speaker and its successor report.
func TestMajorityCountsHostsOnce(t *testing.T) {
	view := NewView(host("a", 0), LeasePollPeriods())
	var contacts []Contact
	for i := 1; i <= 2; i++ {
		view.Add(0, host("a", i))
	}
	for i := 3; i <= 6; i++ {
		view.Add(0, host("b", i))
		contacts = append(contacts, Contact{Host: hostKey(host("b", i).Address), Age: 50})
	}
	view.MarkComplete()
	require.Negative(t, view.QuorumAt(100), "no contact yet")
	// Two hosts of the other data centre are its speaker one after the other. Both
	// report contacts with the same two hosts.
	for i := 3; i <= 4; i++ {
		view.HandleReport(200, 150, Report{Host: host("b", i), Contacts: contacts[:2], QuorumAge: -1})
	}
	require.Negative(t, view.QuorumAt(200), "three hosts of seven")
	view.HandleRequest(250, 220, host("a", 1), nil)
	require.Equal(t, dfclock.Millis(100), view.QuorumAt(250), "the oldest of four counts")
	view.HandleReport(300, 290, Report{Host: host("b", 5), Contacts: contacts, QuorumAge: 20})
	require.Equal(t, dfclock.Millis(270), view.QuorumAt(300), "the other speaker reports a later quorum")
	require.Equal(t, dfclock.Millis(270), view.QuorumAt(900), "no renewal without messages")
}

// Guards against a host that has just started in a data centre that is cut off.
// It knows only a few hosts, is in contact with all of them, and would report
// contact with a majority.
func TestNoMajorityBeforeAllHostsAreKnown(t *testing.T) {
	view := NewView(host("a", 0), LeasePollPeriods())
	view.HandleRequest(50, 40, host("a", 1), nil)
	require.Negative(t, view.QuorumAt(100))
	for i := 2; i <= 5; i++ {
		view.Add(150, host("b", i))
	}
	view.MarkComplete()
	require.Negative(t, view.QuorumAt(200), "two hosts of six")
}
