package crowd

import (
	"context"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/internal/testnet/crowd"
)

const (
	// zoneMemoryMegabytes is what a process of a zone may hold: the memory of the users' gateways.
	zoneMemoryMegabytes = 284
	zoneBodyBytes       = 4 << 20
	zoneHeaderBytes     = 16 << 10
)

// TestCrowdsTakeNoProcessOfAZoneOverItsMemory has crowds meet the listeners of the zones' gateways and controllers, one after the
// other, and the memory go back after them.
func TestCrowdsTakeNoProcessOfAZoneOverItsMemory(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	binaries, err := fleet.BuildInto(ctx, t.TempDir())
	require.NoError(t, err)
	deployment, err := fleet.LoadDeployment(filepath.Join("..", "fleet", "testdata", "small"))
	require.NoError(t, err)
	running, err := fleet.Start(fleet.Options{Deployment: deployment, Binaries: binaries, Folder: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = running.Kill() })
	_, err = running.SetUp(ctx)
	require.NoError(t, err)

	zone := running.Layout().Zones[0]
	gateway, controller := running.OfKind(fleet.KindGateway, zone.Name)[0], running.OfKind(fleet.KindController, zone.Name)[0]
	callers := zone.Gateways[0].Callers.Reach
	for _, door := range []struct {
		name, address, path string
		process             *fleet.Process
	}{
		{"callers", callers, "/v1/chat/completions", gateway},
		{"other zones' gateways", zone.Gateways[0].Peer.Reach, "/v1/chat/completions", gateway},
		{"operators", zone.Controllers[0].Operator.Reach, "/v1/policies", controller},
		{"calls of gateways and controllers", zone.Controllers[0].Internal.Reach, "/internal/v1/consensus", controller},
	} {
		t.Run(door.name, func(t *testing.T) {
			judged := &watched{name: door.process.Name, pid: door.process.ProcessID()}
			before := judged.memory()
			target := crowd.Target{Host: "h", Path: door.path, MaxHeaderBytes: zoneHeaderBytes, MaxBodyBytes: zoneBodyBytes}
			requireBounds(t, judged, door.address, allOf(crowd.Groups(target)), clients, zoneMemoryMegabytes)
			require.Eventually(t, func() bool { return judged.memory() <= before+returnedMargin }, patience, patience/600,
				"%d bytes before, %d afterwards", before, judged.memory())
			require.Equal(t, http.StatusOK, zoneCall(t, callers))
		})
	}
}

// zoneCall sends an ordinary request to a zone's gateway and returns the status of its answer.
func zoneCall(t *testing.T, callers string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callers+"/v1/applications/floor/sorting-code", strings.NewReader(`{"parcel":"3S1"}`))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer test-key-depot")
	request.Header.Set("Content-Type", "application/json")
	answer, err := newClient().Do(request)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode
}
