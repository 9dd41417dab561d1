// Package dfmeasure measures the decisions in virtual time: the share of reads
// that replicas serve, against baselines, and goodput under overload. It is a
// tool; a seed repeats a run exactly.
package dfmeasure

import (
	"dragonflygrade/dfclock"
)

// Class is one kind of request in a mix.
type Class struct {
	Name string
	// Share of all requests; the shares of a mix add up to 1.
	Share float64
	Write bool
	// MaxAge is the declared staleness of a read, or the service's SessionMaxAge.
	MaxAge dfclock.Millis
}

// Deployment is one user's shape and mix.
type Deployment struct {
	Name string
	// Between is the one-way latency between data centres.
	Between dfclock.Millis
	Hosts   int
	// Slots is the number of hosts that execute requests of the database.
	Slots   int
	Callers int
	// Rate is the number of requests per second on one database.
	Rate int
	Mix  []Class
}

// Shape of the model that both deployments share.
const (
	dataCentres = 3
	// within is the one-way latency inside a data centre.
	within = 1 * dfclock.Millisecond
	// jitter is added to each message, evenly spread from zero.
	jitter = 2 * dfclock.Millisecond
	// reportEvery is the span between two reports of an upstream to a host.
	reportEvery = 50 * dfclock.Millisecond
	// lagChange is how often the lag of a replica is drawn anew, from half to
	// one and a half times the stated lag.
	lagChange = 200 * dfclock.Millisecond
	// statement is the time that a statement takes at an upstream.
	statement = 2 * dfclock.Millisecond
	// warmUp is not counted; it exceeds the longest lag.
	warmUp = 20 * dfclock.Second
	// sessionMaxAge is the default for reads without declared staleness.
	sessionMaxAge = 5 * dfclock.Second
	// requestSpan is the deadline of a request after its arrival.
	requestSpan = 2 * dfclock.Second
	// stickySpan is how long the baseline reads at the primary after a write.
	stickySpan = 2 * dfclock.Second
)

// Lags are the replication lags of the table.
var Lags = []dfclock.Millis{10, 100, dfclock.Second, 10 * dfclock.Second}

// Consortium returns the first user's deployment.
func Consortium() Deployment {
	return Deployment{
		Name: "Consortium", Between: 3, Hosts: 7, Slots: 3, Callers: 300, Rate: 150,
		Mix: []Class{
			{Name: "catalogue", Share: 0.45, MaxAge: 10 * dfclock.Second},
			{Name: "own bookings", Share: 0.25, MaxAge: sessionMaxAge},
			{Name: "dispatch", Share: 0.10, MaxAge: sessionMaxAge},
			{Name: "writes", Share: 0.20, Write: true},
		},
	}
}

// Kovacik returns the second user's deployment.
func Kovacik() Deployment {
	return Deployment{
		Name: "Kovacik", Between: 5, Hosts: 7, Slots: 5, Callers: 300, Rate: 150,
		Mix: []Class{
			{Name: "catalogue", Share: 0.70, MaxAge: 30 * dfclock.Second},
			{Name: "reorder look-ups", Share: 0.12, MaxAge: sessionMaxAge},
			{Name: "job tickets", Share: 0.10, MaxAge: 2 * dfclock.Second},
			{Name: "orders", Share: 0.08, Write: true},
		},
	}
}
