package dfconnection

import (
	"math/rand/v2"
	"sync"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfreport"
	"dragonflygrade/dfstatement"
)

// recorder counts the answers that a pool's connections get. It is safe for concurrent
// use.
type recorder struct {
	clock Clock

	mu     sync.Mutex
	counts *dfreport.Recorder
}

func newRecorder(clock Clock) *recorder {
	return &recorder{clock: clock, counts: dfreport.NewRecorder(clock(), rand.Uint32())} //nolint:gosec // no secret
}

func (r *recorder) record(outcome dfreport.Outcome) {
	if r == nil || outcome == dfreport.Nothing {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Record(r.clock(), outcome)
}

func (r *recorder) report(now dfclock.Millis, queue dfreport.Queue) (dfreport.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.Report(now, queue)
}

// LoadReport returns what this host reports as a carrier of the upstream. ok is false if
// there is nothing to report.
func (p *Pool) LoadReport() (report dfreport.Report, ok bool) {
	p.mu.Lock()
	admission := p.admission
	p.mu.Unlock()
	if admission == nil {
		return dfreport.Report{}, false
	}
	return p.recorder.report(p.clock(), admission.Load())
}

// outcomeOf returns what an exchange says about the upstream. Its first call counts, as
// it does at the host that sent it. Status calls, granted openings and rollbacks are no
// statements of callers.
func outcomeOf(calls []dfstatement.Call, answers []dfstatement.Answer, sent bool, err error) dfreport.Outcome {
	if len(calls) == 0 {
		return dfreport.Nothing
	}
	if _, probes := calls[0].Statement.(dfstatement.Status); probes {
		return dfreport.Nothing
	}
	if err != nil {
		if !sent {
			return dfreport.Nothing
		}
		return dfreport.Lost
	}
	switch calls[0].Statement.(type) {
	case dfstatement.Begin:
		if answers[0].OK() {
			return dfreport.Nothing
		}
	case dfstatement.Rollback:
		return dfreport.Nothing
	}
	return dfreport.OutcomeOf(answers[0].Code)
}
