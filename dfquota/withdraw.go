package dfquota

import "slices"

// Withdrawn operations do not wait any longer, because their callers left. They took no
// token.
type Withdrawn struct{}

func (Withdrawn) verdict() {}

// Withdraw removes a waiting operation. Tokens that were asked for it serve others.
func (h *Host) Withdraw(organisation string, ticket Ticket) {
	if a := h.accounts[organisation]; a != nil {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.ticket == ticket })
	}
}
