package dfcapacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against tables that break Markdown and against lost text of the page.
func TestReplaceKeepsThePage(t *testing.T) {
	page, err := os.ReadFile("testdata/page.md")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/table.md")
	require.NoError(t, err)
	table := Table{Head: []string{"Name", "Figure"}}
	table.Add("a | b", number(12345))
	table.Add("two\nlines", number(0.0012345))
	once, err := Replace(string(page), "slopes", table.Markdown())
	require.NoError(t, err)
	require.Equal(t, string(want), once)
	twice, err := Replace(once, "slopes", table.Markdown())
	require.NoError(t, err)
	require.Equal(t, once, twice, "a second run must change nothing")
}

// Guards against a page that is cut because a marker is missing, doubled or out of order.
func TestReplaceRefusesBrokenMarkers(t *testing.T) {
	data, err := os.ReadFile("testdata/page.md")
	require.NoError(t, err)
	page := string(data)
	begin, end := "<!-- begin slopes -->\n", "<!-- end slopes -->"
	for _, broken := range []string{
		strings.Replace(page, begin, "", 1),
		strings.Replace(page, end, "", 1),
		page + page,
		end + "\n" + begin,
	} {
		_, err := Replace(broken, "slopes", "text")
		require.Error(t, err)
	}
}

// Guards against figures that are off by a power of ten in the page.
func TestNumber(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 3600: "3,600", 1234567: "1,230,000", 0.0775: "0.0775", -12.349: "-12.3", 999.9: "1,000", 2: "2", 100: "100",
	} {
		require.Equal(t, want, number(value))
	}
	require.Equal(t, "1.25 ms", quantity(0.00125, "s"))
	require.Equal(t, "640 KB", quantity(640_000, "B"))
}
