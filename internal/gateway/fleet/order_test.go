package fleet

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/session"
)

// A heartbeat's and a watch's reply are fed at the same time. Whoever listens
// must see the views in the order in which they came into force: one that is
// shown an older view last keeps to it.
func TestListenersSeeViewsInOrder(t *testing.T) {
	// patience is how long the first listener waits for the second view to
	// overtake it.
	const patience = 200 * time.Millisecond
	fleet := New(func() time.Duration { return 0 }, nil)
	listening := make(chan struct{})
	overtaken := make(chan struct{})
	var mutex sync.Mutex
	var seen []uint64
	fleet.OnChange(func(snapshot *Snapshot) {
		if snapshot.Revision == 1 {
			close(listening)
			select {
			case <-overtaken:
			case <-time.After(patience):
			}
		}
		mutex.Lock()
		seen = append(seen, snapshot.Revision)
		mutex.Unlock()
		if snapshot.Revision == 2 {
			close(overtaken)
		}
	})
	var group sync.WaitGroup
	group.Go(func() { fleet.Exclusively(func() *session.MergedView { return &session.MergedView{Revision: 1} }) })
	<-listening
	group.Go(func() { fleet.Exclusively(func() *session.MergedView { return &session.MergedView{Revision: 2} }) })
	group.Wait()
	require.Equal(t, []uint64{1, 2}, seen)
	require.Equal(t, uint64(2), fleet.Snapshot().Revision)
}
