package capacity

import "math"

// Law is how a cost grows with the size.
type Law int

// The laws, from the one that grows least to the one that grows most. All but Constant have an offset beside the slope.
const (
	Constant    Law = iota // a
	Logarithmic            // a + b x ln(n)
	Linear                 // a + b x n
	Square                 // a + b x n^2
)

// Laws are all of them, in that order.
var Laws = []Law{Constant, Logarithmic, Linear, Square}

// String is the law's name as the page has it.
func (l Law) String() string {
	return [...]string{"constant", "log", "linear", "square"}[l]
}

// regressor is what the slope is multiplied with at a size.
func (l Law) regressor(n float64) float64 {
	switch l {
	case Logarithmic:
		return math.Log(n)
	case Linear:
		return n
	case Square:
		return n * n
	}
	return 0
}

// parameters counts those that a fit of the law has.
func (l Law) parameters() int {
	if l == Constant {
		return 1
	}
	return 2
}

// line is a law with its offset and slope, fitted by weighted least squares.
type line struct {
	law           Law
	offset, slope float64
	// Of the inverse of the normal matrix: how uncertain offset and slope are, in units of the weighted residual.
	varOffset, varSlope, covariance float64
}

// sample is one size: the median there, and the weight of its squared residual.
type sample struct{ n, value, weight float64 }

// fitLine finds offset and slope with the least weighted sum of squared residuals.
func fitLine(law Law, samples []sample) line {
	var w, x, y, xx, xy float64
	for _, s := range samples {
		r := law.regressor(s.n)
		w += s.weight
		x += s.weight * r
		y += s.weight * s.value
		xx += s.weight * r * r
		xy += s.weight * r * s.value
	}
	if law == Constant {
		return line{law: law, offset: y / w, varOffset: 1 / w}
	}
	determinant := w*xx - x*x
	return line{law: law,
		offset: (xx*y - x*xy) / determinant, slope: (w*xy - x*y) / determinant,
		varOffset: xx / determinant, varSlope: w / determinant, covariance: -x / determinant}
}

// valueAt gives the line's value at a size.
func (l line) valueAt(n float64) float64 { return l.offset + l.slope*l.law.regressor(n) }

// variance is that of the line's value at a size, in units of the weighted residual's.
func (l line) variance(n float64) float64 {
	r := l.law.regressor(n)
	return l.varOffset + 2*r*l.covariance + r*r*l.varSlope
}

// residual is the root of the mean weighted squared residual over the degrees of freedom.
func (l line) residual(samples []sample) float64 {
	sum := 0.0
	for _, s := range samples {
		d := s.value - l.valueAt(s.n)
		sum += s.weight * d * d
	}
	return math.Sqrt(sum / float64(len(samples)-l.law.parameters()))
}

// crossValidationError is the root of the mean weighted squared error with which a law fitted to all sizes but one foretells
// that one.
func crossValidationError(law Law, samples []sample) float64 {
	sum := 0.0
	others := make([]sample, 0, len(samples)-1)
	for i, heldOut := range samples {
		others = append(append(others[:0], samples[:i]...), samples[i+1:]...)
		d := heldOut.value - fitLine(law, others).valueAt(heldOut.n)
		sum += heldOut.weight * d * d
	}
	return math.Sqrt(sum / float64(len(samples)))
}
