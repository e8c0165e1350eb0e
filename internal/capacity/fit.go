package capacity

import (
	"fmt"
	"math"
)

const (
	// MinSizes is the minimum number of sizes of a series that can be fitted.
	MinSizes = 5
	// plausibleErrorRatio is the maximum ratio of a plausible law's cross-validated error to the least one.
	plausibleErrorRatio = 1.25
	// negligibleError is the cross-validated error, as a fraction of the median, up to which every law is plausible.
	negligibleError = 0.01
	// maxResidual is the relative residual above which even the law that fits best does not describe the series.
	maxResidual = 0.5
	// minScaleRatio is the minimum scale of a size's residual, as a fraction of the greatest median. It prevents a size with a
	// median near 0 from dominating the fit.
	minScaleRatio = 0.01
)

// TooFewSizes is the error for a series with too few sizes to be fitted.
type TooFewSizes struct {
	Series string
	Sizes  int
}

func (e *TooFewSizes) Error() string {
	return fmt.Sprintf("series %q has %d sizes; a fit requires at least %d", e.Series, e.Sizes, MinSizes)
}

// Advice implements advice.Error.
func (e *TooFewSizes) Advice() string { return "measure the series at more sizes" }

// NoLaw is the error for a series that follows none of the laws, such as a step or noise.
type NoLaw struct {
	Series   string
	Best     Law
	Residual float64
}

func (e *NoLaw) Error() string {
	return fmt.Sprintf("series %q follows no law: the best fit, %s, has a residual of %s", e.Series, e.Best, formatPercent(e.Residual))
}

// Advice implements advice.Error.
func (e *NoLaw) Advice() string {
	return "measure the series at the planned size itself, or look for a step in it"
}

// Candidate is a law fitted to a series.
type Candidate struct {
	Law             Law
	Offset          float64
	Slope           float64
	Residual        float64 // root of the mean squared residual over the degrees of freedom, relative to each size's median
	PredictionError float64 // root of the mean squared cross-validated error, relative to each size's median
	Plausible       bool    // the measured sizes do not rule the law out
	line            line
}

// Fit is the law of a series, with the other laws that the measured sizes do not rule out.
//
// Each law is fitted to the medians of the sizes by least squares of the residuals relative to the median, so that a
// size of 100 counts as much as one of 100,000. The chosen law is the simplest whose cross-validated error (each size
// predicted from all others) is at most 1.25 times the least one, or at most 1%. All laws that meet this criterion are
// plausible, and the interval of an extrapolation covers all of them. A series has no law if the residual of its chosen law
// is over one half.
type Fit struct {
	Series     *Series
	Chosen     Candidate
	Candidates []Candidate // in the order of Laws; without Logarithmic if a size is 0
	Sizes      int
	Smallest   float64 // measured size
	Largest    float64 // measured size
	Spread     float64 // maximum over the sizes of (max - min) / median
}

// Estimate is a value with the bounds of its interval: the 95% prediction interval of a fit, or the range of measured values.
type Estimate struct{ Value, Low, High float64 }

// Exactly returns an estimate whose interval is the value alone.
func Exactly(v float64) Estimate { return Estimate{v, v, v} }

// FitSeries finds the law of a series. The error is a *TooFewSizes or a *NoLaw.
func FitSeries(s *Series) (*Fit, error) {
	if len(s.Points) < MinSizes {
		return nil, &TooFewSizes{Series: s.Name, Sizes: len(s.Points)}
	}
	samples := samplesOf(s)
	f := &Fit{Series: s, Sizes: len(s.Points), Smallest: s.Points[0].N, Largest: s.Points[len(s.Points)-1].N}
	for _, p := range s.Points {
		f.Spread = max(f.Spread, p.Spread())
	}
	leastError := math.Inf(1)
	for _, law := range Laws {
		if law == Logarithmic && f.Smallest <= 0 {
			continue
		}
		l := fitLine(law, samples)
		c := Candidate{Law: law, Offset: l.offset, Slope: l.slope, Residual: l.residual(samples),
			PredictionError: crossValidationError(law, samples), line: l}
		f.Candidates = append(f.Candidates, c)
		leastError = min(leastError, c.PredictionError)
	}
	bound := max(plausibleErrorRatio*leastError, negligibleError)
	for i := len(f.Candidates) - 1; i >= 0; i-- {
		if f.Candidates[i].PredictionError <= bound {
			f.Candidates[i].Plausible = true
			f.Chosen = f.Candidates[i]
		}
	}
	if f.Chosen.Residual > maxResidual {
		return nil, &NoLaw{Series: s.Name, Best: f.Chosen.Law, Residual: f.Chosen.Residual}
	}
	return f, nil
}

// samplesOf returns a sample for each size, weighted by the median so that residuals are relative.
func samplesOf(s *Series) []sample {
	greatest := 0.0
	for _, p := range s.Points {
		greatest = max(greatest, math.Abs(p.Median()))
	}
	if greatest == 0 {
		greatest = 1
	}
	var samples []sample
	for _, p := range s.Points {
		scale := max(math.Abs(p.Median()), minScaleRatio*greatest)
		samples = append(samples, sample{n: p.N, value: p.Median(), weight: 1 / (scale * scale)})
	}
	return samples
}

// At estimates the series at a size. The interval is the 95% prediction interval of the chosen law (Student's t, with the
// residual relative to the value), widened to the values of every other plausible law. Beyond the largest measured size the
// value is never below the median there, since a law that small sizes pull down would understate the cost.
func (f *Fit) At(n float64) Estimate {
	value := max(0, f.Chosen.line.valueAt(n))
	estimate := Exactly(value)
	degreesOfFreedom := f.Sizes - f.Chosen.Law.parameters()
	halfWidth := student95(degreesOfFreedom) * f.Chosen.Residual * math.Sqrt(max(0, f.Chosen.line.variance(n))+value*value)
	estimate.Low, estimate.High = max(0, value-halfWidth), value+halfWidth
	for _, c := range f.Candidates {
		if c.Plausible {
			other := max(0, c.line.valueAt(n))
			estimate.Low, estimate.High = min(estimate.Low, other), max(estimate.High, other)
		}
	}
	if largest := f.Series.Points[f.Sizes-1]; n > largest.N {
		estimate.Value = max(estimate.Value, largest.Median())
		estimate.High = max(estimate.High, estimate.Value)
	}
	return estimate
}

// student95 returns the two-sided 95% point of Student's t distribution.
func student95(degreesOfFreedom int) float64 {
	points := []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
		2.131, 2.120, 2.110, 2.101, 2.093, 2.086}
	if degreesOfFreedom < 1 {
		return math.Inf(1)
	}
	if degreesOfFreedom > len(points) {
		return 1.96 + 2.5/float64(degreesOfFreedom)
	}
	return points[degreesOfFreedom-1]
}
