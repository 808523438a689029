package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
)

// ClosingListener closes the connections that it has accepted when the server
// stops. The HTTP library's shutdown leaves kept-alive connections open and
// would go on answering on them for a process that has stopped.
type ClosingListener struct {
	net.Listener

	mutex       sync.Mutex
	connections map[*trackedConnection]struct{}
	closed      bool
}

// NewClosingListener wraps a listener.
func NewClosingListener(listener net.Listener) *ClosingListener {
	return &ClosingListener{Listener: listener, connections: map[*trackedConnection]struct{}{}}
}

// Accept implements net.Listener.
func (l *ClosingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConnection{Conn: connection, listener: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		_ = connection.Close()
		return nil, net.ErrClosed
	}
	l.connections[tracked] = struct{}{}
	return tracked, nil
}

// closeAll closes the listener and the accepted connections, and has those that
// are still being accepted closed at once.
func (l *ClosingListener) closeAll() {
	_ = l.Listener.Close()
	l.mutex.Lock()
	l.closed = true
	open := l.connections
	l.connections = map[*trackedConnection]struct{}{}
	l.mutex.Unlock()
	for connection := range open {
		_ = connection.Conn.Close()
	}
}

type trackedConnection struct {
	net.Conn
	listener *ClosingListener
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.connections, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// RunServer serves until stop is called, which gives calls in flight up to
// serverCloseTime to complete. The HTTP library's shutdown does nothing before
// the engine runs, so that stop closes the listener in any case.
func RunServer(engine *server.Hertz, listener *ClosingListener) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = engine.Run()
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), serverCloseTime)
		defer cancel()
		_ = engine.Shutdown(ctx)
		listener.closeAll()
		<-done
	}
}

// serverCloseTime is how long calls in flight may take to complete when the
// process stops.
const serverCloseTime = 500 * time.Millisecond
