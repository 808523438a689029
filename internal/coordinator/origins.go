package coordinator

import (
	"net/netip"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/origin"
)

// maximumOrigins bounds the streams whose origins a coordinator keeps for gateways.
const maximumOrigins = 1 << 18

// serveOrigins keeps where streams have begun, as gateways tell it, and answers their queries.
func (c *Coordinator) serveOrigins(socket *datagram.Socket) {
	c.origins = origin.NewKeeper(maximumOrigins, c.recentSoftware)
	socket.Handle(datagram.KindOrigin, func(from netip.AddrPort, payload []byte) error {
		var message origin.Message
		if _, err := message.UnmarshalMsg(payload); err != nil {
			return err
		}
		if reply := c.origins.Handle(c.now(), &message); reply != nil {
			socket.Send(datagram.KindOriginReply, reply, from)
		}
		return nil
	})
}
