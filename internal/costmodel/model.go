package costmodel

import "time"

// Work is what an engine has to read of a prompt.
type Work struct {
	// Tokens of the whole prompt.
	Tokens int
	// Missing are those at its end that the engine does not keep.
	Missing int
}

// pairs are the pairs of tokens that attend to each other, in millions: each missing
// token attends to all before it.
func (w Work) pairs() float64 {
	tokens, kept := float64(w.Tokens), float64(w.Tokens-w.Missing)
	return (tokens*tokens - kept*kept) / 2 / 1e6
}

// Model is what has been learned of the engines of one service. The zero Model
// knows nothing. It is not safe for concurrent use.
type Model struct {
	samples []sample
	next    int
	own     Weights
	// heard is what another gateway has learned, from a number of prompts.
	heard        Weights
	heardSamples int
	// expected and expectedTokens add up the paces that the objectives of prompts let
	// expect, weighted by their tokens.
	expected       float64
	expectedTokens float64
}

const (
	// maximumSamples are kept; the newest replace the oldest, so that the model
	// follows engines that are replaced by others.
	maximumSamples = 64
	// minimumSamples make a first fit, and enoughSamples one that goes before what
	// others have learned.
	minimumSamples = 3
	enoughSamples  = 12
	// maximumSurprise bounds how far one sample may lie from the prediction, as a
	// factor: one absurd answer moves the model little, and engines that have really
	// changed move it in a few steps.
	maximumSurprise = 4
)

// Observe learns from a prompt that an engine read with nothing else to do.
func (m *Model) Observe(work Work, took time.Duration) {
	if work.Missing <= 0 || work.Missing > work.Tokens || took <= 0 {
		return
	}
	observed := sample{missing: float64(work.Missing), pairs: work.pairs(), seconds: took.Seconds()}
	if m.own.known() {
		expected := m.own.at(observed.missing, observed.pairs)
		observed.seconds = min(max(observed.seconds, expected/maximumSurprise), expected*maximumSurprise)
	}
	if len(m.samples) < maximumSamples {
		m.samples = append(m.samples, observed)
	} else {
		m.samples[m.next] = observed
		m.next = (m.next + 1) % maximumSamples
	}
	if len(m.samples) >= minimumSamples {
		m.own = fit(m.samples)
	}
}

// Own returns what was learned here, and from how many prompts; none if that is too few.
func (m *Model) Own() (Weights, int) {
	if !m.own.known() {
		return Weights{}, 0
	}
	return m.own, len(m.samples)
}

// Hear takes over what another gateway has learned from a number of prompts. It counts
// until enough has been learned here.
func (m *Model) Hear(weights Weights, samples int) {
	if samples >= m.heardSamples && weights.sensible() {
		m.heard, m.heardSamples = weights, min(samples, maximumSamples)
	}
}

// Expect notes a prompt and the time in which its operators expect its first token: the
// only word on the engines' pace before any has been seen.
func (m *Model) Expect(tokens int, aim time.Duration) {
	if tokens <= 0 || aim <= 0 || m.Known() {
		return
	}
	m.expected += float64(tokens) * float64(tokens) / (guessedShare * aim.Seconds())
	m.expectedTokens += float64(tokens)
}

// guessedShare of the objective is what reading a whole prompt is taken for until
// some have been read: operators set objectives that an idle engine meets with ease.
const guessedShare = 0.5

// weights are those that predict.
func (m *Model) weights() Weights {
	switch {
	case len(m.samples) >= enoughSamples && m.own.known():
		return m.own
	case m.heard.known() && m.heardSamples > len(m.samples):
		return m.heard
	case m.own.known():
		return m.own
	case m.expected > 0:
		return Weights{Token: m.expectedTokens / m.expected}
	default:
		return Weights{}
	}
}

// Known reports whether enough has been seen, here or by others, to predict.
func (m *Model) Known() bool { return m != nil && (m.own.known() || m.heard.known()) }

// ReadTime is for how long reading keeps an engine busy.
func (m *Model) ReadTime(work Work) time.Duration {
	if m == nil || work.Missing <= 0 {
		return 0
	}
	predicted := m.weights()
	busy := predicted.Token*float64(work.Missing) + predicted.Pair*work.pairs()
	return time.Duration(busy * float64(time.Second))
}

// Overhead is what a prompt's reading takes beside the engine's work on its tokens:
// the way there and back, and whatever an engine does for other prompts meanwhile.
func (m *Model) Overhead() time.Duration {
	if m == nil {
		return 0
	}
	return time.Duration(m.weights().Fixed * float64(time.Second))
}

// TokensPerSecond is the pace at which an idle engine reads, 0 while there is no word
// of it.
func (m *Model) TokensPerSecond() float64 {
	if m == nil || m.weights().Token <= 0 {
		return 0
	}
	return 1 / m.weights().Token
}
