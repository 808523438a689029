package soak

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestASoakNoticesGatewaysThatKeepHalfClosedCallsOpen(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	s := &soak{truth: newTruth(), fleet: &fleet{}}
	for range gateways {
		s.fleet.gateways = append(s.fleet.gateways, &process{name: "p3", address: silent.Addr().String()})
	}
	ctx, cancel := context.WithTimeout(t.Context(), halfClosedTime+time.Second)
	defer cancel()
	s.callHalfClosed(ctx)
	require.Len(t, s.truth.violations, 1)
	require.Contains(t, s.truth.violations[0], "was still open at p3")
}
