package fleet

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/session"
)

// switchGate allows dispatches while it is on.
type switchGate struct{ on atomic.Bool }

func (g *switchGate) MayDispatch(time.Duration, string) bool        { return g.on.Load() }
func (g *switchGate) MayDispatchBackEnd(time.Duration, string) bool { return g.on.Load() }

// When Exclusively has withdrawn the permission, no dispatch that was permitted
// before is still being written, and none is permitted any more: so the
// acknowledgement that follows is true.
func TestNoDispatchIsUnderWayOnceAViewIsInForce(t *testing.T) {
	gate := &switchGate{}
	zone := New(func() time.Duration { return 0 }, gate)
	var writing atomic.Int64
	stop := make(chan struct{})
	var writers sync.WaitGroup
	permits := []func(string) (func(), bool){zone.Permit, zone.PermitBackEnd}
	for index := range 8 {
		permit := permits[index%len(permits)]
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				release, permitted := permit("e1")
				if !permitted {
					continue
				}
				writing.Add(1)
				time.Sleep(10 * time.Microsecond)
				writing.Add(-1)
				release()
			}
		})
	}
	for range 200 {
		gate.on.Store(true)
		time.Sleep(50 * time.Microsecond)
		zone.Exclusively(func() *session.MergedView {
			gate.on.Store(false)
			return nil
		})
		require.Zero(t, writing.Load())
		_, permitted := zone.Permit("e1")
		require.False(t, permitted)
	}
	close(stop)
	writers.Wait()
}
