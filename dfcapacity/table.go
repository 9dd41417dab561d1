package dfcapacity

import (
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Table is a Markdown table.
type Table struct {
	Head []string
	// Rows have as many cells as Head.
	Rows [][]string
}

// Add adds a row.
func (t *Table) Add(cells ...string) {
	t.Rows = append(t.Rows, cells)
}

// Markdown formats the table. Bars and line ends in cells do not break it.
func (t Table) Markdown() string {
	var text strings.Builder
	write := func(cells []string) {
		for _, cell := range cells {
			cell = strings.ReplaceAll(strings.ReplaceAll(cell, "\n", " "), "|", "\\|")
			text.WriteString("| " + cell + " ")
		}
		text.WriteString("|\n")
	}
	write(t.Head)
	text.WriteString(strings.Repeat("|---", len(t.Head)) + "|\n")
	for _, row := range t.Rows {
		write(row)
	}
	return text.String()
}

// Replace returns the page with the text between the begin and end markers of
// the name replaced. A page without exactly one pair is refused, so that no
// other text is lost.
func Replace(page, name, text string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	if strings.Count(page, begin) != 1 || strings.Count(page, end) != 1 {
		return "", eris.Errorf("capacity: the page needs one line %q and one line %q", strings.TrimSpace(begin), end)
	}
	from := strings.Index(page, begin) + len(begin)
	to := strings.Index(page, end)
	if to < from {
		return "", eris.Errorf("capacity: the end of %s stands before its begin", name)
	}
	return page[:from] + "\n" + strings.TrimRight(text, "\n") + "\n\n" + page[to:], nil
}

// number formats a figure with three significant digits and separated thousands.
func number(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	scale := math.Pow(10, float64(digits))
	value = math.Round(value*scale) / scale
	text := strconv.FormatFloat(value, 'f', max(digits, 0), 64)
	whole, fraction, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for at := len(whole) - 3; at > 0; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if fraction = strings.TrimRight(fraction, "0"); fraction != "" {
		whole += "." + fraction
	}
	return sign + whole
}

// smallest is the share below which only rounding is left.
const smallest = 1e-7

// percent formats a share.
func percent(share float64) string {
	if math.Abs(share) < smallest {
		return "0 %"
	}
	return number(share*100) + " %"
}
