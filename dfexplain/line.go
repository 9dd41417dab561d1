// Package dfexplain finds the cause of one request's outcome in the logs of the
// hosts. It reads lines and decides; it does no input of its own.
package dfexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine is the longest line that is read, in bytes: several times the longest
// that hosts write.
const maxLine = 1 << 20

// Line is one line of a host's log.
type Line struct {
	// At is the time by the host's own clock.
	At time.Time
	// Host is empty if neither the line nor its source names one.
	Host    string
	Level   string
	Message string
	// Request and Service are empty on lines that are about neither.
	Request string
	Service string
	// Fields has every field of the line.
	Fields map[string]any
	// Text is the line as written.
	Text string
}

// newLine decodes a line. What stands before the JSON object, as log collectors
// put it there, names the host with its last word.
func newLine(text, host string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{Host: host, Text: text[start:], Fields: map[string]any{}}
	err := json.Unmarshal([]byte(line.Text), &line.Fields)
	if err != nil {
		err = json.Unmarshal([]byte(escapeControl(line.Text)), &line.Fields)
	}
	if err != nil {
		return Line{}, false
	}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		line.Host = words[len(words)-1]
	}
	line.At, err = time.Parse(time.RFC3339Nano, line.text("time"))
	line.Level, line.Message = line.text("level"), line.text("message")
	line.Request, line.Service = line.text("Request"), line.text("Service")
	return line, err == nil && line.Message != ""
}

// escapeControl escapes control characters, which hosts write as they are and JSON does
// not allow.
func escapeControl(text string) string {
	var escaped strings.Builder
	for i := range len(text) {
		if text[i] < ' ' {
			fmt.Fprintf(&escaped, `\u%04x`, text[i])
		} else {
			escaped.WriteByte(text[i])
		}
	}
	return escaped.String()
}

// Clock returns the time of day of the line, in UTC.
func (l Line) Clock() string {
	return l.At.UTC().Format("15:04:05.000")
}

// text returns a field, or "".
func (l Line) text(field string) string {
	value, _ := l.Fields[field].(string)
	return value
}

// number returns a field, or 0.
func (l Line) number(field string) int64 {
	value, _ := l.Fields[field].(float64)
	return int64(value)
}

// Log is what the logs say that may matter for a request: its own lines, and
// what hosts came to believe.
type Log struct {
	lines []Line
	// Unreadable counts the lines that are not log lines of a host.
	Unreadable int
}

// Read adds the lines of one source. Lines of other requests are left out.
func (l *Log) Read(source io.Reader, host, request string) error {
	reader := bufio.NewReader(source)
	plain := isPlain(request)
	// Decoding replaces bytes that are not UTF-8.
	decoded := string([]rune(request))
	for {
		text, tooLong, err := nextLine(reader)
		if eris.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "explain: read")
		}
		if tooLong {
			l.Unreadable++
			continue
		}
		// Decoding costs much more than this look.
		if plain && strings.Contains(text, `"Request":`) && !strings.Contains(text, request) {
			continue
		}
		line, ok := newLine(text, host)
		if !ok {
			l.Unreadable++
			continue
		}
		if line.Message == "edge: start" && line.Host == host {
			host = line.text("Host")
			line.Host = host
		}
		if line.Request == decoded {
			line.Request = request
		}
		if line.Request == "" || line.Request == request {
			l.lines = append(l.lines, line)
		}
	}
}

// isPlain reports whether a log has the name of a request as it is, without escapes.
func isPlain(request string) bool {
	for _, b := range []byte(request) {
		if b < ' ' || b > '~' || strings.IndexByte(`"\<>&'`, b) >= 0 {
			return false
		}
	}
	return true
}

// nextLine returns the next line without its end. The text of a line that exceeds
// maxLine is skipped. After the last line the error is io.EOF.
func nextLine(reader *bufio.Reader) (text string, tooLong bool, err error) {
	var line []byte
	for {
		part, more, err := reader.ReadLine()
		if err != nil {
			return "", false, err
		}
		if tooLong = tooLong || len(line)+len(part) > maxLine; !tooLong {
			line = append(line, part...)
		}
		if !more {
			return string(line), tooLong, nil
		}
	}
}
