package coordinator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/coordinator"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/replicalist"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/testnet"
	"github.com/pierhaven/pierhaven/internal/traffic"
	"github.com/pierhaven/pierhaven/internal/uptime"
)

// jsonCodec reads configurations that are encoded by encoding/json.
type jsonCodec struct{}

func (jsonCodec) Read(document []byte) (*traffic.Configuration, error) {
	configuration := &traffic.Configuration{}
	if err := json.Unmarshal(document, configuration); err != nil {
		return nil, failure.Wrap(err, failure.InvalidDocument)
	}
	return configuration, configuration.Validate()
}

// settableLister is a list of replicas that tests set.
type settableLister struct {
	mutex    sync.Mutex
	replicas []region.Replica
}

// Page implements replicalist.ReadPage.
func (l *settableLister) Page(context.Context, string) (replicalist.Page, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return replicalist.Page{Replicas: append([]region.Replica(nil), l.replicas...)}, nil
}

func (l *settableLister) set(replicas ...region.Replica) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.replicas = replicas
}

// group runs the coordinators of one region within the test process.
type group struct {
	t         *testing.T
	folder    string
	list      *settableLister
	addresses []string
	running   map[string]*process
	// adapt modifies the settings of each coordinator; it may be nil.
	adapt func(*coordinator.Settings)
}

type process struct {
	*coordinator.Coordinator
	stop context.CancelFunc
	done chan error
}

func newGroup(t *testing.T) *group {
	t.Helper()
	return newGroupWith(t, nil)
}

func newGroupWith(t *testing.T, adapt func(*coordinator.Settings)) *group {
	t.Helper()
	g := &group{t: t, folder: t.TempDir(), list: &settableLister{}, running: map[string]*process{}, adapt: adapt}
	for range 3 {
		g.addresses = append(g.addresses, testnet.Address(t))
	}
	for _, address := range g.addresses {
		g.start(address, address, true)
	}
	t.Cleanup(func() {
		for address := range g.running {
			g.stop(address)
		}
	})
	return g
}

func (g *group) start(address, folder string, bootstrap bool) *process {
	g.t.Helper()
	settings := coordinator.Settings{
		Name:         address,
		Zone:         "zone",
		Address:      address,
		Seeds:        func() []string { return g.addresses },
		Bootstrap:    bootstrap,
		Voters:       3,
		DataFolder:   filepath.Join(g.folder, folder),
		FileSystem:   storage.OSFileSystem{},
		ReadListPage: g.list.Page,
		Codec:        jsonCodec{},
		ListInterval: 50 * time.Millisecond,
		Logger:       testr.New(g.t),
	}
	if g.adapt != nil {
		g.adapt(&settings)
	}
	created, err := coordinator.New(settings)
	require.NoError(g.t, err)
	ctx, stop := context.WithCancel(context.Background())
	started := &process{Coordinator: created, stop: stop, done: make(chan error, 1)}
	go func() { started.done <- created.Run(ctx) }()
	g.running[address] = started
	return started
}

func (g *group) stop(address string) {
	g.t.Helper()
	process := g.running[address]
	delete(g.running, address)
	process.stop()
	assert.NoError(g.t, <-process.done)
}

// lastError prints the current value of an error variable: require.Eventually evaluates its arguments before
// the error is set.
type lastError struct{ err *error }

func (l lastError) String() string { return fmt.Sprint(*l.err) }

// eventually calls a function until it succeeds, for a minute at most.
func eventually(t *testing.T, do func(ctx context.Context) error) {
	t.Helper()
	var last error
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		last = do(ctx)
		return last == nil
	}, time.Minute, 20*time.Millisecond, "%v", lastError{&last})
}

func document(version int) []byte {
	return fmt.Appendf(nil, `{"Version":%d}`, version)
}

func (g *group) expectEverywhere(version int) {
	g.t.Helper()
	for _, each := range g.running {
		eventually(g.t, func(ctx context.Context) error {
			current, err := each.Current(ctx)
			if err == nil && string(current) != string(document(version)) {
				err = fmt.Errorf("the configuration in force is %s", current)
			}
			return err
		})
	}
}

func (g *group) replace(address string, version int) {
	g.t.Helper()
	eventually(g.t, func(ctx context.Context) error { return g.running[address].Replace(ctx, document(version)) })
}

func TestNewestConfigurationIsReadAtEveryCoordinator(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	g.expectEverywhere(3)
	g.replace(g.addresses[1], 7)
	g.replace(g.addresses[2], 5)
	g.expectEverywhere(7)
}

