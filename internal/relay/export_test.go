package relay

import "time"

// Missing returns the tokens of a prompt that the replica of an id is expected to read.
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

// RestsReturn is in how long a caller is called back that finds all replicas of a service resting.
func (d *Directory) RestsReturn(service string, rank int) time.Duration {
	return d.restsReturn(service, rank)
}

// IdleConnectionLimit is how many unused connections each of several processes may keep to a replica.
func IdleConnectionLimit(maximumConnections, placers int) int {
	return idleConnectionLimit(maximumConnections, placers)
}
