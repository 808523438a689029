package upstream

import (
	"slices"
	"sync"
	"time"
)

// pool keeps idle connections by the address and incarnation of their replica,
// newest last.
type pool struct {
	mutex   sync.Mutex
	idle    map[string][]*connection
	sweptAt time.Time
}

const (
	// maximumIdlePerReplica bounds the connections kept for one replica.
	maximumIdlePerReplica = 8
	sweepInterval         = time.Second
)

func newPool() *pool { return &pool{idle: map[string][]*connection{}} }

// take returns the newest connection that is usable, or nil. With a freshness
// above 0 only one that has been idle no longer is usable.
func (p *pool) take(key string, now time.Time, freshness time.Duration) *connection {
	for {
		newest := p.pop(key)
		if newest == nil {
			return nil
		}
		idle := now.Sub(newest.idleSince)
		if now.Before(newest.idleUntil) && (freshness == 0 || idle <= freshness) && newest.quiet() {
			return newest
		}
		_ = newest.Close()
	}
}

func (p *pool) pop(key string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	waiting := p.idle[key]
	if len(waiting) == 0 {
		return nil
	}
	newest := waiting[len(waiting)-1]
	p.set(key, waiting[:len(waiting)-1])
	return newest
}

// has reports whether a connection is kept that may still be used.
func (p *pool) has(key string, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	waiting := p.idle[key]
	return len(waiting) > 0 && now.Before(waiting[len(waiting)-1].idleUntil)
}

func (p *pool) set(key string, waiting []*connection) {
	if len(waiting) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = waiting
}

// put keeps a connection for a time, or closes it if there are enough; 0 is for maximumIdlePerReplica.
func (p *pool) put(key string, kept *connection, now time.Time, idleTime time.Duration, enough int) {
	if enough == 0 {
		enough = maximumIdlePerReplica
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	if idleTime <= 0 || len(p.idle[key]) >= enough {
		_ = kept.Close()
		return
	}
	kept.idleSince = now
	kept.idleUntil = now.Add(idleTime)
	p.idle[key] = append(p.idle[key], kept)
}

// sweep closes the connections that have been idle for too long or that their
// replica has closed.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for key, waiting := range p.idle {
		kept := slices.DeleteFunc(waiting, func(each *connection) bool {
			if now.Before(each.idleUntil) && each.quiet() {
				return false
			}
			_ = each.Close()
			return true
		})
		p.set(key, kept)
	}
}

// drop closes the idle connections of a replica.
func (p *pool) drop(key string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range p.idle[key] {
		_ = each.Close()
	}
	delete(p.idle, key)
}
