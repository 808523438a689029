package coordinator

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/lifecycle"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// message and reply are the request and the response of a call to another coordinator.
type (
	message = msgp.Marshaler
	reply   = msgp.Unmarshaler
)

// Replace validates an operator's configuration and applies it, unless one of the
// same or a higher version is in effect. A nil error means that the given
// configuration, or the one of the same or a higher version, is durable. Replace
// is idempotent.
func (c *Coordinator) Replace(ctx context.Context, document []byte) error {
	configuration, err := c.settings.Codec.Read(document)
	if err != nil {
		c.logger.Info(event.ConfigurationRefused, "reason", err.Error(), "bytes", len(document))
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	request := &region.ReplaceRequest{Version: configuration.Version, Document: region.Deflate(document)}
	var committed region.ReplaceReply
	err = c.atLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == c.settings.Address {
			reply, err := c.handleReplace(ctx, request)
			if err == nil {
				committed = *reply
			}
			return err
		}
		return c.client.Call(ctx, leader, region.PathReplace, request, &committed)
	})
	c.logger.Info(event.ConfigurationReceived, "version", configuration.Version, "in_force", committed.Version,
		"routes", len(configuration.Routes), "error", failure.Text(err))
	return err
}

// decodeConfiguration decompresses and decodes a configuration from the log.
func decodeConfiguration(codec traffic.Codec, compressed []byte) (*traffic.Configuration, error) {
	document, err := region.Inflate(compressed)
	if err != nil {
		return nil, err
	}
	return codec.Read(document)
}

// leaderRetryInterval is the delay before a call is retried at the current leader.
const leaderRetryInterval = 50 * time.Millisecond

// atLeader makes a call to the leader, given its address. It retries until the
// context ends while no leader is known, the called coordinator is not the leader,
// or the call was not delivered.
func (c *Coordinator) atLeader(ctx context.Context, call func(ctx context.Context, leader string) error) error {
	err := failure.New(failure.NoQuorum, "no leader is known")
	for {
		leader := c.group.LeaderAddress()
		if c.group.Leads() {
			leader = c.settings.Address
		}
		if leader != "" {
			err = call(ctx, leader)
			if failure.KindOf(err) != failure.NotLeader && !rpc.NotDelivered(err) {
				return err
			}
		}
		if !lifecycle.Sleep(ctx, leaderRetryInterval) {
			return err
		}
	}
}

// handleReplace commits a configuration. Only the leader does so. It tries again if another configuration has come into effect
// since it was compared with the one before.
func (c *Coordinator) handleReplace(ctx context.Context, request *region.ReplaceRequest) (*region.ReplaceReply, error) {
	for {
		if !c.group.Leads() {
			return nil, rpc.NotLeader(c.group.LeaderAddress())
		}
		reply, err := c.proposeConfiguration(ctx, request)
		if err != nil || reply.Version >= request.Version {
			return reply, err
		}
	}
}

func (c *Coordinator) proposeConfiguration(ctx context.Context, request *region.ReplaceRequest) (*region.ReplaceReply, error) {
	state, _ := c.machine.read()
	change, err := c.configurationCommand(&state, request)
	if err != nil {
		return nil, err
	}
	encoded, err := (&region.Command{Configuration: change}).MarshalMsg(nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal)
	}
	_, result, err := c.group.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	reply := &region.ReplaceReply{}
	if _, err := reply.UnmarshalMsg(result); err != nil {
		return nil, failure.Wrap(err, failure.Internal)
	}
	return reply, nil
}

// Current returns the newest configuration as the operator sent it, or nil if
// there is none. It fails if this coordinator can't confirm that its copy is up to date.
func (c *Coordinator) Current(ctx context.Context) ([]byte, error) {
	if err := c.confirmCopy(ctx); err != nil {
		return nil, failure.Wrap(err, failure.NoQuorum)
	}
	state, _ := c.machine.read()
	if state.Version == 0 {
		return nil, nil
	}
	return region.Inflate(state.Document)
}
