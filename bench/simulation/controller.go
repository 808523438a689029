package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/replica"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
	"github.com/pierhaven/pierhaven/internal/zonestate"
)

// controller is a control machine: a disk, a replica of its zone's group and
// perhaps one of the config group, and the term of a leader.
type controller struct {
	process
	zoneOf *zone
	disk   *memoryfs.FileSystem

	zoneReplica   *hostedReplica
	configReplica *hostedReplica // nil if this is no config voter
	zoneState     *zonestate.State
	documents     *documents
	term          *term
	// waiters are the long polls that wait for a change.
	waiters []*longPoll
	// quarantined says that the folder was found damaged; the controller then
	// waits for an operator.
	quarantined bool
}

const (
	zoneDirectory   = "/data/zone-group"
	configDirectory = "/data/config-group"
)

func (w *world) newController(z *zone, number int, seed uint64) *controller {
	c := &controller{
		process: w.newProcess(fmt.Sprintf("%s.controller-%d", z.name, number), z.name),
		zoneOf:  z,
		disk:    memoryfs.New(),
	}
	c.zoneReplica = &hostedReplica{
		owner: c, group: z.group, directory: zoneDirectory,
		random: rand.New(rand.NewPCG(seed, 1)), changed: c.leadershipChanged,
	}
	return c
}

// joinConfigGroup makes the controller a config voter.
func (c *controller) joinConfigGroup(config *group, seed uint64) {
	c.configReplica = &hostedReplica{
		owner: c, group: config, directory: configDirectory,
		random: rand.New(rand.NewPCG(seed, 2)),
	}
}

func (c *controller) replicas() []*hostedReplica {
	if c.configReplica == nil {
		return []*hostedReplica{c.zoneReplica}
	}
	return []*hostedReplica{c.zoneReplica, c.configReplica}
}

// start opens the disk. A process that can't is started again later.
func (c *controller) start() {
	if c.alive {
		return
	}
	c.begin()
	c.quarantined = false
	c.zoneState = zonestate.New()
	c.documents = newDocuments()
	c.waiters = nil
	c.term = nil
	for _, hosted := range c.replicas() {
		if err := hosted.open(c.machineOf(hosted)); err != nil {
			c.openFailed(err)
			return
		}
	}
	c.tickReplicas()
}

// machineOf puts a group's state machine between the replica and the waiters.
func (c *controller) machineOf(hosted *hostedReplica) replica.StateMachine {
	if hosted == c.configReplica {
		return &notifyingMachine{
			StateMachine: c.documents,
			revision:     func() uint64 { return c.documents.store.Revision() },
			changed:      c.documentsChanged,
		}
	}
	return &notifyingMachine{
		StateMachine: c.zoneState,
		revision:     func() uint64 { return c.zoneState.Revision() },
		changed:      c.zoneChanged,
	}
}

// notifyingMachine tells when something that others wait for has changed.
type notifyingMachine struct {
	replica.StateMachine
	revision func() uint64
	changed  func()
}

// Apply implements replica.StateMachine.
func (m *notifyingMachine) Apply(index uint64, command []byte) []byte {
	before := m.revision()
	result := m.StateMachine.Apply(index, command)
	if m.revision() != before {
		m.changed()
	}
	return result
}

// Restore implements replica.StateMachine.
func (m *notifyingMachine) Restore(data []byte) error {
	defer m.changed()
	return m.StateMachine.Restore(data)
}

// openFailed accepts only the failures that were injected.
func (c *controller) openFailed(err error) {
	w := c.world
	injected := errors.Is(err, storage.ErrSyncFailed) || errors.Is(err, memoryfs.ErrSyncFailed) ||
		errors.Is(err, memoryfs.ErrCrashed) || errors.Is(err, memoryfs.ErrDiskFull)
	if !injected && !errors.Is(err, replica.ErrReplicaQuarantined) {
		w.rules.violate(ruleInternal, "%s does not open: %v", c.name, err)
	}
	if errors.Is(err, replica.ErrReplicaQuarantined) {
		w.note(c.name, "quarantined: %v", err)
		if w.plant != PlantVoteNotSynced {
			w.rules.violate(ruleDurability, "%s is quarantined without a fault that explains it: %v", c.name, err)
		}
		c.stop()
		c.quarantined = true
		return
	}
	c.failed(err)
}

