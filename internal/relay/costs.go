package relay

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/costmodel"
	"github.com/pierhaven/pierhaven/internal/mechanism"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/topology"
)

const (
	// transferMargin is how many times longer a KV cache transfer may take than the link's bandwidth
	// allows, because other transfers share the link.
	transferMargin = 2
	// defaultTransferShare is the estimated transfer time, as a share of the prefill time that it saves, if
	// the configuration does not state the links' bandwidth.
	defaultTransferShare = 0.1
	// decodePrefillSlowdown is how many times longer a prefill takes on a decode replica than on a prefill
	// replica.
	decodePrefillSlowdown = 2
)

// costModel returns the learned cost model of a service's engines. The caller must hold d.mutex.
func (d *Directory) costModel(service string) *costmodel.Model {
	model, found := d.costModels[service]
	if !found {
		model = &costmodel.Model{}
		d.costModels[service] = model
	}
	return model
}

// prefillTime returns how long a replica works on the missing tokens of a prompt, without waiting and
// transfers. The caller must hold d.mutex.
func (d *Directory) prefillTime(replica *Replica, request PrefillRequest, missing int) time.Duration {
	work := costmodel.Work{Tokens: request.Prompt.Tokens, Missing: min(missing, request.Prompt.Tokens)}
	return d.costModel(replica.Service).ReadTime(work) * prefillSlowdown(replica)
}

// Costs returns the engine costs that this process has measured, for all services.
func (d *Directory) Costs() []region.EngineCost {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var costs []region.EngineCost
	for service, model := range d.costModels {
		weights, samples := model.Own()
		if samples == 0 {
			continue
		}
		costs = append(costs, region.EngineCost{
			Service: service, Samples: samples, Fixed: weights.Fixed, Token: weights.Token, Pair: weights.Pair,
		})
	}
	return costs
}

// MergeCosts merges engine costs that a peer has measured.
func (d *Directory) MergeCosts(costs []region.EngineCost) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.disabled[mechanism.LearnedCosts] {
		return
	}
	for _, each := range costs {
		if len(d.services[each.Service]) == 0 {
			continue
		}
		weights := costmodel.Weights{Fixed: each.Fixed, Token: each.Token, Pair: each.Pair}
		d.costModel(each.Service).Hear(weights, each.Samples)
	}
}

// prefillSlowdown returns how many times longer a prefill takes on a replica than on a prefill replica.
func prefillSlowdown(replica *Replica) time.Duration {
	if replica.Stage == region.StageDecode {
		return decodePrefillSlowdown
	}
	return 1
}

// transferTime returns how long it takes to transfer the KV cache of a prefix of some tokens from one replica to
// another; read is the prefill time that the transfer saves. The caller must hold d.mutex.
func (d *Directory) transferTime(from, to *Replica, tokens int, read time.Duration) time.Duration {
	engine := d.engines[to.Service]
	if engine.LinkBitsPerSecond <= 0 || engine.TokenBytes <= 0 {
		estimated := defaultTransferShare * float64(read)
		if d.regions.Between(from.Zone, to.Zone) == topology.OtherRegion {
			estimated *= crossRegionTransferFactor / crossZoneTransferFactor
		}
		return time.Duration(estimated)
	}
	seconds := transferMargin * float64(tokens) * float64(engine.TokenBytes) * bitsPerByte / engine.LinkBitsPerSecond
	seconds *= d.transferFactor(from.Zone, to.Zone)
	return time.Duration(seconds * float64(time.Second))
}

const bitsPerByte = 8

// typicalOverrun returns by how much longer than estimated a prompt typically takes at a stage's replicas.
// The caller must hold d.mutex.
func (d *Directory) typicalOverrun(service, stage string) time.Duration {
	if d.disabled[mechanism.Excess] {
		return 0
	}
	return max(d.overruns[service+"/"+stage].average(), 0)
}

// prefillRate returns the prefill rate of a service's replicas in tokens per second, 0 if it is unknown.
func (d *Directory) prefillRate(service string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.costModel(service).TokensPerSecond()
}
