package peers

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
)

func TestOnlyChangedWorkIsSentBetweenFullMessages(t *testing.T) {
	sent := map[string]region.OutstandingWork{
		"same":  {Replica: "same", Requests: 1},
		"more":  {Replica: "more", Requests: 1},
		"ended": {Replica: "ended", Requests: 1, InTimeMicros: 9},
	}
	work := []region.OutstandingWork{
		{Replica: "same", Requests: 1}, {Replica: "more", Requests: 2}, {Replica: "new", InTimeMicros: 5},
	}
	assert.ElementsMatch(t, []region.OutstandingWork{
		{Replica: "more", Requests: 2}, {Replica: "new", InTimeMicros: 5}, {Replica: "ended"},
	}, changedWork(sent, work))
	assert.Empty(t, changedWork(sent, []region.OutstandingWork{sent["same"], sent["more"], sent["ended"]}))
}
