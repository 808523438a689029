package scale

import (
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a metric.
type Point struct {
	X, Y float64
}

// Fit is the least-squares line y = Base + Slope x of a metric over a sweep.
type Fit struct {
	Sweep  string
	Metric Metric
	Points []Point
	Base   float64
	Slope  float64
	// Determination is R², the share of the variance that the line explains. It is small for a figure that does not
	// depend on x.
	Determination float64
}

// leastPoints is the minimum number of sizes for a slope.
const leastPoints = 4

// fit returns the line through the points, and false if there are too few.
func fit(sweep string, metric Metric, points []Point) (Fit, bool) {
	if len(points) < leastPoints {
		return Fit{}, false
	}
	var xs, ys []float64
	for _, point := range points {
		xs = append(xs, point.X)
		ys = append(ys, point.Y)
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return Fit{
		Sweep: sweep, Metric: metric, Points: points, Base: base, Slope: slope,
		Determination: stat.RSquared(xs, ys, nil, base, slope),
	}, true
}

// at returns the value of the line at x.
func (f Fit) at(x float64) float64 { return f.Base + f.Slope*x }
