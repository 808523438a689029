package replication

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// Options describe one replica of one group.
type Options struct {
	// Name and Number name the group in logs and on the wire.
	Name   string
	Number uint64
	// Directory is the data folder of this group alone.
	Directory       string
	FileSystem      storage.FileSystem
	Machine         replica.StateMachine
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	SnapshotEntries uint64
	// SnapshotLogBytes bounds the log between snapshots; 0 takes the library's
	// default.
	SnapshotLogBytes int64
	// SegmentBytes is the size at which a log segment is closed; 0 takes the
	// library's default.
	SegmentBytes int64
	// Timeout bounds the wait for a commit or a read barrier.
	Timeout time.Duration
	Logger  logr.Logger
}

// Group is this process's replica of one group.
type Group struct {
	Name    string
	Number  uint64
	Runner  *replica.Runner
	timeout time.Duration
}

// openRetryInterval is the time between attempts to open a data folder on a disk
// that refuses writes.
const openRetryInterval = 500 * time.Millisecond

// OpenPatiently is Open, but waits for a disk that refuses writes.
func OpenPatiently(options Options, transport *Transport) (*Group, error) {
	refused := false
	for {
		g, err := Open(options, transport)
		if !errors.Is(err, storage.ErrNotWritten) {
			return g, err
		}
		if !refused {
			options.Logger.Info(event.WriteRefused, "folder", options.Directory, "error", err.Error())
			refused = true
		}
		time.Sleep(openRetryInterval)
	}
}

// Open opens the replica's data folder and registers its routes. It does not
// start it.
func Open(options Options, transport *Transport) (*Group, error) {
	runner, err := replica.NewRunner(replica.RunnerConfig{
		Config: replica.Config{
			Group:             options.Number,
			Directory:         options.Directory,
			FileSystem:        options.FileSystem,
			StateMachine:      options.Machine,
			Random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			ElectionTimeout:   options.ElectionTimeout,
			HeartbeatInterval: options.Heartbeat,
			SnapshotEntries:   options.SnapshotEntries,
			SnapshotLogBytes:  options.SnapshotLogBytes,
			SegmentBytes:      options.SegmentBytes,
		},
		Transport: transport,
		Logger:    options.Logger.WithName("replica").WithValues("group", options.Name),
	})
	if err != nil {
		return nil, failure.Wrap(err, failure.StorageFailed)
	}
	g := &Group{Name: options.Name, Number: options.Number, Runner: runner, timeout: options.Timeout}
	transport.routes.addGroup(options.Number, g.addressOf)
	return g, nil
}

func (g *Group) addressOf(id consensus.ReplicaID) string {
	member, _ := g.Runner.Status().Member(id)
	return member.Address
}

// Leads reports whether this replica believes that it leads. Only a commit or a
// read barrier proves it.
func (g *Group) Leads() bool { return g.Runner.Status().Role == consensus.RoleLeader }

// LeaderAddress is where the leader is believed to be, empty if unknown.
func (g *Group) LeaderAddress() string {
	status := g.Runner.Status()
	leader, _ := status.Member(status.Leader)
	return leader.Address
}

// MemberAddresses lists the members' addresses.
func (g *Group) MemberAddresses() []string {
	var addresses []string
	for _, member := range g.Runner.Status().Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// Propose commits a command. Its errors say truly whether the command may take
// effect.
func (g *Group) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	index, result, err := g.Runner.Propose(ctx, command)
	return index, result, g.Translate(err)
}

// ReadBarrier returns once the local state shows all that was committed before
// the call, which proves that this replica still leads.
func (g *Group) ReadBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	err := g.Translate(g.Runner.ReadBarrier(ctx))
	if failure.KindOf(err) == failure.OutcomeUnknown {
		return failure.New(failure.NoQuorum, "no majority has confirmed that this process still leads")
	}
	return err
}

// Translate gives an error of package replica its kind.
func (g *Group) Translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrDropped):
		return rpc.NotLeader(g.LeaderAddress())
	case errors.Is(err, replica.ErrOverloaded):
		return failure.Wrap(err, failure.QueueFull)
	case errors.Is(err, replica.ErrTooLarge):
		return failure.Wrap(err, failure.BodyTooLarge)
	case errors.Is(err, replica.ErrStopped):
		return failure.Wrap(err, failure.Leaving)
	case errors.Is(err, replica.ErrReplicaQuarantined), errors.Is(err, replica.ErrNotWritable):
		return failure.Wrap(err, failure.StorageFailed, failure.WithRan(failure.RanNo))
	default:
		return failure.Wrap(err, failure.OutcomeUnknown)
	}
}
