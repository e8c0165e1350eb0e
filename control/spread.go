package control

import "math"

// golden is the step of the additive recurrence with the most even spread.
const golden = 0.6180339887498949

// spread gives a front its place from 0 to 1 at a server among all fronts: any number of them, and any row of neighbours,
// lies evenly. It hangs on nothing but its arguments, so that it is the same after a restart.
func spread(server uint32, position int) float64 {
	_, at := math.Modf(float64(server)*math.Sqrt2 + float64(max(0, position))*golden)
	return at
}
