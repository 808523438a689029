package soak

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// subnets is the number of loopback subnets that fleets may have.
const subnets = 254

// claimHost is the last number of the address by which a fleet claims a subnet. No process or replica has it.
const claimHost = 254

// claimSubnet returns a subnet that no other fleet on this machine has, for as long as the listener is open. It is the
// seed's own if that one is free.
func claimSubnet(seed uint64) (int, net.Listener, error) {
	for offset := range uint64(subnets) {
		subnet := int((seed + offset) % subnets)
		claim, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:%d", subnet, claimHost, internalPort))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return subnet, claim, merry.Prependf(err, "claim subnet %d", subnet)
		}
	}
	return 0, nil, merry.Errorf("all %d subnets are in use", subnets)
}