func TestInvalidConfigurationOfAnOldVersionIsRejected(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	err := g.running[g.addresses[1]].Replace(t.Context(), []byte(`{"Version":1,"Routes":[{"Name":"r"}]}`))
	assert.Equal(t, failure.InvalidDocument, failure.KindOf(err))
}

func TestConfigurationSurvivesRestartAndIsReadOnlyWithAMajority(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	for _, address := range g.addresses {
		g.stop(address)
	}
	minority := g.start(g.addresses[0], g.addresses[0], false)
	_, err := minority.Current(t.Context())
	assert.Error(t, err)
	assert.Error(t, minority.Replace(t.Context(), document(4)))
	g.start(g.addresses[1], g.addresses[1], false)
	g.expectEverywhere(3)
}

// awaitVote waits until a coordinator is a voter.
func (g *group) awaitVote(address string) {
	g.t.Helper()
	eventually(g.t, func(context.Context) error {
		if !g.running[address].IsVoter() {
			return errors.New("the coordinator is not a voter yet")
		}
		return nil
	})
}

func TestMachineWithEmptyDiskReplacesItsVoter(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	g.stop(g.addresses[2])
	g.start(g.addresses[2], "empty", false)
	g.expectEverywhere(3)
	// The group now tolerates the loss of another coordinator.
	g.awaitVote(g.addresses[2])
	g.stop(g.addresses[0])
	g.replace(g.addresses[2], 4)
	g.expectEverywhere(4)
}

func TestLearnerAtAnotherAddressReplacesLostVoter(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	g.stop(g.addresses[2])
	successor := testnet.Address(t)
	g.start(successor, "successor", false)
	g.awaitVote(successor)
	g.expectEverywhere(3)
}

// Each part may come from another coordinator.
func TestALongListIsPolledInParts(t *testing.T) {
	const replicas, bound = 30, 7
	g := newGroup(t)
	var list []region.Replica
	for number := range replicas {
		list = append(list, region.Replica{ID: fmt.Sprintf("i-%02d", number), Service: "s", Address: fmt.Sprint("127.0.0.1:", number+1)})
	}
	g.list.set(list...)
	client, err := rpc.NewClient(rpc.ClientOptions{})
	require.NoError(t, err)
	defer client.Close()
	var gateway region.ListCopy
	polls := 0
	eventually(t, func(ctx context.Context) error {
		request := &region.ViewRequest{Address: "127.0.0.1:2", WaitMillis: 20}
		gateway.Request(request, bound)
		var view region.View
		polls++
		if err := client.Call(ctx, g.addresses[polls%len(g.addresses)], region.PathView, request, &view); err != nil {
			return err
		}
		gateway.Take(&view)
		if gateway.IsPartial() || len(gateway.Replicas()) != replicas {
			return fmt.Errorf("%d replicas so far", len(gateway.Replicas()))
		}
		return nil
	})
	assert.GreaterOrEqual(t, polls, replicas/bound)
}

func TestViewHasTheListAndItsAge(t *testing.T) {
	g := newGroup(t)
	g.list.set(region.Replica{ID: "a", Service: "s", Address: "127.0.0.1:1"})
	g.replace(g.addresses[0], 3)
	client, err := rpc.NewClient(rpc.ClientOptions{})
	require.NoError(t, err)
	defer client.Close()
	for _, address := range g.addresses {
		eventually(t, func(ctx context.Context) error {
			var view region.View
			err := client.Call(ctx, address, region.PathView, &region.ViewRequest{Address: "127.0.0.1:2"}, &view)
			switch {
			case err != nil:
				return err
			case view.AgeMillis < 0 || view.Version != 3 || len(view.Replicas) != 1 || view.Gateways != 1:
				return fmt.Errorf("view %+v", view)
			}
			return nil
		})
	}
}

// TestSuspensionCountsTowardsAgeOfCopy: a coordinator whose machine was suspended must not report its copy as
// fresh, since the copy lacks what the other coordinators acknowledged meanwhile.
func TestSuspensionCountsTowardsAgeOfCopy(t *testing.T) {
	var suspended atomic.Int64
	g := newGroupWith(t, func(settings *coordinator.Settings) {
		settings.Now = func() time.Duration { return uptime.Now() + time.Duration(suspended.Load()) }
	})
	g.replace(g.addresses[0], 3)
	client, err := rpc.NewClient(rpc.ClientOptions{})
	require.NoError(t, err)
	defer client.Close()
	view := func(address string) (region.View, error) {
		var view region.View
		err := client.Call(context.Background(), address, region.PathView, &region.ViewRequest{Address: "127.0.0.1:2"}, &view)
		return view, err
	}
	eventually(t, func(context.Context) error {
		shown, err := view(g.addresses[0])
		if err == nil && shown.AgeMillis < 0 {
			err = errors.New("the copy is not confirmed yet")
		}
		return err
	})
	// Without a majority, the copy is not confirmed again.
	g.stop(g.addresses[1])
	g.stop(g.addresses[2])
	suspended.Store(int64(time.Minute))
	shown, err := view(g.addresses[0])
	require.NoError(t, err)
	assert.GreaterOrEqual(t, shown.AgeMillis, time.Minute.Milliseconds())
}

