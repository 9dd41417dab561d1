package dfquota

import (
	"math"

	"dragonflygrade/dfclock"
)

// Tolerance is how far the operations of an organisation may exceed its limit. In any
// window, at most (rate x window + burst) x (1 + Overage) + Slack operations may reach
// upstreams.
type Tolerance struct {
	Window dfclock.Millis
	// Overage is a share of the limit, and Slack is in operations.
	Overage, Slack float64
}

// DefaultTolerance returns the tolerance of a limit that names none.
func DefaultTolerance() Tolerance {
	return Tolerance{Window: 5 * dfclock.Second, Overage: 0.1, Slack: 20}
}

// Limit is the limit of one organisation. Rate is positive.
type Limit struct {
	// Rate is in operations per second, and Burst in operations.
	Rate, Burst float64
	// Tolerance is DefaultTolerance if its window is zero.
	Tolerance Tolerance
}

func (l Limit) tolerance() Tolerance {
	if l.Tolerance.Window <= 0 {
		return DefaultTolerance()
	}
	return l.Tolerance
}

// WindowBound returns how many operations may reach upstreams in any window.
func (l Limit) WindowBound() float64 {
	t := l.tolerance()
	return (l.Rate*seconds(t.Window)+l.Burst)*(1+t.Overage) + t.Slack
}

// refillSpan is the time, in seconds, whose tokens a window can contain besides the
// bucket and the interim tokens: the window, grants under way, the handover to a
// returning owner and the way from the admission to the upstream.
func (l Limit) refillSpan() float64 {
	return seconds(l.tolerance().Window + GrantTTL + handoverSpan)
}

// RefillRate returns the tokens per second of the bucket. It is above the rate as far as
// the overage allows and bucket and interim tokens still fit into the bound, because what
// is refused below the bound is lost for callers.
func (l Limit) RefillRate() float64 {
	fits := (l.WindowBound() - 1) / (l.refillSpan() + interimSpan + minDepthSpan)
	rate := math.Min(l.Rate*(1+l.tolerance().Overage), math.Max(l.Rate, fits))
	return math.Min(rate, l.WindowBound()/l.refillSpan())
}

// reserve is what the bound leaves for the bucket and the interim tokens.
func (l Limit) reserve() float64 {
	return l.WindowBound() - l.RefillRate()*l.refillSpan()
}

// Depth returns the capacity of the bucket. It comes before the interim tokens as far as
// no tokens are lost between two asks.
func (l Limit) Depth() float64 {
	rate := l.RefillRate()
	return math.Max(math.Min(1+minDepthSpan*rate, l.reserve()), l.reserve()-interimSpan*rate)
}

// interimTokens returns how many tokens a host may grant before QuorumTTL has passed
// since it missed the owner.
func (l Limit) interimTokens() float64 {
	return math.Min(l.RefillRate()*interimSpan, l.reserve()-l.Depth())
}

// interimPause is the time after the last interim grant before the allowance of interim
// tokens is available again. It exceeds the window by the time that a grant can be under
// way.
func (l Limit) interimPause() dfclock.Millis {
	return l.tolerance().Window + GrantTTL + handoverSpan
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
