package coordinator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/poison"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/testnet"
)

func TestOperatorsListAndReleaseHeldRequestsAtAnyCoordinator(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 1)
	digest := g.holdRequest()
	listener := testnet.Listen(t)
	closing := rpc.NewClosingListener(listener)
	engine := server.New(server.WithListener(closing), server.WithTransport(standard.NewTransporter), server.WithExitWaitTime(0))
	g.running[g.addresses[1]].MountOperatorRoutes(engine)
	t.Cleanup(rpc.RunServer(engine, closing))
	page := "http://" + listener.Addr().String() + coordinator.PathHeldRequests
	var held []poison.Held
	eventually(t, func(ctx context.Context) error {
		response, err := http.Get(page)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		return json.NewDecoder(response.Body).Decode(&held)
	})
	require.Len(t, held, 1)
	assert.Equal(t, digest.String(), held[0].Digest)
	assert.Equal(t, 3, held[0].Replicas)
	for _, test := range []struct {
		digest string
		status int
	}{{"rubbish", http.StatusBadRequest}, {digest.String(), http.StatusOK}, {digest.String(), http.StatusNotFound}} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, page+"/"+test.digest, nil)
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, test.status, response.StatusCode, test.digest)
	}
}
