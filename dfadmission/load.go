package dfadmission

import "dragonflygrade/dfreport"

// Load returns the load of the queue as a carrier reports it.
func (a *Controller) Load() dfreport.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return dfreport.Queue{
		Queued: a.queue.Queued(), Running: a.queue.Running(), Wait: a.queue.ExpectedWait(a.now()), Latency: a.queue.MeanServiceTime(),
	}
}
