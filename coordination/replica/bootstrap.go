package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
)

// BootstrapOptions describes a founding, which creates a group.
type BootstrapOptions struct {
	// Generation is one for the first founding of a group. After the group's
	// state was lost, it must be higher than in any earlier founding.
	Generation uint64
	// SelfAddress and OtherAddresses are the addresses of the initial voters.
	SelfAddress    string
	OtherAddresses []string
	// CollectPromise requests the promise of the replica at an address.
	CollectPromise func(ctx context.Context, address string, request FoundingRequest) (FoundingPromise, error)
}

// Bootstrap coordinates a founding: it collects the promises of this replica
// and, through CollectPromise, of all others, and installs the initial configuration
// on this replica. The caller then passes the returned Founding to Found of the
// others; those that miss it learn the configuration from the group's leader.
//
// Only one replica, such as the first in the settings file, should bootstrap a
// group. Bootstrap may be retried until it succeeds. A replica that is already
// a member rejects it, so that a group is founded only once.
func (r *Runner) Bootstrap(ctx context.Context, options BootstrapOptions) (Founding, error) {
	request := FoundingRequest{Group: r.config.Group, Token: r.foundingToken()}
	own, err := r.PromiseFounding(ctx, request)
	if err != nil {
		return Founding{}, err
	}
	own.Address = options.SelfAddress
	promises := []FoundingPromise{own}
	for _, address := range options.OtherAddresses {
		promise, err := options.CollectPromise(ctx, address, request)
		if err != nil {
			return Founding{}, fmt.Errorf("replica: promise of %q: %w", address, err)
		}
		promise.Address = address
		promises = append(promises, promise)
	}
	addresses := append([]string{options.SelfAddress}, options.OtherAddresses...)
	founding, err := NewFounding(request, options.Generation, addresses, promises)
	if err != nil {
		return Founding{}, err
	}
	return founding, r.Found(ctx, founding)
}

// foundingToken returns the token that this replica promised before a restart,
// or else a new random one, which is never zero.
func (r *Runner) foundingToken() uint64 {
	if token := r.Status().FoundingToken; token != 0 {
		return token
	}
	var random [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:]) | 1
}
