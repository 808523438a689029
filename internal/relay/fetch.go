package relay

import "time"

const (
	// readingOverhead is what the reading of a prompt takes beside its tokens.
	readingOverhead = 50 * time.Millisecond
	// fetchTokens is what fetching a prefix from another replica costs, in
	// tokens, however long it is: the network is much faster than reading.
	fetchTokens = 1500
	// leastFetched is the least gain, in tokens, that is worth a fetch.
	leastFetched = 1500
)

// readingTime is after how long a number of tokens is expected to have been read by
// a replica of a service. It is called with the mutex held.
func (d *Directory) readingTime(service string, tokens float64) time.Duration {
	return readingOverhead + time.Duration(tokens/d.paces[service].tokensPerSecond()*float64(time.Second))
}

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
