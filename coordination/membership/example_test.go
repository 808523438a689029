package membership_test

import (
	"fmt"
	"time"

	"github.com/pierhaven/pierhaven/coordination/membership"
)

// A process that is cut off from the leader continues with its isolation set,
// then stops. The leader counts from a later moment and adds a margin, so it
// considers the process stopped only after it has stopped.
func Example() {
	terms := membership.Terms{HeartbeatMillis: 1_000, LeaseMillis: 4_000, IsolationMillis: 60_000}
	table := membership.NewTable(10)
	session, _, outcome := table.Open(7, 1, membership.OpenRequest{
		MemberID: "gateway-1", Incarnation: 1, Address: "10.0.0.1:80", Terms: terms, IsolationTargets: []string{"engine-1"},
	})
	fmt.Println(outcome)

	var lease membership.Lease
	lease.Begin(0, terms, session.OpenedAt)
	liveness := membership.NewLiveness(membership.DefaultMargin())
	liveness.RecordHeartbeat(0, session.ID, session.OpenedAt)
	const withheldAt = 8
	for _, now := range []time.Duration{time.Second, 10 * time.Second, 2 * time.Minute} {
		fmt.Println(lease.State(now),
			liveness.HasStopped(now, session, "engine-1", withheldAt),
			liveness.HasStopped(now, session, "engine-2", withheldAt))
	}
	// Output:
	// done
	// held false false
	// isolated false true
	// expired true true
}
