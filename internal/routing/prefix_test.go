package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

func stored(sequence, block uint64) engineapi.CacheEvent {
	return engineapi.CacheEvent{Sequence: sequence, Kind: engineapi.CacheStored, Block: block}
}

func TestPrefixIndexAppliesEvents(t *testing.T) {
	index := newPrefixIndex(100)
	index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: 3, Events: []engineapi.CacheEvent{stored(1, 11), stored(2, 12), stored(3, 13)}})
	index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: 3, Events: []engineapi.CacheEvent{stored(2, 99)}})
	assert.EqualValues(t, promptBlockTokens(3), index.cachedTokens("a", []uint64{11, 12, 13, 14}))
	assert.Zero(t, index.cachedTokens("a", []uint64{99}), "a repeated event is ignored")
	assert.EqualValues(t, promptBlockTokens(1), index.cachedTokens("a", []uint64{11, 99, 13}), "a prefix ends at the first missing block")
	index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: 4, Events: []engineapi.CacheEvent{{Sequence: 4, Kind: engineapi.CacheEvicted, Block: 12}}})
	assert.EqualValues(t, promptBlockTokens(1), index.cachedTokens("a", []uint64{11, 12, 13}))
}

func TestLostEventsLowerAccuracyAndRequestSnapshot(t *testing.T) {
	index := newPrefixIndex(100)
	index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: 1, Events: []engineapi.CacheEvent{stored(1, 11)}})
	incarnation, after := index.cursor(time.Hour, "a")
	require.EqualValues(t, 1, incarnation)
	require.EqualValues(t, 1, after)
	index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: 9, Events: []engineapi.CacheEvent{stored(9, 12)}})
	cached := index.cachedTokens("a", []uint64{11})
	assert.Positive(t, cached)
	assert.Less(t, cached, float64(promptBlockTokens(1)), "seven events were lost")
	incarnation, after = index.cursor(time.Hour, "a")
	assert.Zero(t, incarnation+after, "a snapshot is requested")
	_, after = index.cursor(time.Hour+time.Second, "a")
	assert.NotZero(t, after, "but not again within the minimum interval")
	index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: 9, Snapshot: []uint64{11, 12}})
	assert.EqualValues(t, promptBlockTokens(2), index.cachedTokens("a", []uint64{11, 12}))
}

func TestEngineRestartClearsPrefixIndex(t *testing.T) {
	index := newPrefixIndex(100)
	index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: 1, Events: []engineapi.CacheEvent{stored(1, 11)}})
	index.apply("a", engineapi.CacheEvents{Incarnation: 2})
	assert.Zero(t, index.cachedTokens("a", []uint64{11}))
}

func TestPrefixIndexIsBounded(t *testing.T) {
	index := newPrefixIndex(8)
	for sequence := uint64(1); sequence <= 1000; sequence++ {
		index.apply("a", engineapi.CacheEvents{Incarnation: 1, LastSequence: sequence, Events: []engineapi.CacheEvent{stored(sequence, sequence)}})
	}
	assert.Equal(t, 8, index.engines["a"].blocks.Len())
}
