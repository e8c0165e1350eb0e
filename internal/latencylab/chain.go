package latencylab

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Chain gives quantiles of the sum of depth independent draws from measured values: what a call pays that passes so many
// gatekeepers one after the other. The same seed gives the same result. Without values it gives NaN.
//
// Independence is an assumption: levels that share a busy machine are slow together, and then the tail is heavier.
func Chain(values []float64, depth, samples int, seed uint64, quantiles ...float64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 19))
	sums := make([]float64, samples)
	for i := range sums {
		if len(values) == 0 {
			sums[i] = math.NaN()
			continue
		}
		for range depth {
			sums[i] += values[rng.IntN(len(values))]
		}
	}
	return Quantiles(sums, quantiles...)
}

// Quantiles gives quantiles (0 to 1) of values that may be negative, by nearest rank; NaN without any.
func Quantiles(values []float64, quantiles ...float64) []float64 {
	sorted := slices.Sorted(slices.Values(values))
	out := make([]float64, len(quantiles))
	for i, q := range quantiles {
		if len(sorted) == 0 {
			out[i] = math.NaN()
			continue
		}
		rank := int(math.Ceil(q*float64(len(sorted)))) - 1
		out[i] = sorted[min(max(rank, 0), len(sorted)-1)]
	}
	return out
}
