package zonestate

//go:generate go tool msgp -file removals.go -o removals_gen.go -tests=false -io=false -unexported
//msgp:limit arrays:65536 maps:65536

// removedKind is the kind of a removed object.
type removedKind uint8

const (
	removedEngine removedKind = iota + 1
	removedBackEnd
)

// removal is the removal of an object, which gateways must remove from their view.
type removal struct {
	Kind      removedKind `msg:"kind"`
	ID        string      `msg:"id"`
	RemovedAt uint64      `msg:"removed_at"`
}

// removalList contains the newest removals, oldest first. A gateway whose revision is
// below CompleteSince gets a full view.
type removalList struct {
	CompleteSince uint64    `msg:"complete_since"`
	Removals      []removal `msg:"removals"`
}

func (l *removalList) add(added removal) {
	l.Removals = append(l.Removals, added)
	for len(l.Removals) > maximumRemovals {
		l.CompleteSince = l.Removals[0].RemovedAt
		l.Removals = l.Removals[1:]
	}
}
