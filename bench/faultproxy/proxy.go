package faultproxy

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Proxy carries the endpoints of one run. Its methods may be called
// concurrently.
type Proxy struct {
	sources sourceLookups
	rules   *ruleSet
	context context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	randomMutex sync.Mutex
	random      *rand.Rand

	mutex     sync.Mutex
	listeners []interface{ Close() error }
	// named are the listeners by their destinations.
	named       map[string]net.Listener
	connections map[*connection]struct{}
}

// New makes a proxy without endpoints. The random source decides losses.
func New(resolver SourceResolver, random *rand.Rand) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	return &Proxy{
		sources:     sourceLookups{resolver: resolver},
		rules:       newRuleSet(),
		context:     ctx,
		cancel:      cancel,
		random:      random,
		connections: make(map[*connection]struct{}),
		named:       make(map[string]net.Listener),
	}
}

// ListenTCP relays connections that arrive at the listen address to the
// target, under the destination's name. It returns the address that it bound.
func (p *Proxy) ListenTCP(destination, listen, target string) (string, error) {
	listener, err := listenOnceFree(listen)
	if err != nil {
		return "", merry.Prependf(err, "fault proxy before %s", destination)
	}
	if err := p.keepNamed(destination, listener, func() { p.accept(listener, destination, target) }); err != nil {
		return "", err
	}
	return listener.Addr().String(), nil
}

const (
	// shareTime bounds how long a process that is being started holds copies of the descriptors of this one: a
	// listener that was closed in that time goes on listening until the process runs its program.
	shareTime = 5 * time.Second
	// shareRetry is the interval at which an address is tried that is still in use.
	shareRetry = time.Millisecond
)

// listenOnceFree listens at an address, which may be in use for some time after its listener was closed.
func listenOnceFree(address string) (net.Listener, error) {
	for deadline := time.Now().Add(shareTime); ; time.Sleep(shareRetry) {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// errClosed means that an endpoint was added after Close.
var errClosed = errors.New("the fault proxy is closed")

// keepNamed keeps a destination's listener, and runs accept until it is closed. After Close it closes the listener and
// returns an error, since Close waits for all that runs.
func (p *Proxy) keepNamed(destination string, listener net.Listener, accept func()) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.context.Err() != nil {
		_ = listener.Close()
		return errClosed
	}
	p.listeners = append(p.listeners, listener)
	p.named[destination] = listener
	p.tasks.Go(accept)
	return nil
}

func (p *Proxy) keep(listener interface{ Close() error }) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listeners = append(p.listeners, listener)
}

func (p *Proxy) accept(listener net.Listener, destination, target string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.serve(client.(*net.TCPConn), destination, target) })
	}
}

func (p *Proxy) serve(client *net.TCPConn, destination, target string) {
	source := p.sources.lazy(client.RemoteAddr())
	faults, _ := p.rules.faults(source, destination)
	if faults.Refuse {
		reset(client)
		return
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(p.context, "tcp", target)
	if err != nil {
		reset(client)
		return
	}
	c := newConnection(p, source, destination, client, server.(*net.TCPConn))
	p.track(c)
	c.run()
	p.forget(c)
}

func (p *Proxy) track(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections[c] = struct{}{}
}

func (p *Proxy) forget(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
}

// lost decides whether one piece of data is lost.
func (p *Proxy) lost(share float64) bool {
	if share <= 0 {
		return false
	}
	p.randomMutex.Lock()
	defer p.randomMutex.Unlock()
	return p.random.Float64() < share
}

// Apply puts faults in force on all links that match, also on connections that
// are open, and returns the function that ends them.
func (p *Proxy) Apply(match Match, faults Faults) (remove func()) {
	number := p.rules.add(rule{match: match, faults: faults})
	return func() { p.rules.remove(number) }
}

// Clear ends all faults.
func (p *Proxy) Clear() { p.rules.clear() }

// Reset resets the open connections that match and returns their number.
func (p *Proxy) Reset(match Match) int {
	return p.each(match, (*connection).reset)
}

// Truncate ends the open connections that match in the ordinary way, wherever
// their streams stand, and returns their number.
func (p *Proxy) Truncate(match Match) int {
	return p.each(match, (*connection).truncate)
}

// HalfOpen closes the destination's end of the open connections that match,
// without telling the source, and returns their number. What the source sends
// from then on is swallowed.
func (p *Proxy) HalfOpen(match Match) int {
	return p.each(match, (*connection).halfOpen)
}

func (p *Proxy) each(match Match, act func(*connection)) int {
	p.mutex.Lock()
	open := slices.Collect(maps.Keys(p.connections))
	p.mutex.Unlock()
	var chosen atomic.Int64
	var tasks sync.WaitGroup
	for _, c := range open {
		// All at once, so that their sources are looked up together.
		tasks.Go(func() {
			if match.covers(c.source, c.destination) {
				act(c)
				chosen.Add(1)
			}
		})
	}
	tasks.Wait()
	return int(chosen.Load())
}

// End ends a destination as the end of its process does: its connections are reset, and its port
// takes none until ListenTCP is called again.
func (p *Proxy) End(destination string) {
	p.mutex.Lock()
	listener := p.named[destination]
	delete(p.named, destination)
	p.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	p.Reset(Match{Destination: destination})
}

// Close ends all endpoints and connections and waits until they are gone.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.cancel()
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	p.mutex.Unlock()
	p.Reset(Match{})
	p.tasks.Wait()
}

// reset closes a connection with a TCP reset.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}
