package rpc

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSlotsBoundTheCallsToEachAddress(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	bounded := newSlots(2)
	require.NoError(t, bounded.acquire(context.Background(), "a"))
	require.NoError(t, bounded.acquire(context.Background(), "a"))
	require.ErrorIs(t, bounded.acquire(ended, "a"), context.Canceled)
	require.NoError(t, bounded.acquire(context.Background(), "b"), "another address has its own slots")
	bounded.release("a")
	require.NoError(t, bounded.acquire(context.Background(), "a"))
}

func TestAReleasedSlotWakesAWaiter(t *testing.T) {
	bounded := newSlots(1)
	require.NoError(t, bounded.acquire(context.Background(), "a"))
	woken := make(chan error)
	go func() { woken <- bounded.acquire(context.Background(), "a") }()
	bounded.release("a")
	require.NoError(t, <-woken)
}
