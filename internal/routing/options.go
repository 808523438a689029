package routing

import "time"

// Options are the settings of a Router.
type Options struct {
	// SampleSize is the number of engines that are sampled at random and
	// compared; 2 is the power of two choices (Mitzenmacher, IEEE TPDS 2001). 0
	// compares all, which suits a zone with one gateway.
	SampleSize int
	// SubsetSize bounds the number of engines of each role and version of a
	// model that this gateway uses; 0 uses all.
	SubsetSize int
	// GatewayID is the hash seed of the subset.
	GatewayID string
	// PrefixBlocksPerEngine bounds the number of prefix index entries for each
	// engine.
	PrefixBlocksPerEngine int
	// LoadHalfLife is the age at which the reported load of other gateways'
	// requests has half its weight; the mean over the engines makes up the
	// rest.
	LoadHalfLife time.Duration
	// KVTransferPerToken is the assumed time to transfer one token's KV cache
	// until it has been measured.
	KVTransferPerToken time.Duration
	// Weights of the scorers.
	Weights Weights
	// Ejection configures when a failing engine is ejected.
	Ejection EjectionOptions
	// BacklogShare is the share of the first-token objective that the prefill
	// work queued ahead of a request may use up at an engine. Beyond it the
	// engine counts as saturated, and requests wait at the gateway.
	BacklogShare float64
	// FirstTokenShare is the share of the remaining first-token objective that
	// the predicted first-token time may use up behind other work; an idle
	// engine takes any request.
	FirstTokenShare float64
	// DecodeShare is the share of the inter-token objective up to which decode
	// batches are filled. At 1, every second step would be late, and with it
	// every answer.
	DecodeShare float64
}

// Weights of the scorers. A weight of 0 disables a scorer.
type Weights struct {
	Queue    float64
	Prefix   float64
	Latency  float64
	Locality float64
	// Interference weights the number of answers delayed by prefill on mixed
	// engines.
	Interference float64
}

// DefaultOptions returns the default settings, which the experiments use.
func DefaultOptions() Options {
	return Options{
		SampleSize:            2,
		PrefixBlocksPerEngine: 1 << 13,
		LoadHalfLife:          3 * time.Second,
		KVTransferPerToken:    10 * time.Microsecond,
		Weights:               Weights{Queue: 1, Prefix: 1, Latency: 2, Locality: 0.5, Interference: 2},
		Ejection:              DefaultEjectionOptions(),
		BacklogShare:          0.6,
		FirstTokenShare:       0.85,
		DecodeShare:           0.96,
	}
}
