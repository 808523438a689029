package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// copyList returns a list with strings of its own, as one that was just decoded, in which every other replica has
// announced that it leaves.
func copyList(list []region.Replica, leaving bool) []region.Replica {
	copied := slices.Clone(list)
	for index := range copied {
		each := &copied[index]
		each.ID, each.Address, each.Stage = strings.Clone(each.ID), strings.Clone(each.Address), strings.Clone(each.Stage)
		each.Zone, each.Service = strings.Clone(each.Zone), strings.Clone(each.Service)
		each.Leaving = leaving && index%2 == 0
	}
	return copied
}

// Guards against calls that read what the list overwrites: it fails with the race detector.
func TestListIsReplacedWhileRequestsRun(t *testing.T) {
	w := newTestEnvironment(t)
	for number := range 4 {
		w.addReplica(fmt.Sprint("reader", number), region.StagePrefill, respondSealed(200, "handle"))
		w.addReplica(fmt.Sprint("generator", number), region.StageDecode, streamEvents(1, 3, false))
		w.addReplica(fmt.Sprint("plain", number), "", respondSealed(200, "ok"))
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			default:
				w.directory.Replace(copyList(w.replicaList, number%2 == 0))
			}
		}
	})
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for number := range 25 {
				assert.True(t, w.runCall(modelCallOf(1000*caller+number)).ended)
				assert.True(t, w.runCall(newCall(traffic.KindRepeatable, 2)).ended)
			}
		})
	}
	callers.Wait()
	close(stop)
	running.Wait()
}

// A list that shows a replica elsewhere is about another entry: requests rely on what an entry names.
func TestReplicaThatIsListedElsewhereIsAnotherEntry(t *testing.T) {
	for name, change := range map[string]func(*region.Replica){
		"service": func(listed *region.Replica) { listed.Service = "other" },
		"zone":    func(listed *region.Replica) { listed.Zone = "other" },
		"address": func(listed *region.Replica) { listed.Address = "127.0.0.2:1" },
		"process": func(listed *region.Replica) { listed.Born = 2 },
	} {
		listed := startedAt(1, replica("a", region.StageDecode))
		d := newDirectory(listed)
		lease := d.PickDecode("s", relay.Wanted{}, "zone")
		before := *lease.Replica
		changed := listed
		change(&changed)
		d.Replace([]region.Replica{changed})
		assert.Equal(t, before.Identity, lease.Replica.Identity, name)
		assert.Equal(t, 1, d.Count(), name)
		if found := d.Find([]string{changed.Incarnation().Name()}); assert.Len(t, found, 1, name) {
			assert.NotSame(t, lease.Replica, found[0], name)
			assert.Equal(t, changed.Zone, found[0].Zone, name)
		}
		lease.Release()
	}
}
