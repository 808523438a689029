package scale

import (
	"context"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pierhaven/pierhaven/bench/fleet"
	"github.com/pierhaven/pierhaven/bench/scale/hollow"
)

func isController(process string) bool {
	return strings.Contains(process, "-"+string(fleet.KindController)+"-")
}

// status queries the worker of a zone's gateways.
func (s *stage) status(ctx context.Context, zone *zoneStage) (*hollow.Status, error) {
	status := &hollow.Status{}
	return status, s.client.Get(ctx, zone.controlAddress, hollow.PathStatus, status)
}

// waitForNodes waits until every hollow gateway holds its lease, knows all
// engines of its zone and follows a revision.
func (s *stage) waitForNodes(ctx context.Context, revision uint64) error {
	for _, zone := range s.zones {
		for {
			missing := s.missing(ctx, zone, revision)
			if missing == "" {
				break
			}
			select {
			case <-zone.gateways.Done():
				return merry.Errorf("%s ended: %s", zone.gateways.Name, zone.gateways.LogTail(2000))
			case <-ctx.Done():
				return merry.Errorf("%s: %s", zone.name, missing)
			case <-time.After(pollPause):
			}
		}
	}
	return nil
}

// missing returns a description of a gateway of the zone that is not ready, empty if all are.
func (s *stage) missing(ctx context.Context, zone *zoneStage, revision uint64) string {
	status, err := s.status(ctx, zone)
	if err != nil {
		return err.Error()
	}
	for _, gateway := range status.Gateways {
		switch {
		case !gateway.Up:
		case !gateway.Held:
			return gateway.ID + " holds no lease"
		case gateway.ConfigRevision < revision:
			return gateway.ID + " does not follow the configuration"
		case gateway.Engines < len(zone.engineIDs):
			return gateway.ID + " does not know all engines"
		}
	}
	return ""
}

// withoutLease returns the number of running gateways without a lease, and of all running ones.
func (s *stage) withoutLease(ctx context.Context) (without, up int, err error) {
	for _, zone := range s.zones {
		status, err := s.status(ctx, zone)
		if err != nil {
			return 0, 0, err
		}
		for _, gateway := range status.Gateways {
			if !gateway.Up {
				continue
			}
			up++
			if !gateway.Held {
				without++
			}
		}
	}
	return without, up, nil
}

// traffic returns the traffic of all hollow gateways, by path.
func (s *stage) traffic(ctx context.Context) (map[string]hollow.Traffic, error) {
	sums := make(map[string]hollow.Traffic)
	for _, zone := range s.zones {
		status, err := s.status(ctx, zone)
		if err != nil {
			return nil, err
		}
		for path, traffic := range status.Traffic {
			sums[path] = sums[path].Add(traffic)
		}
	}
	return sums, nil
}

// gatewayIDs returns the IDs of the hollow gateways of the matching zones.
func (s *stage) gatewayIDs(fits func(zone int) bool) []string {
	var ids []string
	for index, zone := range s.zones {
		if fits(index) {
			ids = append(ids, zone.gatewayIDs...)
		}
	}
	return ids
}

func anyZone(int) bool { return true }
