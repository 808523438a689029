package relay

import "time"

// Missing returns how many tokens of a prompt the replica with an ID is expected to prefill.
func (d *Directory) Missing(id string, prompt *Prompt) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, replica := range d.replicas {
		if replica.ID == id {
			return d.missing(replica, prompt)
		}
	}
	return prompt.Tokens
}

// BackoffRetryAfter returns the time after which a caller should retry that finds all replicas of a service in
// backoff.
func (d *Directory) BackoffRetryAfter(service string, rank int) time.Duration {
	return d.backoffRetryAfter(service, rank)
}

// IdleConnectionLimit returns how many idle connections each of several processes may keep to a replica.
func IdleConnectionLimit(maximumConnections, placers int) int {
	return idleConnectionLimit(maximumConnections, placers)
}
