package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
)

//go:generate go tool msgp -file founding.go -o founding_gen.go -tests=false -io=false
//msgp:replace consensus.ReplicaID with:uint64
//msgp:limit arrays:1024 maps:1024

// FoundingRequest asks a new replica to promise to take part in one founding,
// the creation of a group.
type FoundingRequest struct {
	Group uint64 `msg:"group" json:"group"`
	// Token identifies the founding; it is random and not zero.
	Token uint64 `msg:"token" json:"token"`
}

// FoundingPromise is a new replica's durable promise to take part in the
// founding identified by Token and in no other.
type FoundingPromise struct {
	Group   uint64              `msg:"group" json:"group"`
	Token   uint64              `msg:"token" json:"token"`
	Replica consensus.ReplicaID `msg:"replica" json:"replica"`
	// Address is the address of the promising replica, set by the requester.
	Address string `msg:"address" json:"address"`
}

// Founding creates a group from replicas that have all promised its Token.
type Founding struct {
	Group uint64 `msg:"group" json:"group"`
	Token uint64 `msg:"token" json:"token"`
	// Generation is one for the first founding of a group. After the group's
	// state was lost, it must be higher than in any earlier founding.
	Generation uint64            `msg:"generation" json:"generation"`
	Members    []FoundingPromise `msg:"members" json:"members"`
}

// NewFounding returns the founding if every address has promised the request.
// Callers must not construct a Founding in any other way: with fewer promises,
// two groups could be created.
func NewFounding(request FoundingRequest, generation uint64, addresses []string, promises []FoundingPromise) (Founding, error) {
	founding := Founding{Group: request.Group, Token: request.Token, Generation: generation, Members: promises}
	if err := founding.validate(); err != nil {
		return Founding{}, err
	}
	promised := map[string]bool{}
	for _, promise := range promises {
		promised[promise.Address] = true
	}
	for _, address := range addresses {
		if !promised[address] {
			return Founding{}, fmt.Errorf("%w: no promise from %q", ErrFoundingRefused, address)
		}
	}
	if len(promises) != len(addresses) {
		return Founding{}, fmt.Errorf("%w: %d promises from %d addresses", ErrFoundingRefused, len(promises), len(addresses))
	}
	return founding, nil
}

func (founding Founding) validate() error {
	if founding.Token == 0 || founding.Generation == 0 || len(founding.Members) == 0 {
		return fmt.Errorf("%w: token, generation or members are missing", ErrFoundingRefused)
	}
	replicas := map[consensus.ReplicaID]bool{}
	for _, promise := range founding.Members {
		if promise.Group != founding.Group || promise.Token != founding.Token {
			return fmt.Errorf("%w: %q has promised another founding", ErrFoundingRefused, promise.Address)
		}
		if promise.Replica == 0 || replicas[promise.Replica] {
			return fmt.Errorf("%w: replica %d stands twice", ErrFoundingRefused, promise.Replica)
		}
		replicas[promise.Replica] = true
	}
	return nil
}

func (founding Founding) configuration() consensus.Configuration {
	configuration := consensus.Configuration{Generation: founding.Generation, Founding: founding.Token}
	for _, promise := range founding.Members {
		member := consensus.Member{ID: promise.Replica, Address: promise.Address}
		configuration.Members = append(configuration.Members, member)
	}
	configuration.Sort()
	return configuration
}

// PromiseFounding durably promises to take part in one founding. A replica
// that has promised another one, or is already a member, returns an error that
// wraps ErrFoundingRefused and keeps running.
func (n *Node) PromiseFounding(request FoundingRequest) (FoundingPromise, error) {
	if n.failure != nil {
		return FoundingPromise{}, n.failure
	}
	if n.stalled.isActive() {
		return FoundingPromise{}, ErrNotWritable
	}
	identity := n.storage.Identity()
	promise := FoundingPromise{Group: request.Group, Token: request.Token, Replica: identity.ReplicaID}
	if request.Group != n.config.Group || request.Token == 0 {
		return FoundingPromise{}, fmt.Errorf("%w: group %d", ErrFoundingRefused, request.Group)
	}
	if identity.FoundingToken == request.Token && n.hasNoMembers() {
		return promise, nil
	}
	if identity.Stage != storage.StageNew {
		return FoundingPromise{}, fmt.Errorf("%w: replica %d is %v", ErrFoundingRefused, identity.ReplicaID, identity.Stage)
	}
	identity.Stage = storage.StagePromised
	identity.FoundingToken = request.Token
	err := n.storage.InstallIdentity(identity)
	if errors.Is(err, storage.ErrNotWritten) {
		return FoundingPromise{}, errors.Join(ErrNotWritable, err)
	}
	if err != nil {
		return FoundingPromise{}, n.fail(err)
	}
	n.core.PromiseFounding(request.Token)
	return promise, nil
}

// hasNoMembers reports whether the replica knows no members yet, as before its
// founding or after a crash interrupted it.
func (n *Node) hasNoMembers() bool { return len(n.core.Status().Configuration.Members) == 0 }

// Found installs the initial configuration. It may be repeated: a replica that
// has learned of its group in another way since its promise is left unchanged.
// An error that wraps ErrFoundingRefused or ErrNotWritable leaves the replica
// running.
func (n *Node) Found(now time.Duration, founding Founding) (Outputs, error) {
	if n.failure != nil {
		return Outputs{}, n.failure
	}
	var rejection error
	outputs, err := n.handleInput(now, func() { rejection = n.installFounding(now, founding) })
	if err != nil {
		return outputs, err
	}
	return outputs, rejection
}

func (n *Node) installFounding(now time.Duration, founding Founding) error {
	if n.stalled.isActive() {
		return ErrNotWritable
	}
	if err := n.checkFounding(founding); err != nil {
		return err
	}
	n.core.Found(now, founding.configuration())
	return nil
}

func (n *Node) checkFounding(founding Founding) error {
	if err := founding.validate(); err != nil {
		return err
	}
	identity := n.storage.Identity()
	if founding.Group != n.config.Group || founding.Token != identity.FoundingToken {
		return fmt.Errorf("%w: founding %d was not promised", ErrFoundingRefused, founding.Token)
	}
	for _, promise := range founding.Members {
		if promise.Replica == identity.ReplicaID {
			return nil
		}
	}
	return fmt.Errorf("%w: replica %d is not among the members", ErrFoundingRefused, identity.ReplicaID)
}
