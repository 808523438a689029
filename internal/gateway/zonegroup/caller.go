package zonegroup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/rpc"
)

// RPC carries one call; *rpc.Client does.
type RPC interface {
	Call(ctx context.Context, address, path string, request msgp.Marshaler, reply msgp.Unmarshaler) error
}

// Caller calls the leader of a group of controllers, wherever it is.
type Caller struct {
	rpc       RPC
	addresses []string

	mutex  sync.Mutex
	leader string
	next   int
}

// NewCaller returns a caller for controllers at addresses (IP:port).
func NewCaller(carrier RPC, addresses []string) *Caller {
	return &Caller{rpc: carrier, addresses: slices.Clone(addresses)}
}

// extraRounds is how many more calls than controllers are made to find the
// leader, because each may point to the next.
const extraRounds = 2

// Call finds the leader and calls it. Only calls that were certainly not
// carried out are repeated: those that could not be delivered and those that a
// controller refused because it does not lead. The last error is returned.
func (c *Caller) Call(ctx context.Context, path string, timeout time.Duration, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	address, err := c.try(ctx, path, timeout, request, reply)
	if err == nil {
		c.found(address)
	}
	return err
}

// Ask is Call for what every controller answers; whoever does need not lead.
func (c *Caller) Ask(ctx context.Context, path string, timeout time.Duration, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	_, err := c.try(ctx, path, timeout, request, reply)
	return err
}

// try calls one controller after the other and returns which one answered.
func (c *Caller) try(ctx context.Context, path string, timeout time.Duration, request msgp.Marshaler, reply msgp.Unmarshaler) (answered string, err error) {
	err = failure.New(failure.NotReady, "no controller is configured")
	for range len(c.addresses) + extraRounds {
		address := c.target()
		if address == "" {
			return "", err
		}
		err = c.once(ctx, address, path, timeout, request, reply)
		if err == nil {
			return address, nil
		}
		if ctx.Err() != nil || !c.goOn(address, err) {
			return "", err
		}
	}
	return "", err
}

func (c *Caller) once(ctx context.Context, address, path string, timeout time.Duration, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.rpc.Call(ctx, address, path, request, reply)
}

// goOn turns to another controller and reports whether the call may be made
// again.
func (c *Caller) goOn(address string, err error) bool {
	if failure.KindOf(err) == failure.NotLeader {
		c.lost(address, rpc.LeaderAddress(err))
		return true
	}
	if rpc.Answered(err) && failure.KindOf(err) != failure.NoQuorum {
		return false
	}
	c.lost(address, "")
	return rpc.NotDelivered(err)
}

func (c *Caller) target() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" || len(c.addresses) == 0 {
		return c.leader
	}
	return c.addresses[c.next%len(c.addresses)]
}

func (c *Caller) found(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader = address
}

// lost gives up on an address; hint is where the leader is said to be. A hint
// is only followed to a configured controller.
func (c *Caller) lost(address, hint string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader == address {
		c.leader = ""
	}
	c.next++
	if len(c.addresses) > 1 && c.addresses[c.next%len(c.addresses)] == address {
		c.next++
	}
	if hint != address && slices.Contains(c.addresses, hint) {
		c.leader = hint
	}
}
