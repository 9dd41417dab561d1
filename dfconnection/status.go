package dfconnection

import "dragonflygrade/dfadmission"

// Admission returns the state of the queue of statements. ok is false if statements are
// not queued.
func (p *Pool) Admission() (status dfadmission.Status, ok bool) {
	p.mu.Lock()
	admission := p.admission
	p.mu.Unlock()
	if admission == nil {
		return dfadmission.Status{}, false
	}
	return admission.Status(), true
}
