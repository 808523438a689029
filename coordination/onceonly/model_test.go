package onceonly

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// modelAttempt is one attempt of a process to run the request of a key.
type modelAttempt struct {
	id         string
	key        int
	holder     string
	dispatched bool
	abandoned  bool
	ran        bool
}

// model simulates processes that lose replies, abandon attempts, end their
// sessions and send commands late. It counts the runs of each key.
type model struct {
	random     *rand.Rand
	table      *Table
	millis     int64
	attempts   []*modelAttempt
	delayed    []Command
	minted     []int64
	runs       []int
	answers    map[int]string
	violations []string
	granted    int
	answered   int
	removed    int
	captured   func() ([]byte, error)
	expected   []byte
}

const modelKeys = 12

func newModel(seed uint64) *model {
	m := &model{
		random:  rand.New(rand.NewPCG(seed, 2)),
		table:   New(),
		millis:  1_000_000,
		minted:  make([]int64, modelKeys),
		runs:    make([]int, modelKeys),
		answers: make(map[int]string),
	}
	parameters := Parameters{
		RetentionMillis:  100_000,
		ClaimMillis:      20_000,
		FutureMillis:     5_000,
		DispatchMillis:   2_000,
		Entries:          modelKeys,
		AnswerBytes:      64,
		TotalAnswerBytes: 256,
	}
	m.apply(Command{Kind: KindConfigure, Parameters: &parameters})
	for key := range m.minted {
		m.minted[key] = m.millis + m.random.Int64N(60_000) - 50_000
	}
	return m
}

// apply executes a command in its encoded form, as the replicated log does.
func (m *model) apply(command Command) Reply {
	command.TimeMillis = m.millis
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	before := m.table.Len()
	reply, err := DecodeReply(m.table.Apply(1, data))
	if err != nil {
		panic(err)
	}
	m.removed += max(0, before-m.table.Len())
	return reply
}

func (m *model) run(steps int) []string {
	for range steps {
		m.step()
		if len(m.violations) > 0 {
			break
		}
	}
	return m.violations
}

func (m *model) step() {
	switch m.random.IntN(11) {
	case 0, 1, 2:
		m.claimWithNewAttempt()
	case 3:
		m.resendClaim()
	case 4:
		m.applyDelayed()
	case 5:
		m.abandon()
	case 6:
		m.apply(Command{Kind: KindExpireHolder, Holder: fmt.Sprint(m.random.IntN(4))})
	case 7:
		m.millis += m.random.Int64N(12_000)
		m.apply(Command{Kind: KindAdvance})
	case 8:
		m.millis -= m.random.Int64N(3_000) // a new leader's clock is behind
	case 9:
		m.restore()
	case 10:
		m.capture()
	}
}

// capture checks that commands applied since the previous capture have not
// changed it, and takes a new one.
func (m *model) capture() {
	if m.captured != nil {
		data, err := m.captured()
		if err != nil || string(data) != string(m.expected) {
			m.violations = append(m.violations, "a capture changed after it was taken")
		}
	}
	m.expected, _ = m.table.Snapshot()
	m.captured = m.table.Capture()
}

func (m *model) claimWithNewAttempt() {
	attempt := &modelAttempt{
		id:     fmt.Sprint("attempt-", len(m.attempts)),
		key:    m.random.IntN(modelKeys),
		holder: fmt.Sprint(m.random.IntN(4)),
	}
	m.attempts = append(m.attempts, attempt)
	m.send(m.claimOf(attempt), attempt)
}

func (m *model) resendClaim() {
	if attempt := m.pickAttempt(); attempt != nil {
		m.send(m.claimOf(attempt), attempt)
	}
}

func (m *model) pickAttempt() *modelAttempt {
	if len(m.attempts) == 0 {
		return nil
	}
	return m.attempts[m.random.IntN(len(m.attempts))]
}

func (m *model) claimOf(attempt *modelAttempt) Command {
	return Command{Kind: KindClaim, Claim: &Claim{
		Tenant:       "tenant",
		Key:          fmt.Sprint(attempt.key),
		MintedMillis: m.minted[attempt.key],
		BodyHash:     []byte("body"),
		AttemptID:    attempt.id,
		Holder:       attempt.holder,
	}}
}

