package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// setDesired commits an engine's desired configuration.
func (z *simulatedZone) setDesired(id string, target engineapi.Configuration) {
	z.commit(zonestate.Command{Kind: zonestate.KindSetDesired, Desired: []zonestate.DesiredEntry{{EngineID: id, Target: target, Partial: true}}})
}

func TestWeightsArePrefetchedWhileRequestsRun(t *testing.T) {
	z := newSimulatedZone(t, 5, dynamic.Model{Name: "reading", Version: "1", FirstTokenMillis: 300, BetweenTokensMillis: 30})
	for _, engine := range z.engines {
		engine.Running = 1
	}
	z.setDesired("engine-0", engineapi.Configuration{Role: engineapi.RoleDecode})
	z.run(2 * time.Second)
	require.Empty(t, z.term.prefetches(z.now), "a change of role needs no weights")
	z.setDesired("engine-0", engineapi.Configuration{Role: engineapi.RoleMixed})
	z.run(2 * time.Second)

	z.setDesired("engine-3", engineapi.Configuration{Model: "writing", Version: "7"})
	z.run(2 * time.Second)
	for _, id := range []string{"engine-1", "engine-2", "engine-4"} {
		z.setDesired(id, engineapi.Configuration{Version: "2"})
	}
	z.run(2 * time.Second)
	require.Empty(t, z.orders, "no orders while requests run")
	require.Equal(t, []prefetchCall{
		{"engine-3", "engine-3:1", engineapi.PrefetchRequest{Model: "writing", Version: "7"}},
		{"engine-1", "engine-1:1", engineapi.PrefetchRequest{Model: "reading", Version: "2"}},
	}, z.term.prefetches(z.now), "the draining engine first, and at most two")
	require.Empty(t, z.term.prefetches(z.now), "each desired configuration is requested once")

	z.setDesired("engine-3", engineapi.Configuration{Model: "writing", Version: "8"})
	require.Equal(t, []prefetchCall{
		{"engine-3", "engine-3:1", engineapi.PrefetchRequest{Model: "writing", Version: "8"}},
	}, z.term.prefetches(z.now), "a new desired configuration is requested again")

	z.engines["engine-3"].Running = 0
	z.run(time.Minute)
	require.Equal(t, "writing", z.engines["engine-3"].Observed.Model)
	require.Equal(t, []prefetchCall{
		{"engine-2", "engine-2:1", engineapi.PrefetchRequest{Model: "reading", Version: "2"}},
	}, z.term.prefetches(z.now), "the next engine, when one has finished")
}

func TestPrefetchAcceptsResponseWithoutBody(t *testing.T) {
	received := make(chan engineapi.PrefetchRequest, 2)
	server := httptest.NewServer(http.HandlerFunc(func(answer http.ResponseWriter, request *http.Request) {
		var prefetch engineapi.PrefetchRequest
		if request.URL.Path != engineapi.PathPrefetch || json.NewDecoder(request.Body).Decode(&prefetch) != nil {
			answer.WriteHeader(http.StatusNotFound)
			return
		}
		received <- prefetch
		answer.WriteHeader(http.StatusAccepted)
	}))
	defer server.Close()
	client, err := newBackEndClient()
	require.NoError(t, err)
	request := &engineapi.PrefetchRequest{Model: "writing", Version: "7"}
	address := strings.TrimPrefix(server.URL, "http://")
	require.NoError(t, client.post(context.Background(), address, engineapi.PathPrefetch, request, nil))
	require.Equal(t, *request, <-received)
	require.ErrorContains(t, client.post(context.Background(), address, "/elsewhere", request, nil), "404")
}
