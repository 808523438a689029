package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

// TestCoordinatorsStayUpWhileTheirDisksRefuseWrites proves with real processes that refused
// writes end no coordinator, acknowledge nothing, and are made up for by themselves.
func TestCoordinatorsStayUpWhileTheirDisksRefuseWrites(t *testing.T) {
	const subnet = 251
	f := newSoundFleet(t, subnet)
	require.NoError(t, f.start())
	client := newClient()
	routes := []platformtest.Route{{Name: "once", Host: host, Prefix: "/once/", Service: "service"}}
	acknowledged := func(version uint64) bool {
		for _, each := range f.coordinators {
			status, err := platformtest.Replace(t.Context(), client, each.address, platformtest.Configuration(version, routes))
			if err == nil && status == http.StatusOK {
				return true
			}
		}
		return false
	}
	require.Eventually(t, func() bool { return acknowledged(1) }, time.Minute, 50*time.Millisecond)

	refuse := func(limit uint64, harmed ...*process) {
		for _, each := range harmed {
			require.NoError(t, each.limitFiles(limit))
		}
	}
	refuse(0, f.coordinators[0])
	require.Eventually(t, func() bool { return acknowledged(2) }, time.Minute, 50*time.Millisecond, "one of three may refuse")
	refuse(0, f.coordinators...)
	require.Never(t, func() bool { return acknowledged(3) }, 3*time.Second, 50*time.Millisecond, "nothing is acknowledged that is not written")
	for _, each := range f.coordinators {
		require.False(t, each.hasEnded(), each.name)
	}
	refuse(unix.RLIM_INFINITY, f.coordinators...)
	require.Eventually(t, func() bool { return acknowledged(4) }, time.Minute, 50*time.Millisecond)
	for _, each := range f.coordinators {
		require.False(t, each.hasEnded(), each.name)
	}
}
