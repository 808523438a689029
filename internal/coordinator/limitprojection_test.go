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

// A coordinator is told of a replica's limit before the list names that replica. The count of limits looked
// at a new list first, and told the limit to a choice of replicas that did not have the list yet and
// passed it over. Choices then took the replica for one without a limit until its limit changed.
func TestChoicesKnowTheLimitOfAReplicaThatIsListedLater(t *testing.T) {
	c, err := New(Settings{
		Name: "a", Zone: "zone", Address: "127.0.0.1:1", Seeds: func() []string { return nil },
		DataFolder: "/data", FileSystem: memoryfs.New(), Logger: testr.New(t),
	})
	require.NoError(t, err)
	replica := region.Replica{ID: "i", Service: "s", Address: "127.0.0.1:2"}
	c.limits.mutex.Lock()
	c.limits.table.Take(c.now(), ratelimit.Word{Replica: replica.Life().Name(), Named: true, Rate: 1})
	c.limits.mutex.Unlock()
	apply(t, c.machine, 1, listed(replica))
	c.limits.takeList()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.keepDirectory(ctx)
	}()
	defer func() {
		stop()
		apply(t, c.machine, 2, listed(replica))
		<-done
	}()
	assert.Eventually(t, func() bool { return c.placement.directory.LimitedCount() == 1 }, time.Second, time.Millisecond)
}
