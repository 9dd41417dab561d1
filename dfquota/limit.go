package dfquota

import (
	"math"

	"dragonflygrade/dfclock"
)

// Limit is the limit of one organisation. Rate is positive.
type Limit struct {
	// Rate is in operations per second, and Burst in operations.
	Rate, Burst float64
}

// tolerance returns the tokens that a window may contain beyond the rate times the
// window, less what grants under way, the handover to a returning owner and the way
// from the admission to the upstream take: together they take the overage of the rate,
// half a second of it.
func (l Limit) tolerance() float64 {
	return (1+overage)*l.Burst + slack
}

// Depth returns the capacity of the bucket. Depth and interim tokens together stay
// within the tolerance.
func (l Limit) Depth() float64 {
	interim := 2 * interimShare * l.Rate
	return math.Max(math.Min(l.Burst, l.tolerance()-interim), math.Min(l.minDepth(), l.tolerance()))
}

func (l Limit) minDepth() float64 {
	return 1 + minDepthSpan*l.Rate
}

// interimTokens returns how many tokens a host may grant before QuorumTTL has passed
// since it missed the owner.
func (l Limit) interimTokens() float64 {
	return math.Min(2*interimShare*l.Rate, l.tolerance()-l.Depth())
}

// WindowBound returns how many operations may reach upstreams in any window of 5 s.
func (l Limit) WindowBound() float64 {
	return (l.Rate*seconds(window)+l.Burst)*(1+overage) + slack
}

func seconds(span dfclock.Millis) float64 {
	return float64(span) / float64(dfclock.Second)
}

// timeFor returns the time in which tokens come at a rate per second.
func timeFor(tokens, rate float64) dfclock.Millis {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return dfclock.Millis(math.Min(math.Ceil(tokens/rate*float64(dfclock.Second)), float64(dfclock.Hour)))
}

// average is a rate that fades with demandSpan.
type average struct {
	sum float64
	at  dfclock.Millis
}

func (a *average) add(now dfclock.Millis, count float64) {
	a.sum = a.perSecond(now)*seconds(demandSpan) + count
	a.at = now
}

func (a *average) perSecond(now dfclock.Millis) float64 {
	return a.sum * math.Exp(-float64(max(0, now-a.at))/float64(demandSpan)) / seconds(demandSpan)
}
