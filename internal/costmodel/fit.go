package costmodel

import (
	"cmp"
	"math"
	"slices"
)

// sample is one prompt that was read by an idle engine.
type sample struct {
	missing, pairs, seconds float64
}

// Weights predict the time that a prompt's reading takes, in seconds: Fixed + Token x
// missing tokens + Pair x millions of pairs of tokens.
type Weights struct {
	Fixed, Token, Pair float64
}

func (w Weights) at(missing, pairs float64) float64 {
	return w.Fixed + w.Token*missing + w.Pair*pairs
}

func (w Weights) known() bool { return w.Token > 0 }

// sensible reports whether weights that others tell can be used.
func (w Weights) sensible() bool {
	for _, each := range []float64{w.Fixed, w.Token, w.Pair} {
		if !(each >= 0 && each < maximumWeight) {
			return false
		}
	}
	return w.known()
}

// maximumWeight is larger than any that an engine can have, in seconds.
const maximumWeight = 60

// Shares of the samples that are left out of the second fit: those that took longest
// against the first, since an engine that had other work, of which the gateway did not
// know, is only ever slower, and the few that took the least.
const (
	slowestShare = 0.25
	fastestShare = 0.05
)

// fit returns the weights for the samples without the extreme ones.
func fit(samples []sample) Weights {
	first := fitAll(samples)
	sorted := slices.SortedFunc(slices.Values(samples), func(a, b sample) int {
		return cmp.Compare(a.slowness(first), b.slowness(first))
	})
	count := float64(len(samples))
	return fitAll(sorted[int(fastestShare*count) : len(samples)-int(slowestShare*count)])
}

// slowness is the time taken against that predicted.
func (s sample) slowness(predicted Weights) float64 {
	return s.seconds / predicted.at(s.missing, s.pairs)
}

// fitAll returns the weights of least squared error of which none is negative. Samples
// that tell too little, such as prompts of one size, leave terms out.
func fitAll(samples []sample) Weights {
	for _, terms := range [][]int{{termFixed, termToken, termPair}, {termFixed, termToken}, {termToken}} {
		solved, ok := solve(samples, terms)
		if ok {
			return solved
		}
	}
	return Weights{Token: medianPace(samples)}
}

// The terms of a prediction.
const (
	termFixed = iota
	termToken
	termPair
	termCount
)

func (s sample) terms() [termCount]float64 {
	return [termCount]float64{termFixed: 1, termToken: s.missing, termPair: s.pairs}
}

// solve fits some of the terms, and reports whether that gives sensible weights. Errors
// count relative to the time taken, so that long prompts don't outweigh the others.
func solve(samples []sample, terms []int) (Weights, bool) {
	var system [termCount][termCount + 1]float64
	for _, each := range samples {
		values := each.terms()
		weight := 1 / (each.seconds * each.seconds)
		for row, left := range terms {
			for column, right := range terms {
				system[row][column] += weight * values[left] * values[right]
			}
			system[row][termCount] += weight * values[left] * each.seconds
		}
	}
	solution, ok := eliminate(system, len(terms))
	if !ok {
		return Weights{}, false
	}
	var all [termCount]float64
	for index, term := range terms {
		if solution[index] < 0 || math.IsNaN(solution[index]) || math.IsInf(solution[index], 0) {
			return Weights{}, false
		}
		all[term] = solution[index]
	}
	return Weights{Fixed: all[termFixed], Token: all[termToken], Pair: all[termPair]}, all[termToken] > 0
}

// smallestPivot, relative to its row's diagonal, tells a system that has no single
// solution.
const smallestPivot = 1e-6

// eliminate solves the first size equations by Gaussian elimination. The system is
// symmetric and positive definite, so that no pivoting is needed.
func eliminate(system [termCount][termCount + 1]float64, size int) (solution [termCount]float64, ok bool) {
	for row := range size {
		before := system[row][row]
		for above := range row {
			factor := system[row][above] / system[above][above]
			for column := range system[row] {
				system[row][column] -= factor * system[above][column]
			}
		}
		if !(system[row][row] > smallestPivot*before) {
			return solution, false
		}
	}
	for row := size - 1; row >= 0; row-- {
		value := system[row][termCount]
		for column := row + 1; column < size; column++ {
			value -= system[row][column] * solution[column]
		}
		solution[row] = value / system[row][row]
	}
	return solution, true
}

// medianPace is the median of the seconds for a token.
func medianPace(samples []sample) float64 {
	paces := make([]float64, 0, len(samples))
	for _, each := range samples {
		paces = append(paces, each.seconds/each.missing)
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
