package exchange

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pierhaven/pierhaven/internal/answer"
)

// pool keeps idle connections by address, newest last. Each is watched while it
// is idle: one that its peer closes leaves the pool at once, so that no request
// is written to it, which would make the outcome unknown.
type pool struct {
	mutex       sync.Mutex
	idle        map[string][]*idleConnection
	perAddress  int
	maximumIdle time.Duration
	sweptAt     time.Time
}

// idleConnection is a connection that waits for its next exchange.
type idleConnection struct {
	connection *answer.Conn
	since      time.Time
	// watched is closed when the watch has ended; closed then says whether the
	// peer has closed the connection or sent what nobody asked for.
	watched chan struct{}
	closed  bool
}

func newPool(perAddress int, maximumIdle time.Duration) *pool {
	return &pool{idle: map[string][]*idleConnection{}, perAddress: perAddress, maximumIdle: maximumIdle}
}

// take returns the newest usable connection of an address, or nil.
func (p *pool) take(address string, now time.Time) *answer.Conn {
	for {
		newest := p.pop(address, now)
		if newest == nil {
			return nil
		}
		if newest.endWatch() {
			return newest.connection
		}
		_ = newest.connection.Close()
	}
}

func (p *pool) pop(address string, now time.Time) *idleConnection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	waiting := p.idle[address]
	if len(waiting) == 0 {
		return nil
	}
	last := len(waiting) - 1
	newest := waiting[last]
	p.set(address, slices.Delete(waiting, last, last+1))
	return newest
}

// put keeps a connection, or closes it if there are enough.
func (p *pool) put(address string, connection *answer.Conn, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	if len(p.idle[address]) >= p.perAddress || connection.SetReadTimeout(0) != nil {
		_ = connection.Close()
		return
	}
	kept := &idleConnection{connection: connection, since: now, watched: make(chan struct{})}
	p.idle[address] = append(p.idle[address], kept)
	go p.watch(address, kept)
}

// watch waits for the end of an idle connection, by its peer or by endWatch.
func (p *pool) watch(address string, kept *idleConnection) {
	_, err := kept.connection.Peek(1)
	var failed net.Error
	kept.closed = err == nil || !errors.As(err, &failed) || !failed.Timeout()
	close(kept.watched)
	if kept.closed {
		p.forget(address, kept)
	}
}

// endWatch ends the watch and reports whether the connection can be used.
func (k *idleConnection) endWatch() bool {
	if k.connection.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	<-k.watched
	return !k.closed && k.connection.SetReadDeadline(time.Time{}) == nil
}

// forget closes a connection that is still in the pool.
func (p *pool) forget(address string, gone *idleConnection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	waiting := p.idle[address]
	if index := slices.Index(waiting, gone); index >= 0 {
		_ = gone.connection.Close()
		p.set(address, slices.Delete(waiting, index, index+1))
	}
}

func (p *pool) set(address string, waiting []*idleConnection) {
	if len(waiting) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = waiting
}

// sweep closes connections that have waited too long, of all addresses: one that
// is never asked for again may belong to a peer that is gone. The oldest of an
// address come first. It works at most twice in the time that one may wait.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < p.maximumIdle/2 {
		return
	}
	p.sweptAt = now
	for address, waiting := range p.idle {
		expired := 0
		for expired < len(waiting) && now.Sub(waiting[expired].since) > p.maximumIdle/2 {
			_ = waiting[expired].connection.Close()
			expired++
		}
		p.set(address, slices.Delete(waiting, 0, expired))
	}
}

// distrust closes the connections of all addresses that have been idle since
// before a time.
func (p *pool) distrust(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, waiting := range p.idle {
		kept := slices.DeleteFunc(slices.Clone(waiting), func(each *idleConnection) bool {
			return each.since.Before(before)
		})
		for _, each := range waiting {
			if each.since.Before(before) {
				_ = each.connection.Close()
			}
		}
		p.set(address, kept)
	}
}

// count is the number of idle connections.
func (p *pool) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	total := 0
	for _, waiting := range p.idle {
		total += len(waiting)
	}
	return total
}

// closeAll closes every idle connection.
func (p *pool) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, waiting := range p.idle {
		for _, kept := range waiting {
			_ = kept.connection.Close()
		}
	}
	p.idle = map[string][]*idleConnection{}
}
