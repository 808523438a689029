package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

var (
	seedCount = flag.Int("seeds", 60, "number of simulated runs")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first simulated run")
)

// runSummary is the result of a simulated run.
type runSummary struct {
	violation string
	succeeded int
	unknown   int
	lostDisks int
	applied   int

	flippedBits int
	restored    int
	transfers   int
	removals    int
}

// simulate injects faults into a cluster, heals it and checks it.
func simulate(seed uint64, size int, planted plantedBugs) runSummary {
	c := newCluster(seed, size, planted)
	repairer := &operator{cluster: c}
	repairer.start()
	maintainer := &maintenance{cluster: c, operator: repairer}
	injector := &faults{cluster: c, operator: repairer, maintenance: maintainer}
	c.clients.start()
	c.runFor(2 * time.Second)
	for _, m := range c.machines {
		m.disk.IgnoreSyncs(planted.ignoreSyncs)
	}
	injector.start()
	maintainer.start()
	for range 12 {
		c.runFor(time.Second)
		c.checks.checkLogMatching(c.machines)
	}
	maintainer.stopped = true
	injector.heal()
	c.runFor(6 * time.Second)
	c.clients.stopped = true
	c.runFor(3 * time.Second)
	c.checkHealed(repairer)
	c.checks.checkLogMatching(c.machines)
	if !planted.ignoreSyncs {
		// With many lost writes the linearizability check takes too long.
		c.checks.checkLinearizable()
	}
	return runSummary{
		violation:   c.checks.violation,
		succeeded:   c.clients.succeeded,
		unknown:     c.clients.unknown,
		lostDisks:   injector.lostDisks,
		applied:     len(c.checks.commandByIndex),
		flippedBits: injector.flippedBits,
		restored:    injector.restored,
		transfers:   maintainer.transfers,
		removals:    maintainer.removals,
	}
}

// checkHealed checks that there is a leader, that the membership is repaired and
// that all replicas have the leader's state.
func (c *cluster) checkHealed(repairer *operator) {
	if c.checks.violation != "" {
		return
	}
	leader := c.leader()
	if leader == nil {
		c.checks.fail("no leader after the faults have ended")
		return
	}
	if !repairer.isFullyRepaired() {
		c.checks.fail("membership is not repaired: %+v", leader.node.Status().Members)
	}
	for _, m := range c.machines {
		if m.node == nil || m.node.Applied() != leader.node.Applied() {
			c.checks.fail("%s lags behind the leader after the faults have ended", m.address())
			continue
		}
		if fmt.Sprint(m.state.Values) != fmt.Sprint(leader.state.Values) {
			c.checks.fail("%s has another state than the leader", m.address())
		}
	}
}

func TestClusterSurvivesFaults(t *testing.T) {
	var total runSummary
	for offset := range uint64(*seedCount) {
		seed := *firstSeed + offset
		size := []int{3, 3, 5, 1}[seed%4]
		summary := simulate(seed, size, plantedBugs{})
		require.Empty(t, summary.violation, "seed %d with %d machines", seed, size)
		total.succeeded += summary.succeeded
		total.unknown += summary.unknown
		total.lostDisks += summary.lostDisks
		total.applied += summary.applied
		total.flippedBits += summary.flippedBits
		total.restored += summary.restored
		total.transfers += summary.transfers
		total.removals += summary.removals
	}
	t.Logf("%d seeds from %d: %+v", *seedCount, *firstSeed, total)
	require.Greater(t, total.succeeded, 10**seedCount)
}

// TestPlantedBugsAreCaught checks that the simulation detects each planted bug.
func TestPlantedBugsAreCaught(t *testing.T) {
	const enoughSeeds = 120
	cases := []struct {
		name      string
		bugs      plantedBugs
		violation string
		// skipped is the number of initial seeds that are known not to expose the bug.
		skipped uint64
	}{
		{"promises sent before the sync", plantedBugs{ignoreSyncs: true}, "two leaders in term|another command at index", 0},
		{"old identity on an empty disk", plantedBugs{reuseOldIdentity: true}, "two leaders in term|another command at index", 0},
		{"old copy of a disk accepted", plantedBugs{acceptOldCopy: true}, "two leaders in term|another command at index|not linearizable", 320},
		{"read without confirmation of leadership", plantedBugs{readsWithoutBarrier: true}, "history is not linearizable", 0},
		{"unknown outcome reported as not run", plantedBugs{unknownReportedAsNotRun: true}, "refused as not run", 0},
	}
	for _, planted := range cases {
		t.Run(planted.name, func(t *testing.T) {
			expected := regexp.MustCompile(planted.violation)
			for seed := planted.skipped + 1; seed <= planted.skipped+enoughSeeds; seed++ {
				if summary := simulate(seed, 3, planted.bugs); expected.MatchString(summary.violation) {
					t.Logf("caught at seed %d: %s", seed, summary.violation)
					return
				}
			}
			t.Fatalf("not caught in %d seeds", enoughSeeds)
		})
	}
}

// TestLogMatchingCheckFindsDifferences checks that the log matching check fails
// for two disks with contradicting logs.
func TestLogMatchingCheckFindsDifferences(t *testing.T) {
	first := []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.EntryCommand}, {Index: 2, Term: 3, Kind: consensus.EntryCommand}}
	cases := map[string][]consensus.Entry{
		"other data at one position":     {{Index: 1, Term: 1, Kind: consensus.EntryCommand, Data: []byte("x")}},
		"same position after other past": {{Index: 1, Term: 2, Kind: consensus.EntryCommand}, {Index: 2, Term: 3, Kind: consensus.EntryCommand}},
	}
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			checks := newChecks()
			checks.checkLogMatching([]*machine{machineWithLog(t, first), machineWithLog(t, first)})
			require.Empty(t, checks.violation)
			checks.checkLogMatching([]*machine{machineWithLog(t, first), machineWithLog(t, second)})
			require.Contains(t, checks.violation, "logs differ")
		})
	}
}

func machineWithLog(t *testing.T, entries []consensus.Entry) *machine {
	disk := memoryfs.New()
	random := rand.New(rand.NewPCG(1, 1))
	saved, _, err := storage.Open(storage.Options{FileSystem: disk, Directory: testDirectory, Group: testGroup, Random: random})
	require.NoError(t, err)
	require.NoError(t, saved.Save(consensus.HardState{Term: 3}, entries, nil))
	return &machine{disk: disk}
}
