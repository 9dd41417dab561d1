package dfconfig

import (
	"strconv"
	"strings"

	"dragonflygrade/dfclock"
)

// units are the units of spans, the longest suffix first.
var units = []struct {
	suffix string
	span   dfclock.Millis
}{
	{"ms", dfclock.Millisecond},
	{"s", dfclock.Second},
	{"m", dfclock.Minute},
	{"h", dfclock.Hour},
}

// ParseSpan reads a whole number with a unit: "500ms", "30s", "2m" or "1h".
func ParseSpan(text string) (dfclock.Millis, bool) {
	for _, unit := range units {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 31)
		if err != nil {
			return 0, false
		}
		return dfclock.Millis(count) * unit.span, true
	}
	return 0, false
}

// FormatSpan writes a span with the largest unit that divides it.
func FormatSpan(span dfclock.Millis) string {
	for i := len(units) - 1; i > 0; i-- {
		if span != 0 && span%units[i].span == 0 {
			return strconv.FormatInt(int64(span/units[i].span), 10) + units[i].suffix
		}
	}
	return strconv.FormatInt(int64(span), 10) + "ms"
}
