package quota

import (
	"math"
	"slices"
)

// level is the water level of max-min fairness: what each may have at most, so that the sum of min(want, level) over all
// wants, and level for each of so many unknown ones, is the capacity. It is +Inf where the wants fit and nobody is unknown.
func fairLevel(capacity float64, wants []float64, unknown int) float64 {
	w := slices.Sorted(slices.Values(wants))
	left := capacity
	for i, want := range w {
		n := float64(len(w) - i + unknown)
		if want*n >= left {
			return max(0, left/n)
		}
		left -= want
	}
	if unknown == 0 {
		return math.Inf(1)
	}
	return max(0, left/float64(unknown))
}

// shares deals a capacity out by max-min fairness.
func fairShares(capacity float64, wants []float64) []float64 {
	l := fairLevel(capacity, wants, 0)
	out := make([]float64, len(wants))
	for i, w := range wants {
		out[i] = min(w, l)
	}
	return out
}
