package topology

import (
	"maps"
	"slices"
)

// Distance is how far two zones are from each other. A greater one is farther.
type Distance uint8

// Distances.
const (
	// SameZone: both are one zone.
	SameZone Distance = iota
	// SameRegion: two zones of one region.
	SameRegion
	// OtherRegion: zones of two regions.
	OtherRegion
)

// String names a distance for logs and metrics.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	default:
		return "other_region"
	}
}

// Map knows the regions of zones. Its zero value knows none: all zones then count as one region.
// It is never changed once it is in use.
type Map struct {
	// Regions are the regions' names by zone.
	Regions map[string]string
}

// Known reports whether any zone's region is known.
func (m Map) Known() bool { return len(m.Regions) > 0 }

// RegionOf returns the region of a zone. A zone that is not known is a region of its own, named
// like the zone, if other zones are known: nothing is then taken to be near that may be far.
func (m Map) RegionOf(zone string) string {
	if region, known := m.Regions[zone]; known {
		return region
	}
	if !m.Known() {
		return ""
	}
	return zone
}

// Spans reports whether there is more than one region.
func (m Map) Spans() bool { return len(m.Names()) > 1 }

// Group returns the region by which a zone is told from others: empty for all zones where there
// is one region.
func (m Map) Group(zone string) string {
	if !m.Spans() {
		return ""
	}
	return m.RegionOf(zone)
}

// Between returns the distance of two zones.
func (m Map) Between(a, b string) Distance {
	switch {
	case a == b:
		return SameZone
	case m.RegionOf(a) == m.RegionOf(b):
		return SameRegion
	default:
		return OtherRegion
	}
}

// Names lists the regions, sorted.
func (m Map) Names() []string {
	return slices.Compact(slices.Sorted(maps.Values(m.Regions)))
}
