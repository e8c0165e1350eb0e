package control

import "math"

// goldenRatio is the fractional part of the golden ratio, the step of the additive recurrence with the most even distribution.
const goldenRatio = 0.6180339887498949

// shareOffset returns the initial offset, from 0 to 1, of a gatekeeper's share of a server. The offsets of any number of
// gatekeepers, and of any run of consecutive positions, are evenly distributed. It depends on its arguments alone, so that it is
// the same after a restart.
func shareOffset(server uint32, position int) float64 {
	_, offset := math.Modf(float64(server)*math.Sqrt2 + float64(max(0, position))*goldenRatio)
	return offset
}
