package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// otherService is the second part of the route whose requests are split.
	otherService = "other"
	// shortestTimeout is that of the routes in some versions.
	shortestTimeout = 1200 * time.Millisecond
	// invalidEvery is the number of versions after which one is also sent cut short, withoutOnce that after which one
	// lacks a route, and withoutKey that after which one lacks a key.
	invalidEvery = 5
	withoutOnce  = 6
	withoutKey   = 7
	// limitedEvery is the number of versions after which one limits a tenant of all routes to limitedRate requests a
	// second.
	limitedEvery = 4
	limitedRate  = 20
)

var (
	// timeouts, idleTimes and splits are those of the versions in turn.
	timeouts  = []time.Duration{2 * time.Second, 1500 * time.Millisecond, shortestTimeout}
	idleTimes = []time.Duration{15 * time.Second, 3 * time.Second, time.Second, 300 * time.Millisecond}
	splits    = [][]platformtest.Part{
		{{Service: "service", Weight: 9}, {Service: otherService, Weight: 1}},
		{{Service: "service", Weight: 1}, {Service: otherService, Weight: 9}},
		{{Service: otherService, Weight: 1}},
	}
)

// configuration returns a version's configuration. Unless the soak is calm, it changes what running requests use: the
// timeouts of their routes, the split between services, whether a route and a key exist, a tenant's limit, and the
// idle time.
func (s *soak) configuration(version uint64) []byte {
	timeout, split, idle := timeouts[0], splits[0], idleTimes[0]
	known := slices.Clone(tenants)
	lacksOnce := false
	if !s.options.Calm {
		timeout = timeouts[version%uint64(len(timeouts))]
		split = splits[version/2%uint64(len(splits))]
		idle = idleTimes[version%uint64(len(idleTimes))]
		lacksOnce = version%withoutOnce == 0
		if s.changesQuotas() && version%limitedEvery == 0 {
			known[0].RatePerS, known[0].Burst = limitedRate, limitedRate
		}
		if version%withoutKey == 0 {
			known[1].APIKeys = known[1].APIKeys[:1]
		}
	}
	routes := []platformtest.Route{
		{Name: "repeat", Host: host, Prefix: repeatRoute, Service: "service", Repeatable: true, Timeout: timeout},
		{Name: "split", Host: host, Prefix: splitRoute, Repeatable: true, Timeout: timeout, Split: split},
		{Name: "model", Host: host, Prefix: modelRoute, Service: engineService, Streaming: true, Engine: true, Timeout: timeout},
		{Name: "resumable", Host: host, Prefix: resumableRoute, Service: engineService, Streaming: true, Resumable: true, Engine: true, Timeout: timeout},
		{Name: "changing", Host: host, Prefix: fmt.Sprintf("/v%d/", version), Service: "service"},
	}
	if !lacksOnce {
		routes = append(routes, platformtest.Route{Name: "once", Host: host, Prefix: onceRoute, Service: "service", Timeout: timeout})
	}
	return platformtest.ConfigurationWithIdleTime(version, idle, routes, append(known, limitedTenant)...)
}

// changesQuotas reports whether configurations change the limit of a tenant, as with two of five seeds.
func (s *soak) changesQuotas() bool { return s.options.Seed%5 > 2 }

// operate sends configurations, each until it is acknowledged or the next comes.
func (s *soak) operate(ctx context.Context) {
	for version := uint64(1); ctx.Err() == nil; version++ {
		document := s.configuration(version)
		s.truth.sends(version, document)
		if version%invalidEvery == 0 {
			s.sendInvalid(ctx, document)
		}
		if s.options.Plants.CutsAtVersions {
			s.fleet.proxy.Reset(callerLinks)
		}
		for range 8 {
			if s.replace(ctx, document) {
				s.truth.acknowledged(version)
				break
			}
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// sendInvalid sends a configuration without its end, which must be rejected.
func (s *soak) sendInvalid(ctx context.Context, document []byte) {
	bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	status, err := platformtest.Replace(bounded, s.client, s.coordinator(), document[:len(document)-1])
	if err == nil && status == http.StatusOK {
		s.truth.report("a configuration without its end was acknowledged")
	}
}
