package dfcontrol

import "time"

const (
	// User is the user of control connections.
	User = "dragonflygrade_control"
	// PollPeriod is the time between status polls. It is a sixth of the time
	// allowed for failure detection, so that after lost polls a new connection can
	// still be tried within that time.
	PollPeriod = 100 * time.Millisecond
	// StatusTimeout bounds a status poll, including connection setup. Two of them,
	// and dfhealth.MinSilenceTimeout, fit into the time allowed for failure
	// detection.
	StatusTimeout = 200 * time.Millisecond
	// ChangeTimeout bounds fence, promote, follow and setting the leaving mark,
	// including connection setup.
	ChangeTimeout = 300 * time.Millisecond
	// WaitMargin is the time allowed for a group_wait beyond its own timeout.
	WaitMargin = 300 * time.Millisecond
	// WaitRetryDelay is the pause after a failed group_wait. Without it, pending
	// commits would keep opening connections to a dead upstream.
	WaitRetryDelay = 50 * time.Millisecond
	// TickPeriod is the time between ticks of the watcher's loop while something
	// waits for time to pass. Otherwise the loop sleeps until the next silence
	// timeout.
	TickPeriod = 10 * time.Millisecond
	// BarrierTimeout bounds a barrier whose context has no earlier deadline.
	BarrierTimeout = 3 * time.Second
	// MinTrafficInterval is the minimum time in milliseconds between two answers of
	// one upstream that ReportTraffic passes on. More answers would not make the
	// silence timeout more accurate.
	MinTrafficInterval = 10
	// InboxSize bounds the inbox of the watcher's loop. When it is full, requests
	// are rejected and traffic reports are dropped.
	InboxSize = 4096
	// CommandQueueSize bounds the commands queued for one upstream.
	CommandQueueSize = 16
	// MaxBarriers bounds the reads that wait for a barrier.
	MaxBarriers = 65536
)
