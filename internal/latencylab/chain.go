package latencylab

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Chain returns quantiles of the sum of depth independent draws from values: an estimate of the latency of a call that
// passes through depth gatekeepers in sequence. The result is determined by the seed; it is NaN if there are no values.
//
// Independence is an assumption: gatekeepers on the same busy machine are slow at the same time, which makes the tail
// heavier.
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

// Quantiles returns quantiles (0 to 1) of values by the nearest-rank method. Values may be negative. The result is NaN if
// there are no values.
func Quantiles(values []float64, quantiles ...float64) []float64 {
	sorted := slices.Sorted(slices.Values(values))
	results := make([]float64, len(quantiles))
	for i, q := range quantiles {
		if len(sorted) == 0 {
			results[i] = math.NaN()
			continue
		}
		rank := int(math.Ceil(q*float64(len(sorted)))) - 1
		results[i] = sorted[min(max(rank, 0), len(sorted)-1)]
	}
	return results
}
