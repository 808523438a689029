package region

import "strconv"

// Incarnation identifies an incarnation of a replica, which is one run of its process. A replica that restarts
// under the same id is another incarnation, and has lost the state of the one before. Data about
// replicas is therefore stored by incarnation.
type Incarnation struct {
	ID string
	// Born is the start time of the process in milliseconds since 1970, 0 if it is not reported.
	Born int64
}

const (
	// nameModulus limits the start time in an incarnation's name to five digits of base nameBase. The
	// name is sent with each change of work, and only has to distinguish the incarnations of one id.
	// Two of them have the same name if they started an exact multiple of 16.8 hours apart.
	nameModulus = 36 * 36 * 36 * 36 * 36
	nameBase    = 36
	// nameSeparator separates the id from the start time.
	nameSeparator = "@"
)

// Name returns a name of the incarnation that is a few bytes longer than the replica's id.
func (i Incarnation) Name() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + nameSeparator + strconv.FormatInt(i.Born%nameModulus, nameBase)
}

// Incarnation returns the replica's incarnation.
func (r *Replica) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// Incarnation returns the incarnation that was ordered to change its stage.
func (c *StageChange) Incarnation() Incarnation { return Incarnation{ID: c.Replica, Born: c.Born} }

// KeepIncarnations fills in the start times that a list lacks with the known ones. An entry without a start
// time does not mean that the replica has restarted.
func KeepIncarnations(list []Replica, known func(id string) (Incarnation, bool)) {
	for index := range list {
		replica := &list[index]
		if replica.Born != 0 {
			continue
		}
		if before, found := known(replica.ID); found {
			replica.Born = before.Born
		}
	}
}
