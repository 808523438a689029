package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	host         = "ficu95.example"
	fronts       = 3
	formService  = "booking-api"
	otherService = "booking-next"
	deadline     = time.Second
)

// route, service, part and configuration are those of the operator's API.
type route struct {
	Name, Host, PathPrefix, RouteType    string
	TimeoutMs, TargetLatencyMs, Priority int
	Service                              string `json:",omitempty"`
	TrafficSplit                         []part `json:",omitempty"`
	MaxAttempts                          int
}

type part struct {
	Service string
	Weight  int64
}

type service struct {
	Name, HealthCheck string
	MaxConnections    int
	Protocol          string
}

type configuration struct {
	Version  int
	Routes   []route
	Services []service
	Limits   map[string]int
}

// movedPath is the route that the second version moves to the other service, droppedPath the one that it drops.
const (
	movedPath   = "/moved1/"
	droppedPath = "/gone1/"
)

// splitRoutes is the number of routes that the second version splits.
const splitRoutes = 4

// configurationOf returns a version. The second one splits routes by weights that add up to total, moves one route to the other
// service and drops one. The third one is the second without splits.
func configurationOf(version int, total int64) []byte {
	plain := func(name, prefix, to string) route {
		return route{Name: name, Host: host, PathPrefix: prefix, RouteType: "idempotent", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Service: to, MaxAttempts: 2}
	}
	made := configuration{
		Version: version,
		Services: []service{
			{Name: formService, HealthCheck: "/healthz", MaxConnections: 110, Protocol: "h1"},
			{Name: otherService, HealthCheck: "/healthz", MaxConnections: 110, Protocol: "h1"},
		},
		Limits: map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	for number := range splitRoutes {
		each := plain(fmt.Sprintf("r-split%d", number), fmt.Sprintf("/split%d/", number), formService)
		if version == 20 {
			each.Service = ""
			each.TrafficSplit = []part{{formService, total / 10 * 9}, {otherService, total / 10}}
		}
		made.Routes = append(made.Routes, each)
	}
	if version == 10 {
		made.Routes = append(made.Routes, plain("r-moved", movedPath, formService), plain("r-gone", droppedPath, formService))
	} else {
		made.Routes = append(made.Routes, plain("r-moved", movedPath, otherService))
	}
	return encodeConfiguration(made)
}

func encodeConfiguration(made configuration) []byte {
	body, _ := json.Marshal(made)
	return body
}

func decodeConfiguration(body []byte) configuration {
	var read configuration
	_ = json.Unmarshal(body, &read)
	return read
}

// stale counts the requests that gateways have handled in a way that only an older version allows.
type stale struct {
	mutex                 sync.Mutex
	asked, moved, dropped int
	last                  time.Time
}

// callRoutes asks each gateway for the moved and the dropped route until a time, and counts what is stale.
func (r *region) callRoutes(name string, until time.Time) *stale {
	counts := &stale{}
	var callers sync.WaitGroup
	for front := range fronts {
		callers.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				id := fmt.Sprintf("%s-%d-%d", name, front+1, number)
				moved := r.call(front, id+"-m", host, movedPath+"x", deadline)
				dropped := r.call(front, id+"-d", host, droppedPath+"x", deadline)
				counts.judge(moved, r.record.runsOf(id+"-m"), dropped, r.record.runsOf(id+"-d"))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return counts
}

// judge counts what is stale of a request on each route.
func (s *stale) judge(moved outcome, movedRuns []run, dropped outcome, droppedRuns []run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked += 2
	for _, each := range movedRuns {
		if each.service == formService {
			s.moved++
			s.last = moved.sent
		}
	}
	if len(droppedRuns) > 0 {
		s.dropped++
		s.last = dropped.sent
	}
}

// weights shows what gateways do with a split whose weights are large. It reports whether the rule was broken.
func weights(record *record, trouble bool) (bool, error) {
	total := int64(1_000_000_000)
	if !trouble {
		total = 100
	}
	r, err := newRegion(record)
	if err != nil {
		return false, err
	}
	defer r.close()
	if err := r.startAll(20 * time.Millisecond); err != nil {
		return false, err
	}
	if _, err := r.replaceConfiguration(10, configurationOf(10, total), 20*time.Second); err != nil {
		return false, err
	}
	if err := r.awaitReady(fronts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	before := r.callRoutes("before", time.Now().Add(2*time.Second))
	record.note("under version 10, %d of %d requests ran as it says", before.moved+before.dropped, before.asked)
	if before.moved+before.dropped < before.asked {
		return false, fmt.Errorf("the region does not serve: %d of %d", before.moved+before.dropped, before.asked)
	}
	acknowledged, err := r.replaceConfiguration(20, configurationOf(20, total), 20*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(configApply)))
	after := r.callRoutes("after", time.Now().Add(8*time.Second))
	record.note("of %d requests that were sent over %s after the acknowledgement of version 20: %d ran at the old service, %d on the dropped route; the last of them %.1f s after it",
		after.asked, configApply, after.moved, after.dropped, sinceIfAny(acknowledged, after.last))
	acknowledged, err = r.replaceConfiguration(30, configurationOf(30, total), 20*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(configApply)))
	later := r.callRoutes("later", time.Now().Add(5*time.Second))
	record.note("of %d requests that were sent over %s after the acknowledgement of version 30, which splits nothing: %d ran at the old service, %d on the dropped route; the last of them %.1f s after it",
		later.asked, configApply, later.moved, later.dropped, sinceIfAny(acknowledged, later.last))
	return after.moved+after.dropped+later.moved+later.dropped > 0, nil
}

func sinceIfAny(from, to time.Time) float64 {
	if to.IsZero() {
		return 0
	}
	return to.Sub(from).Seconds()
}

// startAll starts three coordinators, three gateways and three replicas of each service, which work on a request for a time, all
// within 0.3 s of one another.
func (r *region) startAll(work time.Duration) error {
	for number := range 6 {
		to := formService
		if number >= 3 {
			to = otherService
		}
		if err := r.addReplica(number, to, work); err != nil {
			return err
		}
	}
	errors := make(chan error, 2*fronts)
	for number := range fronts {
		go func() { errors <- r.startCore(number) }()
		go func() { errors <- r.startFront(number) }()
	}
	for range 2 * fronts {
		if err := <-errors; err != nil {
			return err
		}
	}
	return nil
}
