package dfadmission

// Status is the state of an admission queue.
type Status struct {
	// Queued requests wait, and Running ones were started. Limit bounds the running
	// ones, except for those that end work under way.
	Queued, Running, Limit int
}

// Status returns the state of the queue.
func (a *Controller) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{Queued: a.queue.Queued(), Running: a.queue.Running(), Limit: a.queue.Limit()}
}
