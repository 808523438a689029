package coordinator

import (
	"slices"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
)

// unansweredOrders are orders without a response. Such an order may be carried out late, also by an
// incarnation that has started since under the replica's id, once its count of orders is the one that
// the order expects. The incarnation that was ordered gets no orders for a time. A new one need not be
// excluded, since its count starts over, but it gets no order after which the old order would match
// its count.
type unansweredOrders []unansweredOrder

type unansweredOrder struct {
	incarnation region.Incarnation
	sequence    uint64
	until       time.Duration
}

// add records that an order to an incarnation got no response, for unansweredOrderHold, and removes
// expired records. sequence is the count of orders that the order expects the replica to have.
func (u *unansweredOrders) add(now time.Duration, incarnation region.Incarnation, sequence uint64) {
	unexpired := slices.DeleteFunc(*u, func(each unansweredOrder) bool { return now >= each.until })
	*u = append(unexpired, unansweredOrder{incarnation: incarnation, sequence: sequence, until: now + unansweredOrderHold})
}

// wouldEnableOlder reports whether an order to an incarnation whose count of orders is sequence would allow an
// older order, sent to a previous incarnation, to be carried out.
func (u unansweredOrders) wouldEnableOlder(now time.Duration, incarnation region.Incarnation, sequence uint64) bool {
	return slices.ContainsFunc(u, func(each unansweredOrder) bool {
		return now < each.until && each.incarnation.ID == incarnation.ID && each.incarnation != incarnation && each.sequence == sequence+1
	})
}
