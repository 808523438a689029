package relay

import "time"

const (
	// readingTime is after how long a prompt that was placed at a replica is
	// taken to have been read there, if nothing is known of it.
	readingTime = 1200 * time.Millisecond
	// fetchTokens is what fetching a prefix from another replica costs, in
	// tokens, however long it is: the network is much faster than reading.
	fetchTokens = 1500
	// leastFetched is the least gain, in tokens, that is worth a fetch.
	leastFetched = 1500
)

// offers reports whether others may fetch from the replica: one whose answers were
// lost may, one that takes no connection may not.
func (r *Replica) offers(now time.Duration) bool {
	return !r.gone && !(r.unconnected && now < r.avoidUntil)
}

// fetchSource returns the replica from which another should fetch the beginning
// of a prompt before it reads the rest, and the tokens that this saves; nil if
// none keeps enough more of it. One of the same zone is preferred. It is called
// with the mutex held.
func (d *Directory) fetchSource(target *Replica, prompt *Prompt, now time.Duration) (source *Replica, saved int) {
	own := target.prefixes.kept(prompt, now)
	for _, replica := range d.services[target.Service] {
		if replica == target || !replica.offers(now) {
			continue
		}
		gain := replica.prefixes.kept(prompt, now) - own
		if gain < leastFetched || gain < saved {
			continue
		}
		if gain == saved && source != nil && (source.Zone == target.Zone || replica.Zone != target.Zone) {
			continue
		}
		source, saved = replica, gain
	}
	return source, saved
}

// mostKept returns the most tokens of a prompt's beginning that a replica of a
// service has ready.
func (d *Directory) mostKept(service string, prompt *Prompt) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	most := 0
	for _, replica := range d.services[service] {
		if replica.offers(now) {
			most = max(most, replica.prefixes.kept(prompt, now))
		}
	}
	return most
}

// FetchFrom returns the address from which the leased replica should fetch the
// beginning of its prompt, empty if it should read all itself.
func (l *Lease) FetchFrom() string {
	if l.fetchFrom == nil {
		return ""
	}
	return l.fetchFrom.Address
}
