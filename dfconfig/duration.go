package dfconfig

import (
	"strconv"
	"strings"

	"dragonflygrade/dfclock"
)

// units are the units of durations from the shortest to the longest, which
// FormatDuration relies on. ParseDuration takes the first suffix that matches, so
// "ms" has to come before "s".
var units = []struct {
	suffix   string
	duration dfclock.Millis
}{
	{"ms", dfclock.Millisecond},
	{"s", dfclock.Second},
	{"m", dfclock.Minute},
	{"h", dfclock.Hour},
}

// ParseDuration parses a whole number with a unit, such as "500ms", "30s", "2m" or
// "1h".
func ParseDuration(text string) (dfclock.Millis, bool) {
	for _, unit := range units {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 31)
		if err != nil {
			return 0, false
		}
		return dfclock.Millis(count) * unit.duration, true
	}
	return 0, false
}

// FormatDuration formats a duration as a multiple of the largest unit that divides
// it.
func FormatDuration(duration dfclock.Millis) string {
	for i := len(units) - 1; i > 0; i-- {
		if duration != 0 && duration%units[i].duration == 0 {
			return strconv.FormatInt(int64(duration/units[i].duration), 10) + units[i].suffix
		}
	}
	return strconv.FormatInt(int64(duration), 10) + "ms"
}
