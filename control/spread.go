package control

import "math"

// golden is the step of the additive recurrence with the most even spread.
const golden = 0.6180339887498949

// spread returns the offset from 0 to 1 of a gatekeeper at a server: the offsets of any number of gatekeepers, and of any run
// of neighbours, are evenly spread. It depends on its arguments alone, so that it is the same after a restart.
func spread(server uint32, position int) float64 {
	_, at := math.Modf(float64(server)*math.Sqrt2 + float64(max(0, position))*golden)
	return at
}