// send applies a claim now, or delays it until nobody waits for its reply.
func (m *model) send(command Command, attempt *modelAttempt) {
	if m.random.IntN(5) == 0 {
		m.delayed = append(m.delayed, command)
		return
	}
	reply := m.apply(command)
	m.checkStoredAnswer(attempt.key, reply)
	lost := m.random.IntN(5) == 0
	if reply.Status != StatusGranted || lost || attempt.abandoned || attempt.dispatched {
		return
	}
	m.granted++
	m.dispatch(attempt)
}

// dispatch sends the request to a back end, which runs or rejects it.
func (m *model) dispatch(attempt *modelAttempt) {
	attempt.dispatched = true
	switch m.random.IntN(4) {
	case 0:
		m.sendOutcome(Command{Kind: KindRelease, Release: m.releaseOf(attempt, true)})
	case 1:
		m.recordRun(attempt)
		m.sendOutcome(Command{Kind: KindRelease, Release: m.releaseOf(attempt, false)})
	default:
		m.recordRun(attempt)
		m.answers[attempt.key] = attempt.id
		m.sendOutcome(Command{Kind: KindComplete, Completion: &Completion{
			Tenant:    "tenant",
			Key:       fmt.Sprint(attempt.key),
			AttemptID: attempt.id,
			Answer:    Answer{Status: 200, Body: []byte(attempt.id)},
		}})
	}
}

func (m *model) recordRun(attempt *modelAttempt) {
	attempt.ran = true
	m.runs[attempt.key]++
	if m.runs[attempt.key] > 1 {
		m.violations = append(m.violations, fmt.Sprintf("key %d ran twice", attempt.key))
	}
}

func (m *model) releaseOf(attempt *modelAttempt, notRun bool) *Release {
	return &Release{Tenant: "tenant", Key: fmt.Sprint(attempt.key), AttemptID: attempt.id, NotRun: notRun}
}

// sendOutcome applies the command that ends an attempt now, delays it or loses
// it.
func (m *model) sendOutcome(command Command) {
	switch m.random.IntN(3) {
	case 0:
		m.delayed = append(m.delayed, command)
	case 1:
		m.apply(command)
	}
}

// abandon releases an attempt that has not been dispatched and will never be.
func (m *model) abandon() {
	attempt := m.pickAttempt()
	if attempt == nil || attempt.dispatched {
		return
	}
	attempt.abandoned = true
	m.sendOutcome(Command{Kind: KindRelease, Release: m.releaseOf(attempt, true)})
}

func (m *model) applyDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	i := m.random.IntN(len(m.delayed))
	m.apply(m.delayed[i])
	if m.random.IntN(2) == 0 {
		m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	}
}

// checkStoredAnswer checks that a stored answer is that of the key's run.
func (m *model) checkStoredAnswer(key int, reply Reply) {
	if reply.Status != StatusAnswered {
		return
	}
	m.answered++
	if string(reply.Answer.Body) != m.answers[key] {
		m.violations = append(m.violations, fmt.Sprintf("key %d has the answer %q", key, reply.Answer.Body))
	}
}

func (m *model) restore() {
	data, err := m.table.Snapshot()
	if err != nil {
		panic(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		panic(err)
	}
	restored.changeCaptured = m.table.changeCaptured
	restored.releaseAnyAttempt = m.table.releaseAnyAttempt
	again, err := restored.Snapshot()
	if err != nil {
		panic(err)
	}
	if string(again) != string(data) || restored.answerBytes != m.table.answerBytes {
		m.violations = append(m.violations, "restored table differs from its snapshot")
	}
	m.table = restored
}

func TestKeysRunAtMostOnce(t *testing.T) {
	granted, answered, removed := 0, 0, 0
	for seed := range uint64(600) {
		m := newModel(seed)
		require.Empty(t, m.run(400), "seed %d", seed)
		granted += m.granted
		answered += m.answered
		removed += m.removed
	}
	t.Logf("granted %d, answered %d, removed %d", granted, answered, removed)
	require.Positive(t, granted)
	require.Positive(t, answered)
	require.Positive(t, removed)
}

func TestModelCatchesPlantedFaults(t *testing.T) {
	faults := map[string]func(*Table){
		"release by the wrong attempt": func(table *Table) { table.releaseAnyAttempt = true },
		"capture changed afterwards":   func(table *Table) { table.changeCaptured = true },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			const limit = 100
			for seed := range uint64(limit) {
				m := newModel(seed)
				inject(m.table)
				if violations := m.run(400); len(violations) > 0 {
					t.Logf("caught with seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Fatalf("not caught in %d seeds", limit)
		})
	}
}
