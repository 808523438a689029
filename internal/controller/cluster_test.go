package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
	"github.com/pierhaven/pierhaven/internal/controller"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/rpc"
	"github.com/pierhaven/pierhaven/internal/testnet"
)

// conditionTimeout bounds every wait for a condition; a passing run needs far less.
const conditionTimeout = 60 * time.Second

const electionTimeout = 300 * time.Millisecond

func init() { hlog.SetLevel(hlog.LevelError) }

// member is one controller of a test, running or not.
type member struct {
	settings controller.Settings
	memory   *memoryfs.FileSystem
	cancel   context.CancelFunc
	done     chan error
}

// cluster is a set of controllers that listen on loopback addresses.
type cluster struct {
	t       *testing.T
	zones   []string
	members map[string][]*member
}

// layout describes a cluster. The first voter of each zone is a config voter;
// with one zone, all controllers are config voters.
type layout struct {
	zones       []string
	controllers int
	// inMemory stores the data in in-memory file systems, which can simulate a
	// crash.
	inMemory       bool
	adjustSettings func(settings *controller.Settings)
}

func startCluster(t *testing.T, plan layout) *cluster {
	t.Helper()
	c := &cluster{t: t, zones: plan.zones, members: map[string][]*member{}}
	for _, zone := range plan.zones {
		for number := range plan.controllers {
			c.members[zone] = append(c.members[zone], newMember(t, zone, number, plan))
		}
	}
	c.connect(plan)
	for _, zone := range plan.zones {
		for _, m := range c.members[zone] {
			m.start(t)
		}
	}
	t.Cleanup(c.stopAll)
	return c
}

func newMember(t *testing.T, zone string, number int, plan layout) *member {
	t.Helper()
	listener, operatorListener := testnet.Listen(t), testnet.Listen(t)
	m := &member{settings: controller.Settings{
		ID:                    fmt.Sprintf("%s-%d", zone, number),
		Zone:                  zone,
		Zones:                 plan.zones,
		ListenAddress:         listener.Addr().String(),
		OperatorListenAddress: operatorListener.Addr().String(),
		Listener:              listener,
		OperatorListener:      operatorListener,
		DataFolder:            filepath.Join(t.TempDir(), zone, fmt.Sprint(number)),
		ElectionTimeout:       electionTimeout,
		ProposalTimeout:       2 * time.Second,
		SessionHeartbeat:      100 * time.Millisecond,
		SessionLease:          time.Second,
		ClusterToken:          "cluster secret",
		OperatorTokenHashes:   []string{operatorapi.HashToken("operator secret")},
		EnginePollInterval:    50 * time.Millisecond,
	}}
	if plan.inMemory {
		m.memory = memoryfs.New()
		m.settings.FileSystem = m.memory
		m.settings.DataFolder = "/data"
	}
	return m
}

// connect sets the other members' addresses in each member's settings.
func (c *cluster) connect(plan layout) {
	var configVoters []string
	for _, zone := range c.zones {
		for number, m := range c.members[zone] {
			m.settings.ConfigVoter = number == 0 || len(c.zones) == 1
			if m.settings.ConfigVoter {
				configVoters = append(configVoters, m.settings.ListenAddress)
			}
		}
	}
	for _, m := range c.all() {
		m.settings.ConfigVoters = configVoters
		for _, zone := range c.zones {
			addresses := c.addresses(zone)
			if zone == m.settings.Zone {
				m.settings.ZoneVoters = addresses
			} else {
				m.settings.OtherZones = append(m.settings.OtherZones, controller.ZoneControllers{Zone: zone, Controllers: addresses})
			}
		}
		if plan.adjustSettings != nil {
			plan.adjustSettings(&m.settings)
		}
	}
}

func (c *cluster) all() []*member {
	var all []*member
	for _, zone := range c.zones {
		all = append(all, c.members[zone]...)
	}
	return all
}

func (c *cluster) addresses(zone string) []string {
	var addresses []string
	for _, m := range c.members[zone] {
		addresses = append(addresses, m.settings.ListenAddress)
	}
	return addresses
}

func (m *member) start(t *testing.T) {
	t.Helper()
	process, err := controller.New(m.settings)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done = make(chan error, 1)
	done := m.done
	go func() {
		err := process.Run(ctx)
		if ctx.Err() == nil {
			t.Logf("controller %s stopped unexpectedly: %v", m.settings.ID, err)
		}
		done <- err
	}()
	// A later start opens its own listeners at the same addresses.
	m.settings.Listener, m.settings.OperatorListener = nil, nil
}

func (m *member) running() bool { return m.cancel != nil }

// stop performs a planned stop and returns the error of Run.
func (m *member) stop(t *testing.T) error {
	t.Helper()
	if !m.running() {
		return nil
	}
	m.cancel()
	m.cancel = nil
	select {
	case err := <-m.done:
		return err
	case <-time.After(conditionTimeout):
		t.Error("controller did not stop")
		return nil
	}
}

// crash simulates a power failure: unsynced data is lost, and the replicas fail
// at their next write.
func (m *member) crash(t *testing.T) {
	t.Helper()
	m.memory.Crash(rand.New(rand.NewPCG(1, rand.Uint64())))
	m.cancel()
	m.cancel = nil
	select {
	case <-m.done:
	case <-time.After(conditionTimeout):
		t.Error("controller did not stop after the crash")
	}
}

func (c *cluster) stopAll() {
	var running sync.WaitGroup
	for _, m := range c.all() {
		running.Go(func() { _ = m.stop(c.t) })
	}
	running.Wait()
}

// operators returns a client for the controllers of the given zones, by default
// of all zones.
func (c *cluster) operators(zones ...string) *operatorapi.Client {
	c.t.Helper()
	if len(zones) == 0 {
		zones = c.zones
	}
	var addresses []string
	for _, zone := range zones {
		for _, m := range c.members[zone] {
			addresses = append(addresses, m.settings.OperatorListenAddress)
		}
	}
	return c.operatorsAt(addresses...)
}

func (c *cluster) operatorsAt(addresses ...string) *operatorapi.Client {
	c.t.Helper()
	client, err := operatorapi.NewClient(operatorapi.ClientOptions{Addresses: addresses, Token: "operator secret", Timeout: 20 * time.Second})
	require.NoError(c.t, err)
	return client
}

// leader waits until a member leads the group and returns that member.
func (c *cluster) leader(group string) *member {
	c.t.Helper()
	var found *member
	c.eventually("leader of "+group, func() error {
		for _, m := range c.all() {
			if !m.running() {
				continue
			}
			status, err := c.operatorsAt(m.settings.OperatorListenAddress).Status(context.Background())
			if err != nil {
				continue
			}
			for _, state := range status.Groups {
				if state.Name == group && state.Role == "leader" {
					found = m
					return nil
				}
			}
		}
		return fmt.Errorf("no running member leads the group")
	})
	return found
}

// eventually repeats attempt until it succeeds or conditionTimeout has passed.
func (c *cluster) eventually(what string, attempt func() error) {
	c.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			require.NoError(c.t, err, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func newPeerClient(t *testing.T) *rpc.Client {
	t.Helper()
	client, err := rpc.NewClient(rpc.ClientOptions{Token: "cluster secret"})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

func requireKind(t *testing.T, kind failure.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind, failure.KindOf(err), "%v", err)
}

var _ storage.FileSystem = (*memoryfs.FileSystem)(nil)