// failed ends the process after an error of a replica, and starts it again.
func (c *controller) failed(err error) {
	c.world.note(c.name, "stopped by %v", err)
	if errors.Is(err, memoryfs.ErrCrashed) || c.world.chance(0.5) {
		c.crash()
	} else {
		c.kill()
	}
	if errors.Is(err, replica.ErrReplicaQuarantined) {
		c.quarantined = true
		return
	}
	c.startLater()
}

func (c *controller) startLater() {
	life := c.life
	c.world.after(c.world.timing.restart+c.world.upTo(c.world.timing.restart), func() {
		if c.life == life {
			c.start()
		}
	})
}

// stop ends the process; its disk stays as it is.
func (c *controller) stop() {
	c.end()
	c.term = nil
	c.waiters = nil
	for _, hosted := range c.replicas() {
		hosted.close()
	}
}

// kill ends the process; the operating system keeps what was written.
func (c *controller) kill() {
	c.stop()
	c.disk.KillProcess()
}

// crash is a power failure: what was not synced is lost or torn.
func (c *controller) crash() {
	c.stop()
	c.disk.Crash(c.world.random)
}

// loseDisk replaces the disk by an empty one: the replicas come back as new
// ones, which have to be added to their groups.
func (c *controller) loseDisk() {
	c.stop()
	old := c.disk
	c.disk = memoryfs.New()
	if c.world.plant != PlantOldIdentity {
		return
	}
	for _, hosted := range c.replicas() {
		c.plantIdentity(old, hosted.directory)
	}
}

// plantIdentity writes the old identity onto the empty disk.
func (c *controller) plantIdentity(old *memoryfs.FileSystem, directory string) {
	report, err := storage.Inspect(old, directory)
	if err != nil || report.Identity == nil {
		return
	}
	identity := *report.Identity
	identity.Stage = storage.StageNew
	if c.disk.MakeDirectory(directory) == nil {
		_ = storage.WriteIdentity(c.disk, directory, identity)
	}
}

func (c *controller) tickReplicas() {
	c.after(c.world.timing.replicaTick, func() {
		for _, hosted := range c.replicas() {
			if c.alive {
				hosted.tick()
			}
		}
		if c.alive {
			c.tickReplicas()
		}
	})
}

// longPoll is a call that waits for news.
type longPoll struct {
	// poll answers if there is news, and reports whether it did.
	poll  func() bool
	ended bool
}

// wait answers a long poll now, at a change, or at the end of its time.
func (c *controller) wait(limit time.Duration, poll func() bool, expired func()) {
	if poll() {
		return
	}
	waiting := &longPoll{poll: poll}
	c.waiters = append(c.waiters, waiting)
	c.after(limit, func() {
		if !waiting.ended {
			waiting.ended = true
			expired()
		}
	})
}

// wakeWaiters runs the long polls that have news, a moment after the change.
func (c *controller) wakeWaiters() {
	c.after(c.world.upTo(time.Millisecond), func() {
		waiters := c.waiters
		c.waiters = nil
		for _, waiting := range waiters {
			if waiting.ended {
				continue
			}
			if waiting.poll() {
				waiting.ended = true
				continue
			}
			c.waiters = append(c.waiters, waiting)
		}
	})
}

func (c *controller) zoneChanged() {
	c.wakeWaiters()
	if c.term != nil {
		c.term.hurry()
	}
}

func (c *controller) documentsChanged() {
	c.wakeWaiters()
	if c.term != nil {
		c.term.offerOwn()
	}
}
