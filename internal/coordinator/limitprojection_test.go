package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
	"github.com/pierhaven/pierhaven/internal/ratelimit"
	"github.com/pierhaven/pierhaven/internal/region"
)

// TestPlacementHasLimitReportedBeforeListing: a coordinator can receive a limit report of a replica before the
// replica is listed. The limit service processed a new list before the placement directory did, and passed the
// limit to a directory that did not have the replica yet and ignored it. Placement then treated the replica as
// unlimited until its limit changed.
func TestPlacementHasLimitReportedBeforeListing(t *testing.T) {
	c, err := New(Settings{
		Name: "a", Zone: "zone", Address: "127.0.0.1:1", Seeds: func() []string { return nil },
		DataFolder: "/data", FileSystem: memoryfs.New(), Logger: testr.New(t),
	})
	require.NoError(t, err)
	replica := region.Replica{ID: "i", Service: "s", Address: "127.0.0.1:2"}
	c.limits.mutex.Lock()
	c.limits.table.Merge(c.now(), ratelimit.Report{Replica: replica.Incarnation().Name(), Declared: true, Rate: 1})
	c.limits.mutex.Unlock()
	apply(t, c.machine, 1, listed(replica))
	c.limits.updateListed()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.syncDirectory(ctx)
	}()
	defer func() {
		stop()
		apply(t, c.machine, 2, listed(replica))
		<-done
	}()
	assert.Eventually(t, func() bool { return c.placement.directory.LimitedCount() == 1 }, time.Second, time.Millisecond)
}
