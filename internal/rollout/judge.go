package rollout

import (
	"fmt"

	"gonum.org/v1/gonum/stat/distuv"
)

// haltReason returns the reason to halt a rollout, or "" if there is none.
func (c *Core) haltReason(model *Model, observed *observation) string {
	if reason := c.failedLoadReason(model); reason != "" {
		return reason
	}
	to := model.Committed.To
	newVersion := model.Outcomes[to].minus(observed.baseline[to])
	var oldVersion Outcomes
	for version, outcomes := range model.Outcomes {
		if version != to {
			oldVersion = oldVersion.plus(outcomes.minus(observed.baseline[version]))
		}
	}
	if c.exceedsShare(newVersion.Failed, newVersion.Ended, share(oldVersion.Failed, oldVersion.Ended)+c.options.FailureMargin) {
		return describeOutcomes("fail", to, newVersion.Failed, newVersion.Ended, oldVersion.Failed, oldVersion.Ended)
	}
	enough := newVersion.Ended >= c.options.MinimumAttempts
	if enough && c.exceedsShare(newVersion.Late, newVersion.Ended, share(oldVersion.Late, oldVersion.Ended)+c.options.LateMargin) {
		return describeOutcomes("come late", to, newVersion.Late, newVersion.Ended, oldVersion.Late, oldVersion.Ended)
	}
	return ""
}

// failedLoadReason returns a halt reason if an engine can't load the new version.
func (c *Core) failedLoadReason(model *Model) string {
	to := model.Committed.To
	for index := range model.Engines {
		engine := &model.Engines[index]
		failing := engine.Desired.Version == to && engine.FailedLoads >= c.options.MaximumFailedLoads
		abandoned := engine.AbandonedVersion == to && engine.AbandonedAt > model.Committed.ChangedAt
		if failing || abandoned {
			return fmt.Sprintf("engine %s can't load version %s: %s", engine.ID, to, engine.FailureDetail)
		}
	}
	return ""
}

// exceedsShare reports whether the share of failed or late attempts (wrong of all) is
// significantly higher than accepted, by a one-sided exact binomial test (Clopper and
// Pearson, 1934). A few attempts are enough if nearly all of them go wrong, which
// matters because routers soon avoid such an engine.
func (c *Core) exceedsShare(wrong, all uint64, accepted float64) bool {
	if wrong == 0 || accepted >= 1 {
		return false
	}
	expected := distuv.Binomial{N: float64(all), P: accepted}
	return expected.Survival(float64(wrong)-1) < c.options.Significance
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func describeOutcomes(what, version string, fresh, freshAll, old, oldAll uint64) string {
	return fmt.Sprintf("%d of %d attempts %s on version %s, and %d of %d on the other", fresh, freshAll, what, version, old, oldAll)
}