func init() { hlog.SetLevel(hlog.LevelError) }

func TestReplicaWithIDZeroIsNotAdded(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	client, err := rpc.NewClient(rpc.ClientOptions{})
	require.NoError(t, err)
	defer client.Close()
	eventually(t, func(ctx context.Context) error {
		for _, address := range g.addresses {
			err := client.Call(ctx, address, region.PathJoin, &region.JoinRequest{Address: "127.0.0.1:1"}, &peer.Empty{})
			if failure.KindOf(err) == failure.InvalidDocument {
				return nil
			}
		}
		return errors.New("no leader has rejected the replica")
	})
}

// TestEachCoordinatorReportsAllBuilds: coordinators that are not the leader ask the leader.
func TestEachCoordinatorReportsAllBuilds(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 1)
	client, err := rpc.NewClient(rpc.ClientOptions{})
	require.NoError(t, err)
	defer client.Close()
	newer := &region.ViewRequest{Address: "127.0.0.1:2", Protocol: 9, Revision: "newer"}
	for _, address := range g.addresses {
		eventually(t, func(ctx context.Context) error {
			if err := client.Call(ctx, g.addresses[0], region.PathView, newer, &region.View{}); err != nil {
				return err
			}
			report, err := g.running[address].Builds(ctx)
			switch {
			case err != nil:
				return err
			case len(report.Coordinators) != 3 || len(report.Gateways) != 1 || report.Gateways[0].Revision != "newer":
				return fmt.Errorf("report %+v", report)
			}
			for _, gate := range report.Gates {
				if !gate.Open {
					return fmt.Errorf("gate %+v", gate)
				}
			}
			return nil
		})
	}
}

// TestEachCoordinatorTellsHowOldTheListIs: those that are not the leader learn it from the leader.
func TestEachCoordinatorTellsHowOldTheListIs(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 1)
	client, err := rpc.NewClient(rpc.ClientOptions{})
	require.NoError(t, err)
	defer client.Close()
	for _, address := range g.addresses {
		eventually(t, func(ctx context.Context) error {
			var view region.View
			if err := client.Call(ctx, address, region.PathView, &region.ViewRequest{Address: "127.0.0.1:2"}, &view); err != nil {
				return err
			}
			if view.ListMillis <= 0 || view.PageMillis <= 0 || view.ListMillis > time.Minute.Milliseconds() {
				return fmt.Errorf("ages %d and %d", view.ListMillis, view.PageMillis)
			}
			return nil
		})
	}
}

// TestACoordinatorThatWasReplacedWhileAwayVotesAgain guards against a coordinator that is never a
// member again, as its own log still lists it: the group then counts on one that has stopped.
func TestACoordinatorThatWasReplacedWhileAwayVotesAgain(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	g.stop(g.addresses[1])
	spare := testnet.Address(t)
	g.start(spare, "spare", false)
	g.awaitVote(spare)
	g.start(g.addresses[1], g.addresses[1], false)
	g.expectEverywhere(3)
	g.stop(g.addresses[0])
	g.awaitVote(g.addresses[1])
	g.replace(g.addresses[1], 4)
	// A disk is lost right after the acknowledgement.
	g.stop(g.addresses[2])
	g.start(g.addresses[2], "empty", false)
	g.expectEverywhere(4)
}

// TestAVoterThatStopsGivesItsVoteToALearner guards against a group that counts on a machine that has
// gone for good until its silence is noticed: the next loss would leave no majority.
func TestAVoterThatStopsGivesItsVoteToALearner(t *testing.T) {
	g := newGroup(t)
	g.replace(g.addresses[0], 3)
	spare := testnet.Address(t)
	g.start(spare, "spare", false)
	g.expectEverywhere(3)
	g.stop(g.addresses[0])
	g.stop(g.addresses[1])
	g.replace(spare, 4)
	g.expectEverywhere(4)
}
