package dfexplain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfresult"
)

const (
	// before and after bound the lines about beliefs that are shown around a
	// request: a change of a leader with its suspicion takes up to 5 s, and its end
	// shows within 2 s.
	before = 5 * time.Second
	after  = 2 * time.Second
	// outageSpan is how far back a lost feed of the platform is looked for.
	outageSpan = 60 * time.Second
	// shownLines bounds the lines about beliefs: many hosts say the same.
	shownLines = 40
)

// ErrNotFound tells that no line names the request.
var ErrNotFound = eris.New("explain: no line names the request; it was served, or its line was dropped under load")

// Explanation is what the logs say of a request.
type Explanation struct {
	// Lines has the request's lines and those about its service around them, in
	// the order of time.
	Lines []Line
	// LeftOut counts further lines about the service.
	LeftOut int
	// Cause says in one line why the request ended as it did.
	Cause string
}

// Explain finds the cause of a request's outcome.
func (l *Log) Explain(request string) (Explanation, error) {
	slices.SortStableFunc(l.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var own []Line
	for _, line := range l.lines {
		if line.Request == request {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return Explanation{}, ErrNotFound
	}
	final := own[len(own)-1]
	around := l.around(own[0], final)
	e := Explanation{Lines: own, Cause: l.cause(final, around)}
	if len(around) > shownLines {
		e.LeftOut = len(around) - shownLines
		around = around[len(around)-shownLines:]
	}
	e.Lines = append(e.Lines, around...)
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return e, nil
}

// around returns what hosts came to believe about the request's service, and
// what its own host did.
func (l *Log) around(first, last Line) []Line {
	var lines []Line
	for _, line := range l.lines {
		if line.Request != "" || line.At.Before(first.At.Add(-before)) || line.At.After(last.At.Add(after)) {
			continue
		}
		if line.Service != "" && line.Service == last.Service || line.Service == "" && line.Host == last.Host {
			lines = append(lines, line)
		}
	}
	return lines
}

// cause reads the final line of the request.
func (l *Log) cause(final Line, around []Line) string {
	code := dfresult.Code(final.number("Code"))
	switch code {
	case dfresult.CommitUnknown:
		return fmt.Sprintf("in doubt: the statement was sent to %s and no answer came (%s); %s",
			final.text("Last"), final.text("Why"), leadership(around))
	case dfresult.NoPrimary:
		return fmt.Sprintf("not run: no leader; %s had been silent for %d ms; %s",
			final.text("Leader"), final.number("LeaderHeardMillis"), leadership(around))
	case dfresult.NoFreshUpstream:
		return fmt.Sprintf("not run: every upstream that was asked lacks what the read needs (%s); the newest proof of the leader was %d ms old; %s",
			final.text("Last"), final.number("ProofMillis"), l.outage(final))
	case dfresult.QueueFull, dfresult.NoConnection, dfresult.ConnectionLimit:
		return fmt.Sprintf("not run: overload (%s); the last upstream that was tried ended with %q", final.text("Why"), final.text("Last"))
	}
	return fmt.Sprintf("%s: %s", outcomeText(code), final.text("Why"))
}

func outcomeText(code dfresult.Code) string {
	switch code.Outcome() {
	case dfresult.NotRun:
		return "not run"
	case dfresult.Done:
		return "done"
	}
	return "in doubt"
}

// leadership tells what became of the leader around the request.
func leadership(around []Line) string {
	var suspected, refused string
	for _, line := range around {
		switch line.Message {
		case "succession: promotion ordered":
			if failure := line.text("error"); failure != "" {
				refused = fmt.Sprintf("the order of %s at %s failed: %s", line.Host, line.Clock(), failure)
				continue
			}
			return fmt.Sprintf("%s ordered the promotion of %s at %s", line.Host, line.text("Target"), line.Clock())
		case "succession: no epoch":
			refused = fmt.Sprintf("%s got no epoch at %s: %s", line.Host, line.Clock(), line.text("error"))
		case "succession: suspicion changed":
			if now, _ := line.Fields["Suspected"].(bool); now && suspected == "" {
				suspected = fmt.Sprintf("%s suspected it at %s, and no promotion was ordered within %v", line.Host, line.Clock(), after)
			}
		}
	}
	switch {
	case refused != "":
		return refused
	case suspected != "":
		return suspected
	}
	return "nobody suspected the leader: the connection or this host alone failed"
}

// outage tells whether the request's host had lost the platform.
func (l *Log) outage(final Line) string {
	var lost *Line
	for i, line := range l.lines {
		if line.Host != final.Host || line.At.After(final.At) || line.At.Before(final.At.Add(-outageSpan)) {
			continue
		}
		switch {
		case strings.HasPrefix(line.Message, "platform: feed lost") && lost == nil:
			lost = &l.lines[i]
		case strings.HasPrefix(line.Message, "platform: feed regained"):
			lost = nil
		}
	}
	if lost == nil {
		return "the host had the platform"
	}
	return "the host had lost the platform at " + lost.Clock()
}
