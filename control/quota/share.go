package quota

import (
	"math"
	"slices"
)

// fairLevel returns the water level of max-min fairness: the greatest share of one holder, such that the sum of min(want, level)
// over all wants, plus level for each of the unknown wants, equals the capacity. It returns +Inf if all wants fit and none is
// unknown.
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

// fairShares divides a capacity among wants by max-min fairness.
func fairShares(capacity float64, wants []float64) []float64 {
	l := fairLevel(capacity, wants, 0)
	shares := make([]float64, len(wants))
	for i, w := range wants {
		shares[i] = min(w, l)
	}
	return shares
}
