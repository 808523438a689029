package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// machine is a simulated machine with a disk, a process and a clock.
type machine struct {
	cluster *cluster
	number  int
	disk    *memoryfs.FileSystem
	random  *rand.Rand
	node    *Node
	state   *registerStore
	paused  bool
	backlog []func()
	// clockRate and clockOffset model clock drift and the unrelated origins of
	// monotonic clocks.
	clockRate   float64
	clockOffset time.Duration
	// incarnation is the number of the current process. Scheduled ticks of
	// earlier processes are ignored.
	incarnation int
	// id is the id of the replica on the disk, or zero before its first start.
	id consensus.ReplicaID
	// isDamaged reports whether a fault damaged the disk such that the replica
	// must refuse to open.
	isDamaged bool
	// backup is an earlier copy of the disk, or nil.
	backup *memoryfs.FileSystem
}

func (m *machine) address() string { return fmt.Sprintf("machine-%d", m.number) }

func (m *machine) now() time.Duration {
	return m.clockOffset + time.Duration(float64(m.cluster.now)*m.clockRate)
}

func (m *machine) replaceDisk() {
	m.disk = memoryfs.New()
}

// start opens the replica. If the disk still fails, it is retried later.
func (m *machine) start() {
	if m.node != nil {
		return
	}
	m.state = newRegisterStore(m.cluster.checks, m.address())
	node, err := OpenNode(Config{
		Group:              testGroup,
		Directory:          testDirectory,
		FileSystem:         m.disk,
		StateMachine:       m.state,
		Random:             m.random,
		ElectionTimeout:    testElectionTime,
		SnapshotEntries:    40,
		SegmentBytes:       m.cluster.segmentBytes(),
		SnapshotChunkBytes: 16,
	}, m.now())
	if m.isDamaged && !isInjectedFault(err) {
		m.cluster.checks.checkQuarantined(m, err)
		m.discard()
		return
	}
	if err != nil {
		m.cluster.checks.checkOpenError(m, err)
		m.handleFailure(err)
		return
	}
	m.node = node
	m.incarnation++
	node.runInBackground = m.inBackground(m.incarnation)
	m.id = node.Status().ID
	m.cluster.byID[m.id] = m
	m.scheduleTick(m.incarnation)
}

// inBackground returns a function that runs its argument after a random delay,
// unless the process has stopped by then.
func (m *machine) inBackground(incarnation int) func(func()) {
	return func(work func()) {
		m.cluster.after(m.cluster.randomDuration(300*time.Millisecond), func() {
			if m.node != nil && m.incarnation == incarnation {
				work()
			}
		})
	}
}

func (m *machine) scheduleTick(incarnation int) {
	m.cluster.after(testTick, func() {
		if m.node == nil || m.incarnation != incarnation {
			return
		}
		if !m.paused {
			m.call(func() (Outputs, error) { return m.node.Tick(m.now()) })
		}
		m.scheduleTick(incarnation)
	})
}

// call runs one input of the node. If the process is paused, the input is
// deferred until it resumes.
func (m *machine) call(input func() (Outputs, error)) {
	if m.node == nil {
		return
	}
	if m.paused {
		m.backlog = append(m.backlog, func() { m.call(input) })
		return
	}
	outputs, err := input()
	m.handle(outputs, err)
}

func (m *machine) handle(outputs Outputs, err error) {
	for _, message := range outputs.Messages {
		m.cluster.send(m, message)
	}
	m.cluster.clients.complete(m, outputs)
	if err != nil {
		m.handleFailure(err)
		return
	}
	m.cluster.checks.checkElectionSafety(m.node.Status())
}

// stop ends the process. The outcome of its pending writes is unknown.
func (m *machine) stop() {
	if m.node == nil {
		return
	}
	m.cluster.clients.abandonPending(m)
	m.node = nil
	m.paused = false
	m.backlog = nil
}

// handleFailure ends the process after its replica returned an error, by a power
// failure or a process exit.
func (m *machine) handleFailure(err error) {
	if errors.Is(err, memoryfs.ErrCrashed) || m.cluster.random.IntN(2) == 0 {
		m.crash()
		return
	}
	m.disk.SetCapacity(0)
	m.kill()
}

// crash simulates a power failure: unsynced data is lost or torn.
func (m *machine) crash() {
	m.stop()
	m.disk.Crash(m.cluster.random)
	m.disk.SetCapacity(0)
	m.cluster.after(m.cluster.randomDuration(500*time.Millisecond), m.start)
}

// kill ends only the process: the operating system keeps unsynced data.
func (m *machine) kill() {
	m.stop()
	m.disk.KillProcess()
	m.cluster.after(m.cluster.randomDuration(500*time.Millisecond), m.start)
}

func (m *machine) pause(duration time.Duration) {
	if m.node == nil || m.paused {
		return
	}
	m.paused = true
	incarnation := m.incarnation
	m.cluster.after(duration, func() {
		if m.incarnation == incarnation {
			m.resume()
		}
	})
}

func (m *machine) resume() {
	m.paused = false
	backlog := m.backlog
	m.backlog = nil
	for _, input := range backlog {
		input()
	}
}

// loseDisk replaces the disk with an empty one.
func (m *machine) loseDisk() {
	m.stop()
	old, err := storage.Inspect(m.disk, testDirectory)
	m.cluster.checks.noError("inspect", err)
	m.replaceDisk()
	m.id = 0
	if m.cluster.planted.reuseOldIdentity && old.Identity != nil {
		m.writeOldIdentity(*old.Identity)
	}
	m.cluster.after(m.cluster.randomDuration(300*time.Millisecond), m.start)
}

func (m *machine) writeOldIdentity(identity storage.Identity) {
	identity.Stage = storage.StageNew
	m.cluster.checks.noError("plant", m.disk.MakeDirectory(testDirectory))
	m.cluster.checks.noError("plant", storage.WriteIdentity(m.disk, testDirectory, identity))
}
