package coordinator

import (
	"context"
	"net/netip"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/origin"
)

const (
	// maximumOrigins bounds the streams whose origins a coordinator keeps for gateways.
	maximumOrigins = 1 << 18
	// maximumUnrecorded bounds the queries that wait for a confirmed copy of the state.
	maximumUnrecorded = 1 << 12
)

// originQuery is a gateway's query for the origin of a stream.
type originQuery struct {
	from  netip.AddrPort
	query *origin.Query
}

// serveOrigins keeps where streams have begun, as gateways tell it, and answers their queries.
func (c *Coordinator) serveOrigins(socket *datagram.Socket) {
	c.origins = origin.NewKeeper(maximumOrigins, func([]string) []origin.ServiceVersions { return nil })
	socket.Handle(datagram.KindOrigin, func(from netip.AddrPort, payload []byte) error {
		var message origin.Message
		if _, err := message.UnmarshalMsg(payload); err != nil {
			return err
		}
		reply := c.origins.Handle(c.now(), &message)
		switch {
		case reply == nil:
		case reply.Record != nil:
			socket.Send(datagram.KindOriginReply, reply, from)
		default:
			c.queueUnrecorded(originQuery{from: from, query: message.Query})
		}
		return nil
	})
}

// queueUnrecorded queues a query without a record. It is dropped if too many wait: the gateway asks others too.
func (c *Coordinator) queueUnrecorded(query originQuery) {
	select {
	case c.unrecorded <- query:
	default:
		c.logger.Info(event.OriginQueryDropped, "from", query.from.String(), "waiting", len(c.unrecorded))
	}
}

// answerUnrecorded answers the queries without a record: at what software streams may have begun before the query came. That
// takes a copy of the state that was confirmed since; those that come while one is being confirmed wait for the next one.
func (c *Coordinator) answerUnrecorded(ctx context.Context) {
	for {
		var waiting []originQuery
		select {
		case first := <-c.unrecorded:
			waiting = append(waiting, first)
		case <-ctx.Done():
			return
		}
		for len(c.unrecorded) > 0 {
			waiting = append(waiting, <-c.unrecorded)
		}
		confirmed := c.confirmCopy(ctx) == nil
		for _, each := range waiting {
			c.placement.socket.Send(datagram.KindOriginReply, c.replyUnrecorded(each.query, confirmed), each.from)
		}
	}
}

func (c *Coordinator) replyUnrecorded(query *origin.Query, confirmed bool) *origin.Reply {
	recent := c.recentSoftware(query.Services[:min(len(query.Services), origin.MaximumQueriedServices)])
	for index := range recent {
		recent[index].Complete = recent[index].Complete && confirmed
	}
	return &origin.Reply{ID: query.ID, Recent: recent}
}
