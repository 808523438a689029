package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/relay"
)

// withdrawnPerSecond returns the number of retries that all gateways together withdraw in each second
// if they ask for as many as they get.
func withdrawnPerSecond(gateways, seconds, requests int, options relay.RetryBudgetOptions, restartEvery int) []int {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	budgets := make([]*relay.RetryBudgets, gateways)
	var each []int
	for second := range seconds {
		count := 0
		for index := range budgets {
			if budgets[index] == nil || restartEvery > 0 && second%restartEvery == index%restartEvery {
				budgets[index] = relay.NewRetryBudgets(clock, options, gateways)
			}
			for range requests {
				budgets[index].Request("s")
			}
			for budgets[index].Withdraw("s") {
				count++
			}
		}
		each = append(each, count)
		now += time.Second
	}
	return each
}

func TestRetriesOfAllGatewaysStayWithinLimitInEveryWindow(t *testing.T) {
	options := relay.RetryBudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}
	for name, test := range map[string]struct{ gateways, requests, restartEvery int }{
		"few":       {7, 5, 0},
		"quiet":     {9, 0, 0},
		"many":      {59, 5, 0},
		"restarted": {9, 5, 10},
	} {
		t.Run(name, func(t *testing.T) {
			each := withdrawnPerSecond(test.gateways, 60, test.requests, options, test.restartEvery)
			for from := 0; from+10 <= len(each); from++ {
				sum := 0
				for _, count := range each[from : from+10] {
					sum += count
				}
				allowed := options.Ratio*float64(10*test.gateways*test.requests) + options.Slack
				assert.LessOrEqual(t, float64(sum), allowed, "window from second %d", from)
			}
		})
	}
}

// Guards against a burst of retries: quiet gateways each save up a retry, and many spend theirs at once
// when a service begins to reject requests. 985 retries were made where 152 are allowed.
func TestSavedRetriesOfQuietGatewaysStayWithinLimit(t *testing.T) {
	options := relay.RetryBudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}
	for _, gateways := range []int{9, 65, 295, 985} {
		for _, pause := range []int{2, 5, 20} {
			now := time.Duration(0)
			budgets := make([]*relay.RetryBudgets, gateways)
			for index := range budgets {
				budgets[index] = relay.NewRetryBudgets(func() time.Duration { return now }, options, gateways)
			}
			for second := range 600 {
				for index, each := range budgets {
					if (second+index)%pause == 0 {
						each.Request("s")
					}
				}
				now += time.Second
			}
			spent := 0
			for _, each := range budgets {
				for each.Withdraw("s") {
					spent++
				}
			}
			requests := float64(gateways) * options.Window.Seconds() / float64(pause)
			assert.LessOrEqual(t, float64(spent), options.Ratio*requests+options.Slack, "%d gateways, a request each %d s", gateways, pause)
		}
	}
}
