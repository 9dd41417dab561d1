package dfcapacity

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong slope or error, from which all figures of the page follow.
func TestFit(t *testing.T) {
	data, err := os.ReadFile("testdata/fit.txt")
	require.NoError(t, err)
	for _, text := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if strings.HasPrefix(text, "#") {
			continue
		}
		left, right, found := strings.Cut(text, " = ")
		require.True(t, found, text)
		var points []Point
		for _, pair := range strings.Fields(left) {
			size, value, _ := strings.Cut(pair, ":")
			points = append(points, Point{float(t, size), float(t, value)})
		}
		line, err := Fit(points)
		if right == "refused" {
			require.Error(t, err, text)
			continue
		}
		require.NoError(t, err, text)
		want := strings.Fields(right)
		for i, got := range []float64{line.Base, line.Slope, line.SlopeError, line.Determination} {
			require.InDelta(t, float(t, want[i]), got, 1e-9, text)
		}
	}
}

func float(t *testing.T, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err)
	return value
}
