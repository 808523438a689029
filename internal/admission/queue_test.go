package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pierhaven/pierhaven/internal/failure"
)

func newItem(id, tenant string, cost float64) *Item {
	return &Item{ID: id, Tenant: tenant, Weight: 1, Cost: cost}
}

func acceptAll(*Item) bool { return true }

func TestPrioritiesAreStrictAndTenantsShareByWeight(t *testing.T) {
	queue := NewQueue(DefaultOptions())
	for index := range 30 {
		light := newItem(fmt.Sprint("light", index), "light", 100)
		heavy := newItem(fmt.Sprint("heavy", index), "heavy", 100)
		heavy.Weight = 3
		require.Nil(t, queue.Offer(0, light))
		require.Nil(t, queue.Offer(0, heavy))
	}
	urgent := newItem("urgent", "light", 100)
	urgent.Priority = 5
	require.Nil(t, queue.Offer(0, urgent))
	assert.Equal(t, "urgent", queue.Next(0, acceptAll).ID)
	served := map[string]int{}
	for range 24 {
		served[queue.Next(0, acceptAll).Tenant]++
	}
	assert.InDelta(t, 18, served["heavy"], 1)
	assert.InDelta(t, 6, served["light"], 1)
}

func TestIdleTenantAccumulatesNoCredit(t *testing.T) {
	queue := NewQueue(DefaultOptions())
	for index := range 50 {
		require.Nil(t, queue.Offer(0, newItem(fmt.Sprint("a", index), "a", 100)))
	}
	for range 40 {
		queue.Next(0, acceptAll)
	}
	for index := range 10 {
		require.Nil(t, queue.Offer(0, newItem(fmt.Sprint("b", index), "b", 100)))
	}
	served := map[string]int{}
	for range 10 {
		served[queue.Next(0, acceptAll).Tenant]++
	}
	assert.InDelta(t, 5, served["b"], 1, "the new tenant gets its share from now on, and does not catch up")
}

func TestTenantItemsAreOrderedByRankThenArrival(t *testing.T) {
	queue := NewQueue(DefaultOptions())
	for id, rank := range map[string]float64{"low": -1, "high": 2} {
		each := newItem(id, "a", 10)
		each.Rank = rank
		require.Nil(t, queue.Offer(0, each))
	}
	first, second := newItem("first", "a", 10), newItem("second", "a", 10)
	require.Nil(t, queue.Offer(0, first))
	require.Nil(t, queue.Offer(0, second))
	var order []string
	for queue.Len() > 0 {
		order = append(order, queue.Next(0, acceptAll).ID)
	}
	assert.Equal(t, []string{"high", "first", "second", "low"}, order)
}

func TestFullQueueRefusesWithRetryAfter(t *testing.T) {
	options := DefaultOptions()
	options.MaximumItems, options.MaximumTenantItems = 3, 2
	queue := NewQueue(options)
	require.Nil(t, queue.Offer(0, newItem("1", "a", 10)))
	require.Nil(t, queue.Offer(0, newItem("2", "a", 10)))
	refusal := queue.Offer(0, newItem("3", "a", 10))
	require.NotNil(t, refusal, "the tenant is at its maximum")
	assert.Equal(t, failure.QueueFull, refusal.Kind)
	assert.GreaterOrEqual(t, refusal.RetryAfter, options.MinimumRetryAfter)
	require.Nil(t, queue.Offer(0, newItem("4", "b", 10)))
	require.NotNil(t, queue.Offer(0, newItem("5", "c", 10)), "the queue is full")
}

// newQueueWithRate returns a queue with an initial drain rate of 1000 tokens a
// second that holds one item with the given cost.
func newQueueWithRate(t *testing.T, queuedCost float64) *Queue {
	options := DefaultOptions()
	options.InitialRate = 1000
	queue := NewQueue(options)
	require.Nil(t, queue.Offer(0, newItem("standing", "a", queuedCost)))
	return queue
}

func TestItemThatCannotMeetDeadlineIsRefusedOnOffer(t *testing.T) {
	cases := map[string]struct {
		queuedCost        float64
		deadline, service time.Duration
		refused           bool
	}{
		"an empty queue's wait fits":       {1, time.Second, 100 * time.Millisecond, false},
		"the wait takes the whole time":    {1000, time.Second, 0, true},
		"the service alone takes too long": {1, time.Second, 1100 * time.Millisecond, true},
		"a long deadline":                  {1000, 10 * time.Second, 0, false},
	}
	for name, test := range cases {
		queue := newQueueWithRate(t, test.queuedCost)
		late := newItem("late", "a", 1)
		late.Deadline, late.Service = test.deadline, test.service
		refusal := queue.Offer(0, late)
		require.Equal(t, test.refused, refusal != nil, name)
		if refusal != nil {
			assert.Equal(t, failure.DeadlineTooShort, refusal.Kind, name)
			assert.Positive(t, refusal.RetryAfter, name)
		}
	}
}

