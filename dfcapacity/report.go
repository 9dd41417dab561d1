package dfcapacity

import (
	"strings"
)

// Report has the fitted series.
type Report struct {
	// Series are in the order of the table.
	Series []Series
	series map[string]Series
	placed placed
}

// Slope returns the slope of a series.
func (r Report) Slope(key string) float64 {
	return r.series[key].Line.Slope
}

// At returns the line of a series at a size.
func (r Report) At(key string, size float64) float64 {
	return r.series[key].Line.At(size)
}

// Section is a table with the name of its markers in the page.
type Section struct {
	Name  string
	Table Table
}

// Write returns the page with all tables replaced.
func (r Report) Write(page string) (string, error) {
	var err error
	for _, section := range r.Sections() {
		if page, err = Replace(page, section.Name, section.Table.Markdown()); err != nil {
			return "", err
		}
	}
	return page, nil
}

func (r Report) slopes() Table {
	table := Table{Head: []string{"Measured", "Sizes", "Values", "Slope", "Error of the slope", "Value at size 0", "R²"}}
	for _, series := range r.Series {
		var sizes, values []string
		for _, point := range series.Points {
			sizes = append(sizes, number(point.Size))
			values = append(values, quantity(point.Value, series.Unit))
		}
		line := series.Line
		table.Add(series.What, strings.Join(sizes, "; ")+" "+series.Size, strings.Join(values, "; "),
			quantity(line.Slope, series.Unit), percent(line.RelativeError()), quantity(line.Base, series.Unit), number(line.Determination))
	}
	return table
}

// quantity formats a value with the unit that suits its size.
func quantity(value float64, unit string) string {
	scales := map[string][]struct {
		factor float64
		name   string
	}{
		"s": {{1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}, {1e-9, "ns"}},
		"B": {{1e6, "MB"}, {1e3, "KB"}, {1, "B"}},
	}[unit]
	for i, scale := range scales {
		if value >= scale.factor || -value >= scale.factor || i == len(scales)-1 {
			return number(value/scale.factor) + " " + scale.name
		}
	}
	return strings.TrimSpace(number(value) + " " + unit)
}
