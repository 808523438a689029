package routing

import (
	"math"
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// load is the amount of work at an engine.
type load struct {
	// prefillTokens is the number of prompt tokens not yet prefilled.
	prefillTokens float64
	// decodeSequences is the number of sequences being decoded.
	decodeSequences float64
	// kvTokens is KV cache memory in use, in tokens.
	kvTokens float64
	// requests is the number of accepted requests that have not ended.
	requests float64
}

func (l load) plus(other load) load {
	return load{
		prefillTokens:   l.prefillTokens + other.prefillTokens,
		decodeSequences: l.decodeSequences + other.decodeSequences,
		kvTokens:        l.kvTokens + other.kvTokens,
		requests:        l.requests + other.requests,
	}
}

func (l load) times(factor float64) load {
	return load{
		prefillTokens:   l.prefillTokens * factor,
		decodeSequences: l.decodeSequences * factor,
		kvTokens:        l.kvTokens * factor,
		requests:        l.requests * factor,
	}
}

// minusClamped subtracts other, with a lower bound of 0 for each component.
func (l load) minusClamped(other load) load {
	return load{
		prefillTokens:   max(0, l.prefillTokens-other.prefillTokens),
		decodeSequences: max(0, l.decodeSequences-other.decodeSequences),
		kvTokens:        max(0, l.kvTokens-other.kvTokens),
		requests:        max(0, l.requests-other.requests),
	}
}

func reportedLoad(report engineapi.LoadReport) load {
	return load{
		prefillTokens:   float64(report.WaitingPrefillTokens),
		decodeSequences: float64(report.DecodeSequences),
		kvTokens:        float64(report.KVUsedTokens),
		requests:        float64(report.RunningRequests + report.WaitingRequests),
	}
}

// attempt is one of this gateway's own attempts at an engine.
type attempt struct {
	dispatchedAt  time.Duration
	prefillTokens float64
	kvTokens      float64
	// tokensAhead is the estimated number of prompt tokens to prefill when the
	// attempt was dispatched, including its own.
	tokensAhead float64
	// firstTokenAt and endedAt are negative until the events occur.
	firstTokenAt time.Duration
	endedAt      time.Duration
}

const unsetTime = time.Duration(-1)

// loadAt returns the attempt's part of the engine's load at a given time.
func (a *attempt) loadAt(at time.Duration) load {
	if a.dispatchedAt > at || (a.endedAt >= 0 && a.endedAt <= at) {
		return load{}
	}
	part := load{requests: 1, kvTokens: a.kvTokens}
	if a.firstTokenAt >= 0 && a.firstTokenAt <= at {
		part.decodeSequences = 1
	} else {
		part.prefillTokens = a.prefillTokens
	}
	return part
}

// reportWeight returns the weight of a report of a given age, which halves with
// each half-life.
func reportWeight(age, halfLife time.Duration) float64 {
	if halfLife <= 0 || age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
