package testnet_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pierhaven/pierhaven/internal/testnet"
)

// A connection's own port must not be one that a process of a test listens at.
func TestConnectionsHaveAnotherAddress(t *testing.T) {
	listener := testnet.Listen(t)
	defer func() { _ = listener.Close() }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.Equal(t, "127.0.0.1", connection.LocalAddr().(*net.TCPAddr).IP.String())
	require.NotEqual(t, "127.0.0.1", listener.Addr().(*net.TCPAddr).IP.String())
}

func TestAnAddressCanBeListenedAtAgain(t *testing.T) {
	address := testnet.Address(t)
	for range 3 {
		listener, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, listener.Close())
	}
}

// Two of the three coordinators of a group got the same address, since a port that was given back
// may be given again, and with it the same data folder:
//
//	storage: lock /data: memoryfs: folder is locked
func TestAnAddressIsGivenToOneProcessOnly(t *testing.T) {
	given := map[string]bool{}
	for range 2000 {
		address := testnet.Address(t)
		assert.False(t, given[address], address)
		given[address] = true
	}
}

// Nor is it taken by what listens for itself.
func TestAListenerTakesNoAddressThatWasGiven(t *testing.T) {
	given := map[string]bool{}
	for range 2000 {
		given[testnet.Address(t)] = true
	}
	for range 200 {
		listener := testnet.Listen(t)
		defer func() { _ = listener.Close() }()
		assert.False(t, given[listener.Addr().String()], listener.Addr())
	}
}
