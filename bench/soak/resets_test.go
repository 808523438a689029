package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/bench/planted"
)

// Guards against arrivals at replicas that no retry budget was charged for: engines reset requests and prompts at any step, also
// while gateways are killed.
func TestArrivalsStayWithinTheRetryBudgetWhereEnginesReset(t *testing.T) {
	t.Parallel()
	binary := buildProgram(t, t.TempDir())
	for _, seed := range []uint64{90003, 91008} {
		result, err := Run(t.Context(), Options{
			Seed: seed, Resets: true, GatewayKills: true, Releases: true, Callers: 20, Duration: 8 * time.Second,
			Binary: binary, Folder: t.TempDir(), Log: t.Output(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.Positive(t, result.Resets.Requests)
		require.Positive(t, result.Resets.Allowed)
	}
}

func TestASoakNoticesSendsThatAreNotCharged(t *testing.T) {
	t.Parallel()
	planted := planted.Build(t, "internal/relay/ledger.go",
		"sendAnswer:  {outcomeUnsent: 0, outcomeTakenUp: 1, outcomeRejected: 1, outcomeUnknown: 1}",
		"sendAnswer:  {outcomeUnsent: 0, outcomeTakenUp: 0, outcomeRejected: 1, outcomeUnknown: 0}")
	result, err := Run(t.Context(), Options{
		Seed: 90001, Resets: true, Callers: 20, Duration: 15 * time.Second, Binary: planted, Folder: t.TempDir(), Log: t.Output(),
	})
	require.NoError(t, err)
	require.Contains(t, strings.Join(result.Violations, "\n"), "arrivals past the first of their request")
}

func TestRetriesAreCountedAsThePagesDo(t *testing.T) {
	begin := time.Unix(0, 0)
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	retries := retriesOf([]engineArrival{
		{request: "a", at: at(3)},
		{request: "a", at: at(1), promptTaken: true},
		{request: "a", at: at(2), promptTaken: true},
		{request: "b", at: at(4), prompt: true, reset: true},
		{request: "b", at: at(5)},
		{request: "c", at: at(6)},
	})
	assert.Equal(t, []time.Time{at(3), at(5)}, retries)
}
