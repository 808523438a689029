package routing

import "time"

// Objectives are the latency objectives against which goodput is measured.
type Objectives struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Defaults for models without objectives.
const (
	defaultFirstToken    = 2 * time.Second
	defaultBetweenTokens = 100 * time.Millisecond
)

func (o Objectives) withDefaults() Objectives {
	if o.FirstToken <= 0 {
		o.FirstToken = defaultFirstToken
	}
	if o.BetweenTokens <= 0 {
		o.BetweenTokens = defaultBetweenTokens
	}
	return o
}
