package policycheck

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/policy"
)

// rankingWindow is the time within which calls are assumed to wait together, as in
// an overload. Ranking has no effect on calls that do not wait.
const rankingWindow = 2 * time.Second

// ClassOrder describes the positions of a class's calls in the queues of their
// tenants and priorities. Present and Checked are the mean positions, from 0
// (first) to 1 (last), over the calls that wait together with others.
type ClassOrder struct {
	Class string `json:"class"`
	// Calls is the number of calls; Compared is the number of those that wait
	// together with others of their zone, model, tenant and priority.
	Calls    int     `json:"calls"`
	Compared int     `json:"compared"`
	Present  float64 `json:"present"`
	Checked  float64 `json:"checked"`
	// Earlier and Later count the calls that the checked policies move forward and
	// back.
	Earlier int `json:"earlier"`
	Later   int `json:"later"`
}

// queueKey identifies the calls whose order a ranking program decides.
type queueKey struct {
	window   int64
	zone     string
	model    string
	tenant   string
	priority int
}

// rankedCall is a call with its rank under both sets of policies.
type rankedCall struct {
	call             *Call
	present, checked float64
}

func compareRanking(trace Trace, settings ReplaySettings, present, checked *policy.Set) []ClassOrder {
	queues := map[queueKey][]rankedCall{}
	var order []queueKey
	replay := newRankingReplay(settings)
	for index := range trace.Calls {
		call := &trace.Calls[index]
		key := keyOf(call)
		if _, found := queues[key]; !found {
			order = append(order, key)
		}
		variables := replay.variables(call)
		queues[key] = append(queues[key], rankedCall{
			call:    call,
			present: rankOf(present, call, variables),
			checked: rankOf(checked, call, variables),
		})
	}
	classes := map[string]*ClassOrder{}
	for _, key := range order {
		addQueuePositions(classes, queues[key])
	}
	return sortedClasses(classes)
}

func keyOf(call *Call) queueKey {
	return queueKey{int64(call.Arrival / rankingWindow), call.Zone, call.Model, call.Tenant, call.Priority}
}

// rankOf computes the rank as the gateways do; see internal/gateway/scheduler.
func rankOf(policies *policy.Set, call *Call, variables policy.RankingVariables) float64 {
	program := policies.ProgramFor(call.Model)
	if program.HasRanking() {
		return program.Rank(variables)
	}
	if call.Deadline == 0 {
		return policy.BuiltinRankAt(0)
	}
	return policy.BuiltinRankAt(call.Arrival + call.Deadline)
}

func addQueuePositions(classes map[string]*ClassOrder, queue []rankedCall) {
	present := positions(queue, func(ranked rankedCall) float64 { return ranked.present })
	checked := positions(queue, func(ranked rankedCall) float64 { return ranked.checked })
	for index, ranked := range queue {
		row, found := classes[ranked.call.Class]
		if !found {
			row = &ClassOrder{Class: ranked.call.Class}
			classes[ranked.call.Class] = row
		}
		row.Calls++
		if len(queue) == 1 {
			continue
		}
		row.Compared++
		row.Present += float64(present[index]) / float64(len(queue)-1)
		row.Checked += float64(checked[index]) / float64(len(queue)-1)
		switch {
		case checked[index] < present[index]:
			row.Earlier++
		case checked[index] > present[index]:
			row.Later++
		}
	}
}

// positions returns each call's position in the order of ranks. Calls of equal
// rank are in the order of arrival.
func positions(queue []rankedCall, rank func(rankedCall) float64) []int {
	order := make([]int, len(queue))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch left, right := rank(queue[a]), rank(queue[b]); {
		case left > right:
			return -1
		case left < right:
			return 1
		}
		return 0
	})
	result := make([]int, len(queue))
	for position, index := range order {
		result[index] = position
	}
	return result
}

func sortedClasses(classes map[string]*ClassOrder) []ClassOrder {
	rows := []ClassOrder{}
	for _, row := range classes {
		if row.Compared > 0 {
			row.Present /= float64(row.Compared)
			row.Checked /= float64(row.Compared)
		}
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b ClassOrder) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	return rows
}
