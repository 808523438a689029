package relay

import "time"

// offers reports whether others may fetch from the replica: one whose answers were
// lost may, one that takes no connection may not.
func (r *Replica) offers(now time.Duration) bool {
	return !r.gone && !(r.unconnected && now < r.avoidUntil)
}

// unknownSource returns the replica that keeps a prompt's shared beginning if the
// gateway that first had it read chose its home, as all do that find it idle: this
// gateway may not have heard of it. A fetch that finds nothing costs next to
// nothing. It is called with the mutex held.
func (d *Directory) unknownSource(target *Replica, prompt *Prompt, now time.Duration) *Replica {
	home := d.homeOf(target.Service, target.Stage, prompt, now)
	if home == nil || home == target || !home.offers(now) {
		return nil
	}
	return home
}

// FetchFrom returns the address from which the leased replica should fetch the
// beginning of its prompt, empty if it should read all itself.
func (l *Lease) FetchFrom() string {
	if l.fetchFrom == nil {
		return ""
	}
	return l.fetchFrom.Address
}
