package reconcile

import (
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// Config configures a Core.
type Config struct {
	Zone string
	// Generation is the replica group's generation, which is set when the group
	// is founded.
	Generation uint64
	// Parameters are the parameters to commit in the group.
	Parameters zonestate.Parameters
	// Engines and BackEnds come from the settings file.
	Engines  []Target
	BackEnds []Target
	// Margin extends the lease and isolation times of an unresponsive gateway to
	// allow for clock drift.
	Margin membership.Margin
	// MaximumAway is the maximum number of engines that change at the same time
	// if no policy sets one. Default 1.
	MaximumAway int
	// PollInterval is the time between polls of one engine or back end. Engines
	// that are being changed or verified are polled four times as often.
	// Default 1 s.
	PollInterval time.Duration
	// PollTimeout is the time after which an unanswered poll or order is
	// sent again. Default 2 s.
	PollTimeout time.Duration
	// LostAfter is the time without a response after which an engine is
	// considered lost. Default 10 s.
	LostAfter time.Duration
	// ProposalTimeout is the time after which an unfinished proposal is made
	// again. Default 5 s.
	ProposalTimeout time.Duration
	// FailureBackoff is the backoff after an engine's first failed order. It
	// doubles with each further failure, up to one minute. Default 1 s.
	FailureBackoff time.Duration
	// MaximumFailures is the number of failed orders after which the change is
	// abandoned, if the engine still runs its old configuration. Default 3.
	MaximumFailures int
	// AdvanceInterval is the time between sweeps of the once-only claims.
	// Default 10 s.
	AdvanceInterval time.Duration
	// SkipDrainWait is a fault injected by tests and the simulator: orders are
	// issued without waiting for gateways and running requests.
	SkipDrainWait bool
}

// Target is an engine or a back end with its address.
type Target struct {
	ID           string
	Address      string
	Applications []string
}

const (
	maximumBackoff = time.Minute
	// pollSpacing is the minimum poll interval per target. It limits the regular
	// polls of a large zone's engines to 100 a second, and those of its back ends
	// likewise.
	pollSpacing = 10 * time.Millisecond
	// changePollDivisor divides the poll interval of engines that are being
	// changed or verified.
	changePollDivisor = 4
	// isolationInterval is the minimum time between two isolation sets of a
	// session.
	isolationInterval = 30 * time.Second
	// removeAfter is how long a machine that the platform lists as gone must have
	// been unresponsive before its row is removed.
	removeAfter = 10 * time.Minute
	// removeSuspectAfter replaces removeAfter while the platform's list is suspect.
	removeSuspectAfter = time.Hour
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaximumAway, 1)
	setDefault(&c.PollInterval, time.Second)
	setDefault(&c.PollTimeout, 2*time.Second)
	setDefault(&c.LostAfter, 10*time.Second)
	setDefault(&c.ProposalTimeout, 5*time.Second)
	setDefault(&c.FailureBackoff, time.Second)
	setDefault(&c.MaximumFailures, 3)
	setDefault(&c.AdvanceInterval, 10*time.Second)
	setDefault(&c.Margin, membership.DefaultMargin())
	return c
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}
