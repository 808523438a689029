package peers

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
)

func TestOnlyChangedWorkIsToldBetweenWholeMessages(t *testing.T) {
	told := map[string]region.OutstandingWork{
		"same":  {Replica: "same", Requests: 1},
		"more":  {Replica: "more", Requests: 1},
		"ended": {Replica: "ended", Requests: 1, InTimeMicros: 9},
	}
	work := []region.OutstandingWork{
		{Replica: "same", Requests: 1}, {Replica: "more", Requests: 2}, {Replica: "new", InTimeMicros: 5},
	}
	assert.ElementsMatch(t, []region.OutstandingWork{
		{Replica: "more", Requests: 2}, {Replica: "new", InTimeMicros: 5}, {Replica: "ended"},
	}, changedWork(told, work))
	assert.Empty(t, changedWork(told, []region.OutstandingWork{told["same"], told["more"], told["ended"]}))
}