func newItemWithDeadline(id string, at, deadline time.Duration) *Item {
	each := newItem(id, "a", 1)
	each.Deadline = at + deadline
	return each
}

func TestItemMayWaitUntilDeadlineWithoutOverload(t *testing.T) {
	queue := NewQueue(DefaultOptions())
	require.Nil(t, queue.Offer(0, newItemWithDeadline("burst", 0, time.Second)))
	assert.Empty(t, queue.Expire(500*time.Millisecond))
	expired := queue.Expire(time.Second)
	require.Len(t, expired, 1)
	assert.Equal(t, "burst", expired[0].Item.ID)
}

// newOverloadedQueue returns a queue whose last 100 items were all refused.
func newOverloadedQueue(t *testing.T) (*Queue, time.Duration) {
	queue := NewQueue(DefaultOptions())
	now := time.Duration(0)
	for index := range 100 {
		require.Nil(t, queue.Offer(now, newItemWithDeadline(fmt.Sprint(index), now, time.Second)))
		now += time.Second
		require.Len(t, queue.Expire(now), 1)
	}
	return queue, now
}

func TestOverloadedQueueRefusesWithinTenthOfDeadline(t *testing.T) {
	queue, now := newOverloadedQueue(t)
	require.True(t, queue.Overloaded())
	require.Nil(t, queue.Offer(now, newItemWithDeadline("next", now, time.Second)))
	at, ok := queue.NextReview()
	require.True(t, ok)
	assert.LessOrEqual(t, at, now+100*time.Millisecond)
	assert.Len(t, queue.Expire(at), 1)
}

// The time to the first review counts from the arrival at the first gateway, also
// if that was in another zone.
func TestForwardedItemCountsTimeAtPreviousGateway(t *testing.T) {
	queue, now := newOverloadedQueue(t)
	forwarded := newItemWithDeadline("spilled", now, time.Second)
	forwarded.FirstReceivedAt = now - 200*time.Millisecond
	require.Nil(t, queue.Offer(now, forwarded))
	at, _ := queue.NextReview()
	assert.Equal(t, now, at)
}

func TestServingEndsOverload(t *testing.T) {
	queue, now := newOverloadedQueue(t)
	for index := range 100 {
		require.Nil(t, queue.Offer(now, newItem(fmt.Sprint("served", index), "a", 1)))
		require.NotNil(t, queue.Next(now, acceptAll))
	}
	assert.False(t, queue.Overloaded())
}

// TestQueueAccounting applies random offers, servings, removals and reviews, and
// compares the counts and bounds of the queue with a list of its items.
func TestQueueAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := DefaultOptions()
		options.MaximumItems, options.MaximumTenantItems = 20, 12
		queue := NewQueue(options)
		now, serial := time.Duration(0), 0
		queued := map[string]*Item{}
		recordRemoval := func(taken *Item) {
			_, known := queued[taken.ID]
			require.True(t, known, "%s was removed twice, or never queued", taken.ID)
			delete(queued, taken.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				serial++
				offered := newItem(fmt.Sprint(serial), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"), rapid.Float64Range(1, 2000).Draw(t, "cost"))
				offered.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				if rapid.Bool().Draw(t, "has deadline") {
					offered.Deadline = now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline"))*time.Millisecond
				}
				if queue.Offer(now, offered) == nil {
					queued[offered.ID] = offered
				}
			},
			"serve": func(*rapid.T) {
				served := queue.Next(now, acceptAll)
				if served == nil {
					require.Empty(t, queued)
					return
				}
				for _, other := range queued {
					require.LessOrEqual(t, other.Priority, served.Priority, "a lower priority was served first")
				}
				recordRemoval(served)
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, serial+1).Draw(t, "id"))
				if removed := queue.Remove(now, id); removed != nil {
					recordRemoval(removed)
				}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond
				for _, refused := range queue.Expire(now) {
					recordRemoval(refused.Item)
				}
			},
			"": func(t *rapid.T) {
				require.Len(t, queued, queue.Len())
				require.LessOrEqual(t, queue.Len(), options.MaximumItems)
				cost, tenants := 0.0, map[string]int{}
				for _, each := range queued {
					cost += each.Cost
					tenants[each.Tenant]++
				}
				require.InDelta(t, cost, queue.Cost(), 1e-6)
				for tenant, count := range tenants {
					require.LessOrEqual(t, count, options.MaximumTenantItems, tenant)
				}
			},
		})
	})
}
