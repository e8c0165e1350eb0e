package latencylab

// Fit is a straight line through measured points: a fixed part and a slope.
type Fit struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"` // of the fixed part
	Of    string  `json:"of"`
	Fixed float64 `json:"fixed"`
	Slope float64 `json:"slope"` // Unit for one of Of
	Worst float64 `json:"worst"` // greatest distance of a point from the line, in Unit
	N     int     `json:"points"`
}

// FitLine fits a line by least squares. It needs two different places at least; otherwise the slope is 0.
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
