package control

import "math"

// goldenRatio is the step of the additive recurrence with the most even spread.
const goldenRatio = 0.6180339887498949

// shareOffset returns the offset from 0 to 1 of a gatekeeper at a server: the offsets of any number of gatekeepers, and of any run
// of neighbours, are evenly spread. It depends on its arguments alone, so that it is the same after a restart.
func shareOffset(server uint32, position int) float64 {
	_, offset := math.Modf(float64(server)*math.Sqrt2 + float64(max(0, position))*goldenRatio)
	return offset
}
