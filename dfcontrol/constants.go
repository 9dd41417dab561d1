package dfcontrol

import "time"

const (
	// User is the user of control connections.
	User = "dragonflygrade_control"
	// PollPeriod separates status polls. It is a sixth of the time allowed for
	// detection, so that lost polls leave room for a fresh connection.
	PollPeriod = 100 * time.Millisecond
	// StatusTimeout bounds a status poll with its connection; two of them and
	// the silence floor fit into the time allowed for detection.
	StatusTimeout = 200 * time.Millisecond
	// ChangeTimeout bounds fence, promote and follow with their connection.
	ChangeTimeout = 300 * time.Millisecond
	// WaitMargin is what a group_wait may take beyond its own bound.
	WaitMargin = 300 * time.Millisecond
	// WaitPause follows a group_wait that failed, so that commits that wait do
	// not turn a dead upstream into a stream of connections.
	WaitPause = 50 * time.Millisecond
	// TickPeriod separates the runner's looks at its bounds while something
	// waits for one; else the runner sleeps until a silence becomes suspect.
	TickPeriod = 10 * time.Millisecond
	// BarrierTimeout bounds a barrier that the caller does not bound.
	BarrierTimeout = 3 * time.Second
	// TrafficPeriod is the least time between answers of one upstream that the
	// data path passes on; more would not sharpen the silence bound.
	TrafficPeriod = 10
	// InboxSize bounds the runner's inbox. When it is full, requests are refused
	// and traffic is dropped.
	InboxSize = 4096
	// CommandQueue bounds the changes queued for one upstream.
	CommandQueue = 16
	// MaxBarriers bounds the reads that wait for a barrier.
	MaxBarriers = 65536
)
