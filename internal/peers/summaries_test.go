package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/region"
)

func TestSummariesLargerThanOneMessageAreSentInTurn(t *testing.T) {
	var work []region.OutstandingWork
	for index := range 700 {
		work = append(work, region.OutstandingWork{Replica: fmt.Sprintf("replica-%04d", index), Requests: 1 << 20, InTimeMicros: 1 << 40, LateMicros: 1 << 40})
	}
	var sender summarySender
	sent := map[string]int{}
	for range 10 {
		summaries, full := sender.next(work)
		assert.False(t, full)
		encoded, err := (&region.Outstanding{Replicas: summaries}).MarshalMsg(nil)
		require.NoError(t, err)
		assert.Less(t, len(encoded), datagram.MaximumBytes)
		for _, each := range summaries {
			sent[each.Replica]++
		}
	}
	assert.Len(t, sent, 700)
	left := work[:600]
	ended := map[string]int{}
	for range 5 {
		summaries, _ := sender.next(left)
		for _, each := range summaries {
			if each.Requests == 0 {
				ended[each.Replica]++
			}
		}
	}
	assert.Len(t, ended, 100)
	for replica, times := range ended {
		assert.Equal(t, 1, times, replica)
	}
	summaries, full := sender.next(work[:3])
	assert.True(t, full)
	assert.Equal(t, work[:3], summaries)
}

// Guards against an unreachable region still looking as busy, or as idle, as when its message was
// sent. A message may be delayed on its way, or in the socket of a process that did not run, and be
// read seconds later; the fault was to date it by its receipt.
func TestADelayedMessageIsOld(t *testing.T) {
	var transit minimumTransit
	now := time.Unix(1000, 0)
	skew := 40 * time.Second
	assert.Zero(t, transit.age(now, now.Add(skew)), "the first message is assumed to be new")
	for range 5 {
		now = now.Add(time.Second)
		assert.Zero(t, transit.age(now, now.Add(skew)))
	}
	assert.Equal(t, 3*time.Second, transit.age(now.Add(3*time.Second), now.Add(skew)))
	now = now.Add(4 * time.Second)
	assert.Zero(t, transit.age(now, now.Add(skew)))
}

// Guards against ignoring a sender's messages for good after its clock was set back.
func TestTransitRecoversAfterAClockIsSetBack(t *testing.T) {
	var transit minimumTransit
	now := time.Unix(1000, 0)
	transit.age(now, now)
	behind := -5 * time.Second
	assert.Equal(t, 5*time.Second, transit.age(now, now.Add(behind)))
	for now.Before(time.Unix(1000, 0).Add(2*transitWindow + time.Second)) {
		now = now.Add(500 * time.Millisecond)
		transit.age(now, now.Add(behind))
	}
	assert.Zero(t, transit.age(now, now.Add(behind)))
}

// Guards against prefixes being unknown in regions that they were sent to. Prefixes sent late had
// lower sequences than those sent before, and were taken for old messages.
func TestLongPrefixesAreSentFirstWithIncreasingSequences(t *testing.T) {
	var collector prefixCollector
	now := time.Unix(1000, 0)
	for index := range 200 {
		id := fmt.Sprint("shared-", index)
		collector.add(now, region.PlacedPrompt{Sequence: uint64(index + 1), Replica: "r", Parts: []region.PlacedPart{{ID: id, Tokens: index * 10}, {ID: "own", Tokens: 5}}})
	}
	assert.Len(t, collector.pending, maximumPendingPrefixes)
	var sent uint64
	first := collector.take()
	assert.Equal(t, "shared-199", first[0].Parts[0].ID)
	for _, each := range append(first, collector.take()...) {
		assert.Greater(t, each.Sequence, sent)
		sent = each.Sequence
	}
	again := region.PlacedPrompt{Sequence: 201, Replica: "r", Parts: []region.PlacedPart{{ID: "shared-199", Tokens: 1990}, {ID: "own", Tokens: 5}}}
	waiting := len(collector.pending)
	collector.add(now.Add(prefixResendInterval-1), again)
	assert.Len(t, collector.pending, waiting, "it was sent a short time ago")
	collector.add(now.Add(prefixResendInterval), again)
	assert.Len(t, collector.pending, waiting+1)
	dropped := region.PlacedPrompt{Sequence: 202, Replica: "r", Parts: []region.PlacedPart{{ID: "shared-0", Tokens: 3000}, {ID: "own", Tokens: 5}}}
	collector.add(now, dropped)
	assert.Equal(t, "shared-0", collector.pending[0].Parts[0].ID, "a prefix dropped from the full queue may be added again")
}
