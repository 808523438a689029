package planner

import "math"

// Goodput returns the rate of requests, in requests a second, that a split serves
// within their objectives, if requests that can't be served in time are refused.
// Routing decides whether a mixed engine only prefills, only decodes, or does both
// for the same requests; the best of these assignments counts.
func Goodput(speed Speed, split Split, load Workload, objectives Objectives) float64 {
	if load.Requests <= 0 {
		return 0
	}
	best := colocatedGoodput(speed, split, load, objectives)
	for mixedPrefillers := 0; mixedPrefillers <= split.Mixed; mixedPrefillers++ {
		decoders := split.Decode + split.Mixed - mixedPrefillers
		disaggregated := disaggregatedGoodput(speed, split.Prefill, mixedPrefillers, decoders, load, objectives)
		best = max(best, interferenceFactor(split, mixedPrefillers)*disaggregated)
	}
	return best
}

// disaggregatedGoodput returns the goodput when prefill engines, and mixed engines
// that only prefill, process the prompts, and other engines decode.
func disaggregatedGoodput(speed Speed, prefill, mixedPrefillers, decoders int, load Workload, objectives Objectives) float64 {
	prefillers := float64(prefill + mixedPrefillers)
	if prefillers == 0 || decoders == 0 {
		return 0
	}
	admitted := min(load.Requests, maximumUtilisation*float64(decoders)*speed.decodeRate(load, objectives))
	rate := float64(prefill)/speed.prefillSeconds(load) + float64(mixedPrefillers)/speed.mixedPrefillSeconds(load, 0)
	service := prefillers / rate
	deadline := objectives.FirstToken - 2*speed.StepBase
	goodput := onTimeRate(admitted, prefillers, service, deadline)
	return goodput
}

// interferenceFactor returns the share of goodput that remains when some mixed engines
// only prefill, and other engines decode; it is 1 if none do so. Routing can't
// separate prefill from decode at every moment, least of all if every engine is mixed.
// Measured relative to the same engines in pure roles, the share is 0.5 to 0.9 if there
// are decode engines, and 0.2 to 0.6 if there are none.
func interferenceFactor(split Split, mixedPrefillers int) float64 {
	const besideDecode, allMixed = 0.65, 0.45
	switch {
	case mixedPrefillers == 0:
		return 1
	case split.Decode > 0:
		return besideDecode
	}
	return allMixed
}

// colocatedGoodput returns the goodput when mixed engines both prefill and decode
// their requests. Prefill and decode engines, if any, serve requests in pairs, and
// the mixed engines serve the remainder.
func colocatedGoodput(speed Speed, split Split, load Workload, objectives Objectives) float64 {
	if split.Mixed == 0 {
		return 0
	}
	disaggregated := disaggregatedGoodput(speed, split.Prefill, 0, split.Decode, load, objectives)
	remainder := load
	remainder.Requests = min(load.Requests-disaggregated, mixedCapacity(speed, split.Mixed, load, objectives))
	if remainder.Requests <= 0 {
		return disaggregated
	}
	best := 0.0
	for step := 1; step <= admissionSteps; step++ {
		rate := remainder.Requests * float64(step) / admissionSteps
		onTime, betweenTokensShare := mixedAttainment(speed, split.Mixed, load, objectives, rate)
		best = max(best, rate*onTime*betweenTokensShare)
	}
	return disaggregated + best
}

// mixedCapacity returns the rate at which mixed engines can serve requests, prefill
// and decode, with the mean step within the objective and the batch within its
// bounds.
func mixedCapacity(speed Speed, mixed int, load Workload, objectives Objectives) float64 {
	variableTime := float64(mixed) * max(0, 1-speed.StepBase/objectives.BetweenTokens)
	seconds := speed.PerSequence*load.OutputTokens + speed.PerPromptToken*load.PromptTokens
	byTime := variableTime / max(seconds, 1e-9)
	byBatch := float64(mixed) * speed.mixedRate(load, speed.maximumBatch(load, objectives))
	return min(byTime, byBatch)
}

// mixedAttainment returns the share of first tokens on time, and of answers within
// the objective between tokens, on mixed engines that prefill and decode requests
// at a rate.
func mixedAttainment(speed Speed, mixed int, load Workload, objectives Objectives, rate float64) (onTime, betweenTokensShare float64) {
	servers := float64(mixed)
	batch := min(rate*load.OutputTokens*objectives.BetweenTokens/servers, speed.MaximumSequences)
	service := speed.mixedPrefillSeconds(load, batch)
	utilisation := rate * service / servers
	onTime = 1 - lateShare(utilisation, servers, service, objectives.FirstToken)
	// utilisation is the share of time spent in steps with a prompt chunk; the other
	// steps only decode.
	chunkSteps := min(utilisation, 1) / speed.chunkStepSeconds(load, batch)
	plainSteps := max(0, 1-utilisation) / (speed.StepBase + speed.PerSequence*batch)
	betweenTokensShare = speed.betweenTokensAttainment(load, objectives, batch, chunkSteps/(chunkSteps+plainSteps))
	return onTime, betweenTokensShare
}

const (
	// maximumUtilisation is the highest utilisation assumed to be reachable.
	maximumUtilisation = 0.97
	// admissionSteps is the resolution of the search for the best admitted rate.
	admissionSteps = 10
)

// overlongPromptShare returns the share of prompts that are too long to be
// prefilled in time at any load. Fitted to simulated splits: 0.17 where the
// objective is 2.3 times the mean service time, 0.05 at 3.1 times.
func overlongPromptShare(service, deadline float64) float64 {
	const decay = 1.4
	if deadline <= service {
		return 1
	}
	return math.Exp(-decay * (deadline/service - 1))
}

// onTimeRate returns the highest rate of first tokens on time when admission control
// may refuse part of the requests.
func onTimeRate(requests, servers, service, deadline float64) float64 {
	best := 0.0
	limit := min(requests, maximumUtilisation*servers/service) * (1 - overlongPromptShare(service, deadline))
	for step := 1; step <= admissionSteps; step++ {
		admitted := limit * float64(step) / admissionSteps
		late := lateShare(admitted*service/servers, servers, service, deadline)
		best = max(best, admitted*(1-late))
	}
	return best
}

// utilisation returns the utilisation of a split's prefill and decode stages, 1
// being full. Mixed engines count half in each stage.
func utilisation(speed Speed, split Split, load Workload, objectives Objectives) (prefill, decode float64) {
	half := float64(split.Mixed) / 2
	prefill = load.Requests * speed.prefillSeconds(load) / max(float64(split.Prefill)+half, 0.5)
	decode = load.Requests / max((float64(split.Decode)+half)*speed.decodeRate(load, objectives), 1e-9)
	return prefill, decode
}

// Splits returns every split of a number of engines between the three roles.
func Splits(engines int) []Split {
	var all []Split
	for prefill := 0; prefill <= engines; prefill++ {
		for decode := 0; prefill+decode <= engines; decode++ {
			all = append(all, Split{Prefill: prefill, Decode: decode, Mixed: engines - prefill - decode})
		}
	}
	return all
}
