package capacity

import "math"

// Law is a way in which a cost grows with the size.
type Law int

// The laws, in order of growth. a is the offset and b the slope.
const (
	Constant    Law = iota // a
	Logarithmic            // a + b x ln(n)
	Linear                 // a + b x n
	Square                 // a + b x n^2
)

// Laws is the list of all laws, in order of growth.
var Laws = []Law{Constant, Logarithmic, Linear, Square}

// String returns the law's name on the page.
func (l Law) String() string {
	return [...]string{"constant", "log", "linear", "square"}[l]
}

// regressor returns the factor of the slope at a size.
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

// parameters returns the number of parameters of a fit.
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
	// Elements of the inverse of the normal matrix: variances and covariance of offset and slope, in units of the variance of
	// the weighted residual.
	varOffset, varSlope, covariance float64
}

// sample is one size n with its median and the weight of its squared residual.
type sample struct{ n, value, weight float64 }

// fitLine computes the offset and slope that minimize the weighted sum of squared residuals.
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

// valueAt returns the line's value at a size.
func (l line) valueAt(n float64) float64 { return l.offset + l.slope*l.law.regressor(n) }

// variance returns the variance of the line's value at a size, in units of the variance of the weighted residual.
func (l line) variance(n float64) float64 {
	r := l.law.regressor(n)
	return l.varOffset + 2*r*l.covariance + r*r*l.varSlope
}

// residual returns the root of the mean weighted squared residual over the degrees of freedom.
func (l line) residual(samples []sample) float64 {
	sum := 0.0
	for _, s := range samples {
		d := s.value - l.valueAt(s.n)
		sum += s.weight * d * d
	}
	return math.Sqrt(sum / float64(len(samples)-l.law.parameters()))
}

// crossValidationError returns the root of the mean weighted squared error in predicting each size from a fit to all others.
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
