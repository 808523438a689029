package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/routing"
	"github.com/pierhaven/pierhaven/internal/wire"
)

func TestOutcomesAreCountedByVersion(t *testing.T) {
	v := newVersionOutcomes()
	v.setEngines([]routing.Engine{{ID: "old", Version: "1"}, {ID: "new", Version: "2"}})
	v.started(0, "old", "a", "model", time.Second)
	v.firstToken("a", 2*time.Second)
	v.ended("a", routing.OutcomeSucceeded)
	require.Empty(t, v.report(0), "there is but one version")

	v.started(0, "new", "b", "model", time.Second)
	v.started(0, "new", "c", "model", time.Second)
	v.started(0, "new", "d", "model", time.Second)
	v.firstToken("b", time.Millisecond)
	v.ended("b", routing.OutcomeFailed)
	v.ended("c", routing.OutcomeRefused)
	v.ended("d", routing.OutcomeCancelled)
	v.ended("d", routing.OutcomeFailed)
	require.Equal(t, []wire.VersionOutcome{
		{Model: "model", Version: "1", Ended: 1, Late: 1},
		{Model: "model", Version: "2", Ended: 1, Failed: 1},
	}, v.report(0))
	require.Empty(t, v.report(versionMemory))
	require.Empty(t, v.attempts, "nothing is kept of attempts that have ended")
}
