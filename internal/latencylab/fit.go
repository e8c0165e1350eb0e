package latencylab

// Fit is a straight line through measured points, given by a fixed part and a slope.
type Fit struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"` // unit of the fixed part
	Of    string  `json:"of"`   // quantity on the x axis
	Fixed float64 `json:"fixed"`
	Slope float64 `json:"slope"` // in Unit per unit of Of
	Worst float64 `json:"worst"` // greatest distance of a point from the line, in Unit
	N     int     `json:"points"`
}

// FitLine fits a line by least squares and returns it with the greatest distance of a point from it. The slope is 0 unless
// x has at least two distinct values.
func FitLine(x, y []float64) (fixed, slope, worst float64) {
	n := float64(len(x))
	if n == 0 {
		return 0, 0, 0
	}
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		slope = (n*sumXY - sumX*sumY) / spread
	}
	fixed = (sumY - slope*sumX) / n
	for i := range x {
		worst = max(worst, abs(y[i]-fixed-slope*x[i]))
	}
	return fixed, slope, worst
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}
