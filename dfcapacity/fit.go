// Package dfcapacity measures how the cost of each role grows with its size,
// on one machine with small stand-ins, and works out the roles at the target
// size from the slopes. Its tables stand in docs/CAPACITY.md.
package dfcapacity

import (
	"math"

	"github.com/rotisserie/eris"
)

// flat is the relative growth below which only rounding makes a slope.
const flat = 1e-12

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Line is a straight line fitted to points by least squares.
type Line struct {
	// Base is the value at size zero.
	Base float64
	// Slope is the growth of the value for each unit of size.
	Slope float64
	// SlopeError is the standard error of the slope.
	SlopeError float64
	// Determination is the share of the variance that the line explains, 0 to 1.
	Determination float64
}

// Fit returns the line with the least sum of squared residuals. It needs at
// least three points, of which two differ in size, for the error of the slope.
func Fit(points []Point) (Line, error) {
	count := float64(len(points))
	if len(points) < 3 {
		return Line{}, eris.Errorf("capacity: %d points are too few for a line with its error", len(points))
	}
	var meanSize, meanValue float64
	for _, point := range points {
		meanSize += point.Size / count
		meanValue += point.Value / count
	}
	var sizes, values, products float64
	for _, point := range points {
		x, y := point.Size-meanSize, point.Value-meanValue
		sizes += x * x
		values += y * y
		products += x * y
	}
	if sizes == 0 {
		return Line{}, eris.New("capacity: all points have one size")
	}
	line := Line{Slope: products / sizes, Determination: 1}
	if math.Abs(line.Slope)*math.Sqrt(sizes) < flat*math.Abs(meanValue) {
		return Line{Base: meanValue, Determination: 1}, nil
	}
	line.Base = meanValue - line.Slope*meanSize
	var residuals float64
	for _, point := range points {
		residual := point.Value - line.At(point.Size)
		residuals += residual * residual
	}
	line.SlopeError = math.Sqrt(residuals / (count - 2) / sizes)
	if values > 0 {
		line.Determination = 1 - residuals/values
	}
	return line, nil
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// RelativeError returns the standard error of the slope as a share of the
// slope, or zero for a flat line.
func (l Line) RelativeError() float64 {
	if l.Slope == 0 {
		return 0
	}
	return math.Abs(l.SlopeError / l.Slope)
}

// Series is one measured dependence on a size.
type Series struct {
	// Key names the series within a report.
	Key string
	// What is measured, in Unit; the sizes count Size.
	What   string
	Unit   string
	Size   string
	Points []Point
	Line   Line
}
