package replication

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/controller/peer"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

const (
	firstGeneration       = 1
	foundingRetryInterval = 500 * time.Millisecond
	// foundingCallTimeout bounds one peer's promise, which it syncs to disk.
	foundingCallTimeout = 5 * time.Second
	identityTimeout     = time.Second
)

// Founder founds a group, if this process is the one to do so.
type Founder struct {
	Group  *Group
	Client *rpc.Client
	// Self is this process's address for the other members.
	Self   string
	Logger logr.Logger
}

// Found founds a group of the settings' first voters, if this process
// is the first of them, and tries again until it is a member. A process that
// replaces another never founds: the members refuse to promise.
func (f *Founder) Found(ctx context.Context, voters []string) {
	if slices.Min(voters) != f.Self {
		return
	}
	for f.isNew() {
		founding, err := f.tryFounding(ctx, voters)
		if err == nil {
			f.Logger.Info(event.GroupFounded, "group", f.Group.Name, "members", len(founding.Members))
			f.spreadFounding(ctx, founding)
			return
		}
		f.Logger.V(1).Info(event.FoundingRetried, "group", f.Group.Name, "error", err.Error())
		if !lifecycle.Sleep(ctx, foundingRetryInterval) {
			return
		}
	}
}

// tryFounding first looks whether the group exists already: a replica that has
// promised a founding of its own could not join it any more.
func (f *Founder) tryFounding(ctx context.Context, voters []string) (replica.Founding, error) {
	options := f.bootstrapOptions(voters)
	for _, address := range options.OtherAddresses {
		identity, err := AskIdentity(ctx, f.Client, address, f.Group.Number)
		if err != nil {
			return replica.Founding{}, err
		}
		if identity.Stage == storage.StageMember.String() {
			return replica.Founding{}, fmt.Errorf("%s is a member of the group already: this replica waits to be added", address)
		}
	}
	return f.Group.Runner.Bootstrap(ctx, options)
}

func (f *Founder) isNew() bool {
	status := f.Group.Runner.Status()
	return status.Quarantined == nil && status.Stage != storage.StageMember
}

func (f *Founder) bootstrapOptions(voters []string) replica.BootstrapOptions {
	others := slices.DeleteFunc(slices.Clone(voters), func(address string) bool {
		return address == f.Self
	})
	return replica.BootstrapOptions{
		Generation:     firstGeneration,
		SelfAddress:    f.Self,
		OtherAddresses: others,
		CollectPromise: f.collectPromise,
	}
}

func (f *Founder) collectPromise(ctx context.Context, address string, request replica.FoundingRequest) (replica.FoundingPromise, error) {
	ctx, cancel := context.WithTimeout(ctx, foundingCallTimeout)
	defer cancel()
	var promise replica.FoundingPromise
	err := f.Client.Call(ctx, address, peer.PathPromise, &request, &promise)
	return promise, err
}

// spreadFounding tells the other members. Who misses it learns of the group
// from its leader.
func (f *Founder) spreadFounding(ctx context.Context, founding replica.Founding) {
	for _, member := range founding.Members {
		if member.Address == f.Self {
			continue
		}
		if err := f.tellFounding(ctx, member.Address, founding); err != nil {
			f.Logger.V(1).Info(event.FoundingUntold, "peer", member.Address, "error", err.Error())
		}
	}
}

func (f *Founder) tellFounding(ctx context.Context, address string, founding replica.Founding) error {
	ctx, cancel := context.WithTimeout(ctx, foundingCallTimeout)
	defer cancel()
	return f.Client.Call(ctx, address, peer.PathFound, &founding, &peer.Empty{})
}

// PromiseFounding promises to take part in a founding.
func (g *Group) PromiseFounding(ctx context.Context, request *replica.FoundingRequest) (*replica.FoundingPromise, error) {
	promise, err := g.Runner.PromiseFounding(ctx, *request)
	if errors.Is(err, replica.ErrFoundingRefused) {
		return nil, failure.Wrap(err, failure.ChangeInProgress)
	}
	return &promise, g.Translate(err)
}

// TakeFounding takes part in a founding.
func (g *Group) TakeFounding(ctx context.Context, founding *replica.Founding) error {
	err := g.Runner.Found(ctx, *founding)
	if errors.Is(err, replica.ErrFoundingRefused) {
		return failure.Wrap(err, failure.ChangeInProgress)
	}
	return g.Translate(err)
}

// Identity tells which replica of the group this process hosts.
func (g *Group) Identity() *peer.IdentityReply {
	status := g.Runner.Status()
	return &peer.IdentityReply{Replica: uint64(status.ID), Stage: status.Stage.String()}
}

// AskIdentity asks the process at an address for its replica of a group.
func AskIdentity(ctx context.Context, client *rpc.Client, address string, number uint64) (peer.IdentityReply, error) {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	var identity peer.IdentityReply
	err := client.Call(ctx, address, peer.PathIdentity, &peer.GroupRequest{Group: number}, &identity)
	return identity, err
}
