package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/routing"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// versionMemory is how long the outcomes of a version that is not in use any more
// are reported.
const versionMemory = 2 * time.Minute

// versionOutcomes counts the attempts on each version of each model, for the
// watching of rollouts.
type versionOutcomes struct {
	versions map[string]string
	attempts map[string]versionAttempt
	counts   map[versionKey]*versionCount
}

type versionKey struct{ model, version string }

// versionAttempt is one attempt in flight.
type versionAttempt struct {
	key versionKey
	// firstTokenIn is the model's objective, 0 for none.
	firstTokenIn time.Duration
}

type versionCount struct {
	outcome  wire.VersionOutcome
	lastUsed time.Duration
}

func newVersionOutcomes() versionOutcomes {
	return versionOutcomes{
		versions: map[string]string{},
		attempts: map[string]versionAttempt{},
		counts:   map[versionKey]*versionCount{},
	}
}

func (v *versionOutcomes) setEngines(engines []routing.Engine) {
	clear(v.versions)
	for _, engine := range engines {
		v.versions[engine.ID] = engine.Version
	}
}

func (v *versionOutcomes) started(now time.Duration, engineID, attemptID, model string, firstTokenIn time.Duration) {
	key := versionKey{model, v.versions[engineID]}
	v.attempts[attemptID] = versionAttempt{key: key, firstTokenIn: firstTokenIn}
	count, found := v.counts[key]
	if !found {
		count = &versionCount{outcome: wire.VersionOutcome{Model: key.model, Version: key.version}}
		v.counts[key] = count
	}
	count.lastUsed = now
}

func (v *versionOutcomes) firstToken(attemptID string, took time.Duration) {
	attempt, found := v.attempts[attemptID]
	if found && attempt.firstTokenIn > 0 && took > attempt.firstTokenIn {
		v.counts[attempt.key].outcome.Late++
	}
}

// ended counts attempts that say something about the version: not those that
// were refused before running or given up by this side.
func (v *versionOutcomes) ended(attemptID string, outcome routing.Outcome) {
	attempt, found := v.attempts[attemptID]
	if !found {
		return
	}
	delete(v.attempts, attemptID)
	count := v.counts[attempt.key]
	switch outcome {
	case routing.OutcomeSucceeded:
		count.outcome.Ended++
	case routing.OutcomeFailed:
		count.outcome.Ended++
		count.outcome.Failed++
	}
}

// report returns the counts of the models that have had more than one version in
// use of late, sorted by model and version.
func (v *versionOutcomes) report(now time.Duration) []wire.VersionOutcome {
	inUse := map[string]int{}
	for key, count := range v.counts {
		if now-count.lastUsed < versionMemory {
			inUse[key.model]++
		}
	}
	var rows []wire.VersionOutcome
	for key, count := range v.counts {
		if inUse[key.model] > 1 && now-count.lastUsed < versionMemory {
			rows = append(rows, count.outcome)
		}
	}
	slices.SortFunc(rows, func(a, b wire.VersionOutcome) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return rows
}
