package routing

// linearEstimator fits value = intercept + slope*x to a stream of samples by
// recursive least squares with exponential forgetting (Haykin, Adaptive Filter
// Theory, chapter 10).
type linearEstimator struct {
	intercept, slope float64
	// p is the symmetric inverse correlation matrix.
	p00, p01, p11 float64
	samples       int
}

const (
	// forgettingFactor is the factor by which each sample discounts the
	// previous ones.
	forgettingFactor = 0.98
	// initialUncertainty is the initial diagonal of the matrix; it lets the
	// first samples override the prior.
	initialUncertainty = 1.0
	// maximumUncertainty bounds the diagonal of the matrix while x doesn't
	// vary.
	maximumUncertainty = 1e3
)

func newLinearEstimator(intercept, slope float64) linearEstimator {
	return linearEstimator{intercept: intercept, slope: slope, p00: initialUncertainty, p11: initialUncertainty}
}

// observe adds a sample; x should be scaled to the order of 1.
func (e *linearEstimator) observe(x, value float64) {
	e.samples++
	gain0 := e.p00 + e.p01*x
	gain1 := e.p01 + e.p11*x
	denominator := forgettingFactor + gain0 + gain1*x
	gain0 /= denominator
	gain1 /= denominator
	residual := value - e.predict(x)
	e.intercept += gain0 * residual
	e.slope += gain1 * residual
	row0, row1 := e.p00+x*e.p01, e.p01+x*e.p11
	e.p00 = min((e.p00-gain0*row0)/forgettingFactor, maximumUncertainty)
	e.p01 = (e.p01 - gain0*row1) / forgettingFactor
	e.p11 = min((e.p11-gain1*row1)/forgettingFactor, maximumUncertainty)
	e.resetIfIndefinite()
}

// resetIfIndefinite resets the matrix if clamping has left it not positive
// definite.
func (e *linearEstimator) resetIfIndefinite() {
	if e.p00 <= 0 || e.p11 <= 0 || e.p00*e.p11 <= e.p01*e.p01 {
		e.p00, e.p01, e.p11 = initialUncertainty, 0, initialUncertainty
	}
}

func (e *linearEstimator) predict(x float64) float64 {
	return e.intercept + e.slope*x
}
