package controller_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/wire"
)

// TestAZoneThatLostAllDisksRunsNothingTwice loses the only disk of a zone's group,
// which is then founded again. The new group can't see the claims of the earlier
// one; it must know that there was one, or it would grant a used key again.
func TestAZoneThatLostAllDisksRunsNothingTwice(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"north", "south", "west"}, controllers: 1, inMemory: true})
	submit(t, c.operators(), dynamic.KindTenant, "depot", tenant("north"))
	gateway := openGateway(c, "north", "gateway-1")
	claimed, attempt := claimNew(c, gateway, "label")
	require.NoError(t, gateway.complete(claimed, attempt, "printed"))

	lost := c.members["north"][0]
	require.NoError(t, lost.stop(t))
	lost.memory = memoryfs.New()
	lost.settings.FileSystem = lost.memory
	lost.start(t)

	successor := openGateway(c, "north", "gateway-1")
	var reply wire.ClaimReply
	c.eventually("an answer to the claim", func() error {
		var err error
		reply, err = successor.claim(claimed, uuid.NewString(), "label")
		if err == nil && reply.Status == wire.ClaimNotReady {
			err = fmt.Errorf("claim is %s", reply.Status)
		}
		return err
	})
	require.Equal(t, wire.ClaimExpired, reply.Status)
}

// TestAnAnswerTooLargeToStoreEndsItsClaim completes a claim with an answer that
// exceeds the maximum size of a log command (replica.DefaultMaxCommandBytes): the
// claim must still end, and a repeated claim must get the status unknown, which
// says that the request may have run.
func TestAnAnswerTooLargeToStoreEndsItsClaim(t *testing.T) {
	c := startCluster(t, layout{zones: []string{"north"}, controllers: 1, inMemory: true})
	submit(t, c.operators(), dynamic.KindTenant, "depot", tenant("north"))
	gateway := openGateway(c, "north", "gateway-1")
	claimed, attempt := claimNew(c, gateway, "label")
	require.NoError(t, gateway.complete(claimed, attempt, strings.Repeat("x", 7<<20)))
	reply, err := gateway.claim(claimed, uuid.NewString(), "label")
	require.NoError(t, err)
	require.Equal(t, wire.ClaimUnknown, reply.Status)
}
