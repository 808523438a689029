package replica

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/pierhaven/pierhaven/coordination/consensus"
	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/coordination/storage/memoryfs"
)

// testCommand writes, or compares and swaps, one replicated register.
type testCommand struct {
	Number uint64
	Key    int
	IsSwap bool
	Old    int
	New    int
}

// registerStore is a state machine that holds registers and reports each applied
// command to the checks.
type registerStore struct {
	checks *checks
	name   string
	Values map[int]int
	Index  uint64
}

func newRegisterStore(checks *checks, name string) *registerStore {
	return &registerStore{checks: checks, name: name, Values: map[int]int{}}
}

func (m *registerStore) Apply(index uint64, data []byte) []byte {
	m.checks.checkApplied(m, index, data)
	m.Index = index
	var command testCommand
	m.checks.noError("command", json.Unmarshal(data, &command))
	if command.IsSwap && m.Values[command.Key] != command.Old {
		return []byte("no")
	}
	m.Values[command.Key] = command.New
	return []byte("yes")
}

func (m *registerStore) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m *registerStore) Restore(data []byte) error {
	m.Values, m.Index = map[int]int{}, 0
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, m)
}

// checks verifies invariants across all machines of a simulated run.
type checks struct {
	violation    string
	leaderByTerm map[uint64]consensus.ReplicaID
	// commandByIndex is the command that was applied at each log index.
	commandByIndex map[uint64][]byte
	// indexByNumber is the log index at which each command number was applied.
	indexByNumber map[uint64]uint64
	notRun        map[uint64]bool
	history       []porcupine.Operation
}

func newChecks() *checks {
	return &checks{
		leaderByTerm:   map[uint64]consensus.ReplicaID{},
		commandByIndex: map[uint64][]byte{},
		indexByNumber:  map[uint64]uint64{},
		notRun:         map[uint64]bool{},
	}
}

func (c *checks) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

func (c *checks) noError(what string, err error) {
	if err != nil {
		c.fail("%s: %v", what, err)
	}
}

func isInjectedFault(err error) bool {
	return errors.Is(err, storage.ErrSyncFailed) || errors.Is(err, storage.ErrDiskFull) || errors.Is(err, memoryfs.ErrCrashed)
}

// checkOpenError fails the run unless the error comes from an injected fault or a
// planted bug.
func (c *checks) checkOpenError(m *machine, err error) {
	if isInjectedFault(err) {
		return
	}
	if (m.cluster.planted.ignoreSyncs || m.cluster.planted.acceptOldCopy) && errors.Is(err, ErrReplicaQuarantined) {
		return
	}
	c.fail("%s does not open: %v", m.address(), err)
}

// checkQuarantined checks that a replica with damaged data does not open.
func (c *checks) checkQuarantined(m *machine, err error) {
	if !errors.Is(err, ErrReplicaQuarantined) {
		c.fail("%s opens with damaged data: %v", m.address(), err)
	}
}

// checkElectionSafety checks that there is at most one leader per term.
func (c *checks) checkElectionSafety(status Status) {
	if status.Role != consensus.RoleLeader {
		return
	}
	if other, found := c.leaderByTerm[status.Term]; found && other != status.ID {
		c.fail("two leaders in term %d", status.Term)
	}
	c.leaderByTerm[status.Term] = status.ID
}

// checkApplied checks state machine safety: a state machine applies each index at most
// once and in ascending order, all apply the same command at an index, and no
// command is applied at two indexes or after it was reported as not executed.
func (c *checks) checkApplied(m *registerStore, index uint64, data []byte) {
	if index <= m.Index {
		c.fail("%s applies index %d after %d", m.name, index, m.Index)
	}
	if known, found := c.commandByIndex[index]; found && !bytes.Equal(known, data) {
		c.fail("%s applies another command at index %d", m.name, index)
	}
	c.commandByIndex[index] = data
	var command testCommand
	c.noError("command", json.Unmarshal(data, &command))
	if known, found := c.indexByNumber[command.Number]; found && known != index {
		c.fail("command %d is applied at %d and %d", command.Number, known, index)
	}
	c.indexByNumber[command.Number] = index
	if c.notRun[command.Number] {
		c.fail("command %d was refused as not run and is applied at %d", command.Number, index)
	}
}

func (c *checks) recordNotRun(number uint64) {
	c.notRun[number] = true
	if index, found := c.indexByNumber[number]; found {
		c.fail("command %d was applied at %d and then refused as not run", number, index)
	}
}

// checkLogMatching checks the log matching property across all disks: entries with
// the same index and term have the same data and the same preceding term.
func (c *checks) checkLogMatching(machines []*machine) {
	// The keys are index and term of an entry. With the top bit of the term set, the
	// value is the term of the preceding entry, otherwise it is the entry's data.
	seen := map[[2]uint64][]byte{}
	for _, m := range machines {
		state, err := storage.ReadState(m.disk, testDirectory)
		if err != nil {
			continue
		}
		for position, entry := range state.Entries {
			previous := uint64(0)
			if position > 0 {
				previous = state.Entries[position-1].Term
			}
			key := [2]uint64{entry.Index, entry.Term}
			if known, found := seen[key]; found && !bytes.Equal(known, entry.Data) {
				c.fail("logs differ at index %d of term %d", entry.Index, entry.Term)
			}
			seen[key] = entry.Data
			if position == 0 {
				continue
			}
			chain := [2]uint64{entry.Index, entry.Term | 1<<63}
			value := fmt.Append(nil, previous)
			if known, found := seen[chain]; found && !bytes.Equal(known, value) {
				c.fail("logs differ before index %d of term %d", entry.Index, entry.Term)
			}
			seen[chain] = value
		}
	}
}

type registerInput struct {
	key    int
	isRead bool
	isSwap bool
	old    int
	new    int
}

type registerOutput struct {
	isUnknown bool
	swapped   bool
	value     int
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make([][]porcupine.Operation, registerKeys)
		for _, operation := range history {
			key := operation.Input.(registerInput).key
			byKey[key] = append(byKey[key], operation)
		}
		return byKey
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		request, response := input.(registerInput), output.(registerOutput)
		value := state.(int)
		if request.isRead {
			return response.value == value, value
		}
		applies := !request.isSwap || request.old == value
		if !response.isUnknown && response.swapped != applies {
			return false, value
		}
		if applies {
			value = request.new
		}
		return true, value
	},
}

// checkLinearizable checks that the clients' history is linearizable.
func (c *checks) checkLinearizable() {
	if c.violation != "" {
		return
	}
	result := porcupine.CheckOperationsTimeout(registerModel, c.history, 30*time.Second)
	if result == porcupine.Illegal {
		c.fail("history is not linearizable")
	}
	if result == porcupine.Unknown {
		c.fail("linearizability check timed out with %d operations", len(c.history))
	}
}

// checkAcknowledged checks that an acknowledged command was applied at the index that
// its completion reports.
func (c *checks) checkAcknowledged(completion Completion) {
	if index, found := c.indexByNumber[completion.RequestID]; !found || index != completion.Index {
		c.fail("command %d was acknowledged at %d but applied at %d", completion.RequestID, completion.Index, index)
	}
}
